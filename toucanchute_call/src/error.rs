use std::net::SocketAddr;

use snafu::Snafu;
use toucanchute_proto::api::{Outcome, Problem};

/// Reason why a request has no answer.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum CallError {
    /// A router refused the request, and the refusal is not retryable or no try is left.
    #[snafu(display("refused by {address}: {} ({})", problem.detail, problem.reason))]
    Refused {
        /// Router that refused it.
        address: SocketAddr,
        /// Problem document that the router sent.
        problem: Box<Problem>,
        /// Number of tries.
        tries: u32,
    },
    /// The last try ended without an answer or a refusal.
    #[snafu(display("no answer after {tries} tries: {cause}"))]
    Unreachable {
        /// Failure of the last try.
        cause: String,
        /// Number of tries.
        tries: u32,
    },
    /// No router returned an address list.
    #[snafu(display("no router returned an address list; check the router addresses: {cause}"))]
    NoAddresses {
        /// Failure at the last router queried.
        cause: String,
    },
}

/// Reason why a load could not be run.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// The address list could not be fetched at the start.
    #[snafu(display("{source}"))]
    FetchAddresses {
        /// Failure of the caller.
        source: CallError,
    },
    /// A latency histogram could not be created.
    #[snafu(display("cannot create a latency histogram: {source}"))]
    Histogram {
        /// Cause reported by the histogram.
        source: hdrhistogram::CreationError,
    },
}

impl CallError {
    /// Returns the outcome of the request as far as the caller knows.
    ///
    /// It is unknown if no router answered, and `not-run` if no address list could be fetched.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            CallError::Refused { problem, .. } => problem.outcome.unwrap_or(Outcome::NotRun),
            CallError::Unreachable { .. } => Outcome::Unknown,
            CallError::NoAddresses { .. } => Outcome::NotRun,
        }
    }

    /// Returns the reason code of the API; the caller adds `unreachable` and `no-addresses`.
    #[must_use]
    pub fn reason(&self) -> &str {
        match self {
            CallError::Refused { problem, .. } => &problem.reason,
            CallError::Unreachable { .. } => "unreachable",
            CallError::NoAddresses { .. } => "no-addresses",
        }
    }
}
