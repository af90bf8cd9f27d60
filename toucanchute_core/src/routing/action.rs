use std::net::SocketAddr;

use toucanchute_proto::{
    AttemptId, Incarnation, Millis, RequestRate,
    fleet::{BackendHint, Load, Verdict},
    permits::PermitMessage,
};

use super::ColdCause;

/// An effect that the caller of a [`Dispatcher`](super::Dispatcher) has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Run the call on this backend server.
    Assigned {
        /// Identifier of the call, from [`RoutingRequest`](super::RoutingRequest).
        call: u64,
        /// Identifier of the attempt. The caller has to report how the attempt ends.
        attempt: AttemptId,
        /// Name of the backend server.
        backend: String,
        /// Address of the backend server.
        address: SocketAddr,
        /// Whether the backend server was known to be rate limited when the attempt started.
        rate_limited: bool,
        /// Version of the backend server's software; `None` if unknown.
        software: Option<String>,
    },
    /// Refuse the call without running it.
    Refused {
        /// Identifier of the call, from [`RoutingRequest`](super::RoutingRequest).
        call: u64,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed; `None` if a retry is useless.
        retry_after: Option<Millis>,
    },
    /// Send this verdict to all other routers.
    Verdict(Verdict),
    /// Tell other routers the load that a backend server's answer stated.
    ShareLoad(Load),
    /// Tell all other routers what this one learned from a backend server's answer.
    Hint(BackendHint),
    /// Send a message about permits to another router.
    SendPermitMessage {
        /// The router.
        to: Incarnation,
        /// The message.
        message: PermitMessage,
    },
    /// The issuer of a rate-limited backend server's permits did not answer; to be logged.
    PermitUnanswered {
        /// Name of the backend server.
        backend: String,
    },
    /// A failure domain is evacuated, or no longer; to be logged.
    EvacuationChanged {
        /// The failure domain.
        failure_domain: String,
        /// Whether it is evacuated now.
        evacuated: bool,
        /// Number of its backend servers.
        backends: usize,
    },
    /// A backend server's state changed by its own notice; to be logged.
    BackendChanged {
        /// Name of the backend server.
        backend: String,
        /// The new state.
        state: BackendState,
    },
}

/// State of a backend server, as announced in its own notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It is leaving and gets no further new work.
    Leaving,
    /// Another router learned that it is leaving; this one backs off from it for a while.
    HintedLeaving {
        /// The other router.
        source: Incarnation,
    },
    /// It asked for a backoff and gets no new work during it.
    BackingOff {
        /// Length of the backoff from now on.
        duration: Millis,
    },
    /// Its backoff has ended.
    BackoffEnded,
    /// It named a rate limit, or another one than before.
    RateLimited {
        /// The limit.
        rate: RequestRate,
        /// Router that got the answer.
        source: Incarnation,
    },
    /// It is cold, and each request for it needs a permit.
    Cold {
        /// Time from now on for which it is cold.
        remaining: Millis,
        /// Why it counts as cold.
        cause: ColdCause,
    },
    /// Its answers name no rate limit any more.
    RateLimitEnded {
        /// Time since a limit was first known.
        after: Millis,
    },
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// No backend server is configured for it, or all of them are withdrawn or leaving.
    NoBackend,
    /// The failure domains of all backend servers that could serve it are evacuated.
    Evacuated,
    /// There are backend servers for it, but none in the regions in which it may run.
    OutsideRegions,
    /// It cannot start in time, or the queue is too long.
    Overloaded,
    /// All backend servers that could serve it asked for a backoff.
    BackingOff,
    /// All backend servers that could serve it named rate limits, which are used up.
    RateLimited,
    /// All backend servers that could serve it have a limited rate, some of them as they warm up, and
    /// the permits are used up.
    WarmingUp,
    /// The retry budget is used up.
    RetriesExhausted,
    /// The request is quarantined, since it was in flight when backend servers crashed.
    Quarantined,
}
