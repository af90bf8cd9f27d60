use std::net::SocketAddr;

use toucanchute_proto::{AttemptId, Millis, fleet::Verdict};

/// What a [`Dispatcher`](super::Dispatcher) wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// The call runs on this backend server.
    Assigned {
        /// The call of [`Assign`](super::Assign).
        call: u64,
        /// The attempt's identifier; its end has to be reported.
        attempt: AttemptId,
        /// Name of the backend server.
        backend: String,
        /// Address of the backend server.
        address: SocketAddr,
    },
    /// The call does not run.
    Refused {
        /// The call of [`Assign`](super::Assign).
        call: u64,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that helps.
        retry_after: Option<Millis>,
    },
    /// All routers have to hear of this.
    Verdict(Verdict),
}

/// Why a call does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// No backend server is fit to serve it.
    NoBackend,
    /// It cannot start in time.
    Overloaded,
    /// The retry budget is used up.
    RetriesExhausted,
    /// The request crashed backend servers before.
    Quarantined,
}
