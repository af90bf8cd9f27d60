use std::net::SocketAddr;

use snafu::Snafu;
use toucanchute_proto::api::{Outcome, Problem};

/// Why a request has no answer.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// A router refused the request and trying again does not help, or no try is left.
    #[snafu(display("refused by {address}: {} ({})", problem.detail, problem.reason))]
    Refused {
        /// Router that refused it.
        address: SocketAddr,
        /// What it said.
        problem: Box<Problem>,
        /// Number of tries.
        tries: u32,
    },
    /// No try led to an answer or a refusal.
    #[snafu(display("no answer after {tries} tries: {cause}"))]
    Unreachable {
        /// What happened to the last try.
        cause: String,
        /// Number of tries.
        tries: u32,
    },
    /// No router gave an address list.
    #[snafu(display("no router gave its addresses; check the addresses asked: {cause}"))]
    NoAddresses {
        /// What happened to the last try.
        cause: String,
    },
}

/// Why a load could not be run.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// No router gave its addresses at the start.
    #[snafu(display("{source}"))]
    FetchAddresses {
        /// What was asked.
        source: CallError,
    },
    /// A histogram could not be created.
    #[snafu(display("cannot measure: {source}"))]
    Histogram {
        /// Cause reported by the histogram.
        source: hdrhistogram::CreationError,
    },
}

impl CallError {
    /// Returns what became of the request as far as the caller knows.
    ///
    /// Without an answer of a router it is unknown, unless no try was sent.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            CallError::Refused { problem, .. } => problem.outcome.unwrap_or(Outcome::NotRun),
            CallError::Unreachable { .. } => Outcome::Unknown,
            CallError::NoAddresses { .. } => Outcome::NotRun,
        }
    }

    /// Returns the reason in the words of the API.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            CallError::Refused { problem, .. } => &problem.reason,
            CallError::Unreachable { .. } => "unreachable",
            CallError::NoAddresses { .. } => "no-addresses",
        }
    }
}
