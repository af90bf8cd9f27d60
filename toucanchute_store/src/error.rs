use std::net::SocketAddr;

use snafu::Snafu;
use toucanchute_proto::Millis;

/// Whether a write that failed took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// It provably did not.
    NotApplied,
    /// It may have.
    Unknown,
}

/// A call to the platform that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StoreError {
    /// No connection came about, so no byte of the call was sent.
    #[snafu(display("cannot connect to the platform at {endpoint}: {source}"))]
    Connect {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },

    /// The platform refused the call.
    #[snafu(display(
        "the platform at {endpoint} refused the call with status {status}: {message}"
    ))]
    Refused {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Reason that the platform gave.
        message: String,
    },

    /// The platform failed while it dealt with the call.
    #[snafu(display("the platform at {endpoint} failed with status {status}: {message}"))]
    Failed {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Reason that the platform gave.
        message: String,
    },

    /// The connection broke off before the answer.
    #[snafu(display("the connection to the platform at {endpoint} broke off: {source}"))]
    ConnectionLost {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },

    /// The connection broke off within the answer.
    #[snafu(display("the platform's answer from {endpoint} broke off: {source}"))]
    Truncated {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },

    /// No answer came in time.
    #[snafu(display("the platform at {endpoint} did not answer within {timeout} ms"))]
    TimedOut {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Time that was allowed.
        timeout: Millis,
    },

    /// The answer could not be understood.
    #[snafu(display("the platform at {endpoint} gave a malformed answer: {source}"))]
    Malformed {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },

    /// The call could not be encoded.
    #[snafu(display("the call to the platform cannot be encoded: {message}"))]
    Encode {
        /// Cause.
        message: String,
    },

    /// The settings name no endpoint.
    #[snafu(display("no endpoint of the platform is known; set [platform] endpoints"))]
    NoEndpoint,
}

impl StoreError {
    /// Returns whether a write that failed by this error took effect.
    #[must_use]
    pub fn write_effect(&self) -> WriteEffect {
        match self {
            StoreError::Connect { .. }
            | StoreError::Refused { .. }
            | StoreError::Encode { .. }
            | StoreError::NoEndpoint => WriteEffect::NotApplied,
            StoreError::Failed { .. }
            | StoreError::ConnectionLost { .. }
            | StoreError::Truncated { .. }
            | StoreError::TimedOut { .. }
            | StoreError::Malformed { .. } => WriteEffect::Unknown,
        }
    }

    /// Returns whether another endpoint may do better.
    pub(crate) fn may_succeed_elsewhere(&self) -> bool {
        !matches!(
            self,
            StoreError::Refused { .. } | StoreError::Encode { .. } | StoreError::NoEndpoint
        )
    }
}
