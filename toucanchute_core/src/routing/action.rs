use std::net::SocketAddr;

use toucanchute_proto::{AttemptId, Millis, fleet::Verdict};

/// What a [`Dispatcher`](super::Dispatcher) wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// The call runs on this backend server.
    Assigned {
        /// The call of [`RoutingRequest`](super::RoutingRequest).
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
        /// The call of [`RoutingRequest`](super::RoutingRequest).
        call: u64,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that helps.
        retry_after: Option<Millis>,
    },
    /// All routers have to hear of this.
    Verdict(Verdict),
    /// What is believed of a backend server changed by its own word; for logs.
    BackendChanged {
        /// Name of the backend server.
        backend: String,
        /// What is believed from now on.
        state: BackendState,
    },
}

/// What is believed of a backend server by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It leaves and gets no new work any more.
    Leaving,
    /// It gets no new work for this long.
    BackingOff {
        /// Time from now on.
        duration: Millis,
    },
    /// Its rest is over.
    BackoffEnded,
}

/// Why a call does not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// No backend server is fit to serve it.
    NoBackend,
    /// It cannot start in time.
    Overloaded,
    /// All backend servers that could serve it asked for rest.
    BackingOff,
    /// The retry budget is used up.
    RetriesExhausted,
    /// The request crashed backend servers before.
    Quarantined,
}
