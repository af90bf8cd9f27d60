use std::{collections::BTreeSet, sync::Arc};

use toucanchute_proto::{
    AttemptId, Digest, Millis,
    config::Config,
    fleet::{Load, Verdict},
};

/// What happened, as told to a [`Dispatcher`](super::Dispatcher).
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
    /// A request needs a backend server.
    Assign(RoutingRequest),
    /// A request that waits does so no more; ignored if it was answered already.
    Abandon {
        /// The call of [`RoutingRequest`].
        call: u64,
    },
    /// An attempt made progress or ended.
    Report {
        /// The attempt of [`Action::Assigned`](super::Action::Assigned).
        attempt: AttemptId,
        /// What happened to it.
        report: AttemptReport,
    },
    /// The registration of a backend server is gone although it did not say that it leaves.
    RegistrationLapsed {
        /// Name of the backend server.
        backend: String,
    },
    /// A backend server said something of itself in an answer to this router.
    Notice {
        /// Name of the backend server.
        backend: String,
        /// What it said.
        notice: BackendNotice,
    },
    /// A backend server's lagging load.
    Load(Load),
    /// Late changes of a backend server's prefix cache.
    CacheEvents {
        /// Name of the backend server.
        backend: String,
        /// Changes, oldest first.
        events: Vec<CacheEvent>,
        /// Whether events before these were lost.
        gap: bool,
    },
    /// Another router's word about a request that was in flight on a replica that crashed.
    Verdict(Verdict),
    /// Time passed. Wanted every 20 ms or so while calls wait.
    Tick,
}

/// What a backend server says of itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendNotice {
    /// It leaves. Holds for this run of it, whatever its registration says.
    Leaving,
    /// It wants no request of this router for a while.
    Backoff {
        /// Time from the answer on.
        duration: Millis,
    },
}

/// A request for a backend server.
#[derive(Clone, Debug)]
pub struct RoutingRequest {
    /// Identifies the request within this router; not in use by another.
    pub call: u64,
    /// What is asked for.
    pub target: Target,
    /// The customer's name, for fairness.
    pub customer: String,
    /// The customer's share among customers of one priority.
    pub weight: u32,
    /// Higher goes first.
    pub priority: u8,
    /// Digest of target and body.
    pub digest: Digest,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// Hash of what the request shares with others that should run on the same backend server.
    pub affinity: Option<u64>,
    /// Expected work, in tokens.
    pub tokens: u64,
    /// Number of earlier attempts of this request by this router.
    pub attempts: u32,
    /// Names of backend servers that failed this request.
    pub exclude: Vec<String>,
    /// Time by which the first byte has to arrive, since the Unix epoch.
    pub deadline: Millis,
}

/// What a request wants from a backend server.
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
    /// The answer came whole and says that the request was carried out.
    Done {
        /// Tokens generated.
        tokens: u64,
    },
    /// The backend server answered that it failed.
    Failed,
    /// The backend server answered that the request is at fault.
    Rejected,
    /// The backend server refused the work; it did not run.
    Refused,
    /// No byte reached the backend server; it did not run.
    Unsent,
    /// The backend server is not there any more: its address takes no connections or is another's.
    /// The work did not run.
    Gone,
    /// The attempt broke off.
    Crashed {
        /// How it broke off.
        kind: CrashKind,
    },
    /// The caller went away or its deadline passed.
    Cancelled,
}

impl From<CrashKind> for AttemptReport {
    fn from(kind: CrashKind) -> AttemptReport {
        AttemptReport::Crashed { kind }
    }
}

impl AttemptReport {
    /// Returns its name in logs and metrics.
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
            AttemptReport::Done { .. } => "done",
            AttemptReport::Failed => "failed",
            AttemptReport::Rejected => "rejected",
            AttemptReport::Refused => "refused",
            AttemptReport::Unsent => "unsent",
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

/// How an attempt broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashKind {
    /// The connection was reset or closed before the answer's end, and no new one can be opened.
    Disconnected,
    /// The answer was malformed or belonged to another attempt.
    Malformed,
    /// No byte came within the time allowed.
    TimedOut,
    /// The connection broke off, but the backend server takes new ones.
    Interrupted,
}

/// A change of a backend server's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Hash of a prompt's leading blocks.
    pub prefix: u64,
    /// What became of it.
    pub change: CacheChange,
}

/// What became of a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// It is in the cache.
    Stored,
    /// It is no longer in the cache.
    Evicted,
}
