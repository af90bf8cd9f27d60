use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{Claim, Crash, Scope, Standing, Verdict},
};

use super::Rivals;

/// Time for which a request waits for the result of another router's run of it.
const REMOTE_SUSPECT_DELAY: Millis = Millis(5_000);

/// Largest difference of the times that two routers record for one crash of a replica. Their clocks
/// may differ by seconds.
const SAME_CRASH_TOLERANCE: Millis = Millis(10_000);

/// What is known of a request or a part under which a replica crashed.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) standing: Standing,
    /// When the entry expires. Rises with every verdict on the request.
    pub(super) until: Millis,
    /// Router that runs the request to find out whether it crashes replicas.
    pub(super) router: Incarnation,
    /// When this router learned of the last crash that counts, or that the entry was cleared.
    pub(super) since: Millis,
    /// Crash of a replica under it.
    pub(super) crash: Option<Crash>,
    /// Of a part: number of crashes since it became a suspect, each under a run that began after the
    /// crash before, so that replicas which crash together count once.
    pub(super) crashes: u32,
    /// The same for the time before, in which it was trusted.
    pub(super) trusted_crashes: u32,
    /// Of a part: what else may have caused the crashes under it.
    pub(super) rivals: Rivals,
    /// Replica that is claimed for the request.
    pub(super) claim: Option<Claim>,
    /// Call of this router for which the replica is claimed.
    pub(super) claimed_for: Option<u64>,
    /// Earliest time at which the request may run.
    pub(super) ready_at: Millis,
    /// Whether this router runs a copy of the request as a suspect.
    pub(super) running: bool,
    /// Whether requests with the part run freely all the same, as others with it were answered or
    /// are being answered.
    pub(super) trusted: bool,
    /// Of a part in quarantine: when a run may find out whether it still crashes replicas.
    pub(super) trial_at: Option<Millis>,
    /// Whether other routers know of the entry.
    pub(super) shared: bool,
}

impl Entry {
    /// Creates a suspect that waits for the result of a run by `router`.
    pub(super) fn new(router: Incarnation, now: Millis, until: Millis) -> Entry {
        Entry {
            standing: Standing::Suspect,
            until,
            router,
            since: now,
            crash: None,
            crashes: 0,
            trusted_crashes: 0,
            rivals: Rivals::Unknown,
            claim: None,
            claimed_for: None,
            ready_at: now + REMOTE_SUSPECT_DELAY,
            running: false,
            trusted: false,
            trial_at: None,
            shared: false,
        }
    }

    /// Whether a part in quarantine may be run to find out whether it still crashes replicas.
    pub(super) fn is_trial_due(&self, now: Millis) -> bool {
        self.trial_at.is_some_and(|at| at <= now)
    }

    /// Whether another router's verdict replaces this entry.
    pub(super) fn is_superseded_by(&self, now: Millis, v: &Verdict) -> bool {
        let newer = self.router != v.router || self.until < v.until;
        let is_part = v.scope == Scope::Part;
        match (self.standing, v.standing) {
            (Standing::Suspect, Standing::Cleared) if is_part => v.crashes >= self.crashes,
            (Standing::Quarantined, Standing::Cleared) if is_part => {
                let tried = self.is_trial_due(now) || self.rivals.is_shared();
                tried && v.crashes >= self.crashes
            }
            (Standing::Quarantined, Standing::Quarantined) if is_part => {
                // Of two claims that were made at the same time, all routers keep the same one.
                let first = (self.until, self.router) < (v.until, v.router);
                !self.running && first
            }
            (Standing::Quarantined, _) => false,
            (_, Standing::Quarantined) => true,
            _ if self.running => false,
            (Standing::Suspect, Standing::Suspect)
                if is_part && self.router != v.router && self.has_claim(now) =>
            {
                v.claim.is_some() && v.router < self.router
            }
            (Standing::Suspect, Standing::Suspect) if is_part && v.claim.is_some() => true,
            (Standing::Suspect, _) if self.router < v.router => false,
            _ => newer,
        }
    }

    /// Whether a replica is claimed. A claim of another router, which may have ended, lapses after
    /// [`REMOTE_SUSPECT_DELAY`].
    fn has_claim(&self, now: Millis) -> bool {
        self.claim.is_some() && (self.claimed_for.is_some() || now < self.ready_at)
    }

    /// Whether another router's verdict names a different crash than this entry.
    pub(super) fn is_different_crash(&self, v: &Verdict) -> bool {
        let (Some(own), Some(other)) = (&self.crash, &v.crash) else {
            return false;
        };
        let both = self.standing == Standing::Suspect && v.standing == Standing::Suspect;
        let apart = own.at.since(other.at).max(other.at.since(own.at)) > SAME_CRASH_TOLERANCE;
        both && (own.replica != other.replica || apart)
    }

    /// Whether the crash under a run started at `started` is the one that made the request a
    /// suspect.
    pub(super) fn is_same_crash(&self, replica: &str, started: Millis) -> bool {
        let same = |c: &Crash| c.replica == replica;
        started <= self.since && self.crash.as_ref().is_none_or(same)
    }
}
