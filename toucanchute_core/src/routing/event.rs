use std::{collections::BTreeSet, sync::Arc};

use toucanchute_proto::{
    AttemptId, Digest, Incarnation, Millis, RequestRate,
    config::Config,
    fleet::{BackendHint, Load, Verdict},
    permits::PermitMessage,
};

use super::{ColdCause, RegionNeed, SoftwareNeed};

/// Input of a [`Dispatcher`](super::Dispatcher).
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// The configuration in force or the set of withdrawn backend servers changed.
    Configure {
        /// Configuration in force.
        config: Arc<Config>,
        /// Names of backend servers that take no new work.
        withdrawn: BTreeSet<String>,
    },
    /// The backend servers of these failure domains get no new work, whatever the configuration says.
    /// Replaces the previous set.
    Evacuate(BTreeSet<String>),
    /// A request needs a backend server.
    Assign(RoutingRequest),
    /// The caller of a waiting request no longer needs it. Ignored if the request was already
    /// assigned or refused.
    Abandon {
        /// Identifier of the call, from [`RoutingRequest`].
        call: u64,
    },
    /// An attempt made progress or ended.
    Report {
        /// The attempt of [`Action::Assigned`](super::Action::Assigned).
        attempt: AttemptId,
        /// Its progress or end.
        report: AttemptReport,
    },
    /// The registration of a backend server lapsed without a notice that it is leaving.
    RegistrationLapsed {
        /// Name of the backend server.
        backend: String,
    },
    /// A backend server sent a notice about itself with an answer to this router.
    Notice {
        /// Name of the backend server.
        backend: String,
        /// The notice.
        notice: BackendNotice,
    },
    /// A backend server's answer to this router stated its load.
    OwnLoad(Load),
    /// A backend server's load report from a poll or another router, which arrives with a delay.
    Load(Load),
    /// Changes of a backend server's prefix cache, which arrive with a delay.
    CacheEvents {
        /// Name of the backend server.
        backend: String,
        /// Changes, oldest first.
        events: Vec<CacheEvent>,
        /// Whether changes before these were lost.
        gap: bool,
    },
    /// Another router's verdict on a request that was in flight on a replica that crashed.
    Verdict(Verdict),
    /// What another router learned from a backend server's answer.
    Hint(BackendHint),
    /// A message about permits from another router.
    PermitMessage {
        /// The router.
        from: Incarnation,
        /// The message.
        message: PermitMessage,
    },
    /// The routers of the fleet changed.
    Fleet(FleetView),
    /// Time passed. Required at least every
    /// [`Dispatcher::MAX_TICK_INTERVAL`](super::Dispatcher::MAX_TICK_INTERVAL) while calls wait.
    Tick,
}

/// A notice of a backend server about itself, with an answer or in its registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendNotice {
    /// It is leaving. This holds for this process of the server, whatever its registration says.
    Leaving,
    /// It asks this router to send no requests for a while.
    Backoff {
        /// Length of the backoff, from the answer on.
        duration: Millis,
    },
    /// It takes only this many requests from all routers together, as long as its answers say so.
    RateLimit {
        /// The limit.
        rate: RequestRate,
        /// The attempt whose answer names it.
        attempt: AttemptId,
    },
    /// It is cold.
    Cold {
        /// Time for which it stays so.
        remaining: Millis,
        /// Whether it said so in its registration or in a response.
        cause: ColdCause,
    },
    /// Its answer to this attempt names no rate limit.
    NoRateLimit {
        /// The attempt.
        attempt: AttemptId,
    },
}

/// The routers of the fleet, as far as the dispatcher needs them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Name of this router's host.
    pub host: String,
    /// Processor capacity of this router's host, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
    /// Whether this router is leaving the fleet.
    pub leaving: bool,
    /// The other routers, those that left included.
    pub routers: Vec<FleetRouter>,
}

/// Another router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetRouter {
    /// Identifies the run of the router.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: String,
    /// Processor capacity of its host, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
    /// Its state as far as this router knows.
    pub state: RouterState,
}

/// State of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterState {
    /// It takes part in the fleet.
    Alive,
    /// It cannot be reached and may be alive.
    Unreachable,
    /// It is leaving, or its run has ended.
    Left,
}

/// A request for a backend server.
#[derive(Clone, Debug)]
pub struct RoutingRequest {
    /// Identifier of the request within this router, unique among its open requests.
    pub call: u64,
    /// Model or service that the request is for.
    pub target: Target,
    /// Name of the customer, for fair sharing.
    pub customer: String,
    /// Weight of the customer among customers of the same priority.
    pub weight: u32,
    /// Priority; requests with a higher one start first.
    pub priority: u8,
    /// Digest of target and body.
    pub digest: Digest,
    /// Digests of the parts of the prompt that other requests may share, from
    /// [`part_digest`](super::part_digest).
    pub parts: Vec<Digest>,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// Hash of the content that this request shares with others that should run on the same
    /// backend server.
    pub affinity: Option<u64>,
    /// Expected work, in tokens.
    pub tokens: u64,
    /// Number of earlier attempts of this request by this router.
    pub attempts: u32,
    /// Names of backend servers that failed this request.
    pub exclude: Vec<String>,
    /// Names of backend servers that have the request and are silent. It is never assigned to them.
    pub running_on: Vec<String>,
    /// Version of the software that may run it.
    pub software: SoftwareNeed,
    /// Regions in which it may run.
    pub regions: RegionNeed,
    /// Whether it may wait for a backend server, or is assigned at once or refused.
    pub may_wait: bool,
    /// Time by which the first byte has to arrive, since the Unix epoch.
    pub deadline: Millis,
}

/// Model or service that a request needs from a backend server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A model by name.
    Model(String),
    /// A plain service by name.
    Service(String),
}

/// Progress or end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReport {
    /// The first token or byte of the answer arrived.
    FirstToken,
    /// Nothing has arrived for so long that another backend server may be tried as well. The attempt
    /// goes on.
    Silent,
    /// Something arrived after [`AttemptReport::Silent`].
    Resumed,
    /// The complete answer arrived and says that the request was carried out.
    Done {
        /// Tokens generated.
        tokens: u64,
    },
    /// An answer without a length ended with its connection, and says that the request was carried
    /// out. Nothing shows that it is whole.
    Unconfirmed,
    /// The backend server answered that it failed.
    Failed,
    /// The backend server answered that the request is invalid.
    Rejected,
    /// The backend server refused the work; it did not run.
    Refused,
    /// No byte reached the backend server; it did not run.
    Unsent,
    /// No connection to the backend server was opened in time, so that nothing was sent. The server may
    /// be sound and silent.
    Unreached,
    /// The router did not try to reach the backend server, as the caller had left, the deadline had
    /// passed or the router may no longer serve. It says nothing about the server.
    NotTried,
    /// The backend server is gone: its address accepts no connections or belongs to another server.
    /// The work did not run.
    Gone,
    /// The attempt ended without a valid, complete answer.
    Crashed {
        /// How it ended.
        kind: CrashKind,
    },
    /// The caller disconnected or its deadline passed.
    Cancelled,
}

impl From<CrashKind> for AttemptReport {
    fn from(kind: CrashKind) -> AttemptReport {
        AttemptReport::Crashed { kind }
    }
}

impl AttemptReport {
    /// Returns the report's name in logs and metrics.
    ///
    /// ```
    /// use toucanchute_core::routing::{AttemptReport, CrashKind};
    ///
    /// let kind = CrashKind::TimedOut;
    /// assert_eq!(AttemptReport::Crashed { kind }.name(), "timed-out");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AttemptReport::FirstToken => "first-token",
            AttemptReport::Silent => "silent",
            AttemptReport::Resumed => "resumed",
            AttemptReport::Done { .. } => "done",
            AttemptReport::Unconfirmed => "unconfirmed",
            AttemptReport::Failed => "failed",
            AttemptReport::Rejected => "rejected",
            AttemptReport::Refused => "refused",
            AttemptReport::Unsent => "unsent",
            AttemptReport::Unreached => "unreached",
            AttemptReport::NotTried => "not-tried",
            AttemptReport::Gone => "gone",
            AttemptReport::Crashed { kind } => match kind {
                CrashKind::Disconnected => "disconnected",
                CrashKind::Interrupted => "interrupted",
                CrashKind::Malformed => "malformed",
                CrashKind::TimedOut => "timed-out",
            },
            AttemptReport::Cancelled => "cancelled",
        }
    }
}

/// How an attempt ended without a valid, complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashKind {
    /// The connection was reset or closed before the end of the answer, and the backend server
    /// refuses new ones.
    Disconnected,
    /// The answer was malformed or belonged to another attempt.
    Malformed,
    /// No byte arrived within the time allowed.
    TimedOut,
    /// The connection broke, but the backend server accepts new ones, or opened none in time: it may
    /// be sound and silent.
    Interrupted,
}

/// A change of a backend server's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Hash of a prompt's leading blocks.
    pub prefix: u64,
    /// Whether it was stored or evicted.
    pub change: CacheChange,
}

/// How the state of a cached prefix changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix is in the cache.
    Stored,
    /// The prefix is no longer in the cache.
    Evicted,
}
