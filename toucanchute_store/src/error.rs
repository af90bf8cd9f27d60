use std::net::SocketAddr;

use snafu::Snafu;
use toucanchute_proto::Millis;

/// Whether a failed write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteEffect {
    /// The write provably had no effect.
    NotApplied,
    /// The write may have taken effect.
    Unknown,
}

/// Error of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StoreError {
    /// No connection could be established, so no byte of the request was sent.
    #[snafu(display("cannot connect to the platform at {endpoint}: {source}"))]
    Connect {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },

    /// The platform rejected the request, so it was not applied.
    #[snafu(display(
        "the platform at {endpoint} rejected the request with status {status}: {message}"
    ))]
    Refused {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Error message in the response.
        message: String,
    },

    /// The platform failed while it processed the request.
    #[snafu(display(
        "the platform at {endpoint} failed to process the request, status {status}: {message}"
    ))]
    Failed {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Error message in the response.
        message: String,
    },

    /// The connection was lost before the response arrived.
    #[snafu(display(
        "lost the connection to the platform at {endpoint} before its response: {source}"
    ))]
    ConnectionLost {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },

    /// The connection was lost before the response was complete.
    #[snafu(display("the response of the platform at {endpoint} is incomplete: {source}"))]
    Truncated {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },

    /// No response arrived within the timeout.
    #[snafu(display("the platform at {endpoint} did not respond within {timeout} ms"))]
    TimedOut {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Timeout that elapsed.
        timeout: Millis,
    },

    /// The response could not be decoded.
    #[snafu(display("the platform at {endpoint} sent a malformed response: {source}"))]
    Malformed {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },

    /// The response names no era, or one that has ended, of a store that came back from an older copy
    /// since. What the call did is gone, or not known.
    #[snafu(display(
        "the platform at {endpoint} responded in the era {era:?}, and {newest} is the newest"
    ))]
    EraEnded {
        /// Address of the platform's endpoint.
        endpoint: SocketAddr,
        /// Era of the response, if it names one.
        era: Option<u64>,
        /// Newest era that was seen.
        newest: u64,
    },

    /// The request could not be encoded.
    #[snafu(display("cannot encode the request to the platform: {message}"))]
    Encode {
        /// Cause.
        message: String,
    },

    /// The settings list no endpoint.
    #[snafu(display("no endpoint of the platform is configured; set [platform] endpoints"))]
    NoEndpoint,
}

impl StoreError {
    /// Returns whether a write that failed with this error took effect.
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
            | StoreError::Malformed { .. }
            | StoreError::EraEnded { .. } => WriteEffect::Unknown,
        }
    }

    /// Returns whether the same request may succeed at another endpoint.
    pub(crate) fn may_succeed_elsewhere(&self) -> bool {
        !matches!(
            self,
            StoreError::Refused { .. } | StoreError::Encode { .. } | StoreError::NoEndpoint
        )
    }
}
