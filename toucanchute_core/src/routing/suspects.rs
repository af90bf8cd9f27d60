use std::collections::BTreeMap;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{Claim, Crash, Standing, Verdict},
};

use super::RoutingRequest;

/// Time for which a suspect is recorded.
const SUSPECT_RETENTION: Millis = Millis(60_000);

/// Duration of a quarantine.
const QUARANTINE_DURATION: Millis = Millis(600_000);

/// Time between a claim and the run, in which the other routers learn of the claim.
const GOSSIP_DELAY: Millis = Millis(80);

/// Largest difference of the times that two routers record for one crash of a replica. Their clocks
/// may differ by seconds.
const SAME_CRASH_TOLERANCE: Millis = Millis(10_000);

/// Time without an event after which verdicts of other routers may still be unread.
const PAUSE_THRESHOLD: Millis = Millis(40);

/// Time after which an unused claim is released.
const CLAIM_TIMEOUT: Millis = Millis(1_000);

/// Time for which a request waits for the result of another router's run of it.
const REMOTE_SUSPECT_DELAY: Millis = Millis(5_000);

/// Requests that may crash the replica that runs them.
///
/// A request that was in flight on a crashed replica is a suspect until it runs to its end. Until
/// then, only one copy of it runs at a time, on a replica that its router claims for it and on
/// which no router runs another suspect. A second crash puts the request in quarantine.
#[derive(Debug)]
pub(super) struct Suspects {
    router: Incarnation,
    entries: BTreeMap<Digest, Entry>,
    /// Time of the last event.
    last_event: Millis,
}

#[derive(Debug)]
struct Entry {
    standing: Standing,
    /// When the entry expires. Rises with every verdict on the request.
    until: Millis,
    /// Router that runs the request to find out whether it crashes replicas.
    router: Incarnation,
    /// When the request became a suspect or was cleared.
    since: Millis,
    /// Crash that made the request a suspect.
    crash: Option<Crash>,
    /// Replica that is claimed for the request.
    claim: Option<Claim>,
    /// Earliest time at which the request may run.
    ready_at: Millis,
    /// Whether this router runs a copy of the request as a suspect.
    running: bool,
}

/// Whether a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// It may run like any other request.
    Free,
    /// It may run after a replica has been claimed for it.
    NeedsClaim,
    /// It may run on this replica.
    OnReplica(String),
    /// It may run later.
    Wait,
    /// It may not run.
    Never,
}

/// Returns the digest that identifies a customer's request, whichever of the customer's callers
/// sends it.
///
/// ```
/// use toucanchute_core::routing::request_digest;
/// use toucanchute_proto::Digest;
///
/// let body = Digest::new("/talk/1", b"hello");
/// assert_ne!(request_digest("north", body), request_digest("south", body));
/// ```
#[must_use]
pub fn request_digest(customer: &str, request: Digest) -> Digest {
    Digest::new(customer, &request.0.to_le_bytes())
}

/// Returns the key of a request in [`Suspects`], which is its [`request_digest`].
pub(super) fn key(req: &RoutingRequest) -> Digest {
    request_digest(&req.customer, req.digest)
}

impl Suspects {
    pub(super) fn new(router: Incarnation) -> Suspects {
        Suspects {
            router,
            entries: BTreeMap::new(),
            last_event: Millis::default(),
        }
    }

    /// Records the time of an event. After a pause, claims wait until the verdicts of other routers
    /// that arrived meanwhile are read.
    pub(super) fn observe(&mut self, now: Millis) {
        let paused = now.since(self.last_event) >= PAUSE_THRESHOLD;
        self.last_event = now;
        let pending = |e: &&mut Entry| e.claim.is_some() && !e.running;
        for e in self.entries.values_mut().filter(pending).filter(|_| paused) {
            e.ready_at = e.ready_at.max(now + GOSSIP_DELAY);
        }
    }

    /// Returns whether a request may run now, and if so, where.
    pub(super) fn permit(&self, now: Millis, key: Digest) -> Permit {
        match self.entries.get(&key).filter(|e| e.until > now) {
            None => Permit::Free,
            Some(e) if e.standing == Standing::Quarantined => Permit::Never,
            Some(e) if e.standing == Standing::Cleared => Permit::Free,
            Some(e) if e.running || now < e.ready_at => Permit::Wait,
            Some(Entry {
                claim: Some(claim), ..
            }) if self.holds_claim(key, claim) => Permit::OnReplica(claim.replica.clone()),
            Some(_) => Permit::NeedsClaim,
        }
    }

    /// Whether a replica is claimed for any suspect.
    pub(super) fn is_claimed(&self, replica: &str) -> bool {
        self.claims_on(replica).next().is_some()
    }

    /// Claims a replica for a suspect, which may run on it once all routers know of the claim.
    /// Returns the verdict to send.
    pub(super) fn claim(&mut self, now: Millis, key: Digest, replica: &str) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.claim = Some(Claim {
            replica: replica.to_owned(),
            at: now,
        });
        e.ready_at = now + GOSSIP_DELAY;
        Some(self.issue_verdict(now, key))
    }

    /// Releases the claim of a suspect; returns the verdict to send if there was one.
    pub(super) fn release_claim(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.claim.take()?;
        Some(self.issue_verdict(now, key))
    }

    pub(super) fn record_start(&mut self, key: Digest) {
        if let Some(e) = self.entries.get_mut(&key) {
            e.running = true;
        }
    }

    /// Records that a run as a suspect ended, and releases its claim.
    pub(super) fn record_stop(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.running = false;
        self.release_claim(now, key)
    }

    /// Records that a run started at `started` ended by the crash of `replica`. The crash does not
    /// count if the request has run to its end elsewhere since.
    pub(super) fn record_crash(
        &mut self,
        now: Millis,
        key: Digest,
        replica: &str,
        started: Millis,
    ) -> Option<Verdict> {
        let old = self.entries.get(&key).filter(|e| e.until > now);
        if old.is_some_and(|e| e.standing == Standing::Cleared && started <= e.since) {
            return None;
        }
        let until = old.map_or(now, |e| e.until);
        let entry = match old.filter(|e| e.standing != Standing::Cleared) {
            None => Entry {
                crash: Some(Crash {
                    replica: replica.to_owned(),
                    at: now,
                }),
                ready_at: now,
                ..Entry::new(self.router, now, until)
            },
            Some(e) if e.standing == Standing::Quarantined => return None,
            Some(e) if e.is_same_crash(replica, started) => return None,
            Some(_) => return Some(self.quarantine(now, key)),
        };
        self.entries.insert(key, entry);
        Some(self.issue_verdict(now, key))
    }

    fn quarantine(&mut self, now: Millis, key: Digest) -> Verdict {
        let until = self.entries.get(&key).map_or(now, |e| e.until);
        let entry = Entry {
            standing: Standing::Quarantined,
            ..Entry::new(self.router, now, until.max(now + QUARANTINE_DURATION))
        };
        self.entries.insert(key, entry);
        self.issue_verdict(now, key)
    }

    /// Whether a request became a suspect so recently that other routers may not know of it yet.
    /// Until they do, its caller gets no answer, since the caller might send the request to another
    /// router.
    pub(super) fn is_propagating(&self, now: Millis, key: Digest) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|e| e.standing == Standing::Suspect && now < e.since + GOSSIP_DELAY)
    }

    pub(super) fn forget(&mut self, key: Digest) {
        self.entries.remove(&key);
    }

    /// Records that a request ran to its end, which clears a suspect.
    pub(super) fn record_completion(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let entry = self.entries.get_mut(&key).filter(|e| e.until > now)?;
        if entry.standing != Standing::Suspect {
            return None;
        }
        entry.standing = Standing::Cleared;
        entry.since = now;
        entry.claim = None;
        Some(self.issue_verdict(now, key))
    }

    /// Applies another router's verdict. Two different crashes put the request in quarantine; then
    /// the verdict to send is returned.
    pub(super) fn apply_verdict(&mut self, now: Millis, v: &Verdict) -> Option<Verdict> {
        let old = self.entries.get(&v.digest).filter(|e| e.until > now);
        if v.until <= now {
            return None;
        }
        if old.is_some_and(|e| e.is_different_crash(v)) {
            return Some(self.quarantine(now, v.digest));
        }
        if old.is_some_and(|e| !e.is_superseded_by(v)) {
            self.outrank(v);
            return None;
        }
        let mut entry = Entry::new(v.router, now, v.until);
        entry.standing = v.standing;
        entry.claim.clone_from(&v.claim);
        entry.since = old.map_or(now, |e| e.since);
        entry.crash = v
            .crash
            .clone()
            .or_else(|| old.and_then(|e| e.crash.clone()));
        self.entries.insert(v.digest, entry);
        None
    }

    /// Makes this router's next verdict on a request newer than `v`, by an expiry after that of
    /// `v`.
    fn outrank(&mut self, v: &Verdict) {
        if let Some(e) = self.entries.get_mut(&v.digest) {
            e.until = e.until.max(v.until);
        }
    }

    /// Renews verdicts on suspects that still run and releases claims that were not used in time.
    /// Returns the verdicts to send.
    pub(super) fn refresh(&mut self, now: Millis) -> Vec<Verdict> {
        self.entries.retain(|_, e| e.until > now || e.running);
        let mine = self.entries.iter().filter(|(_, e)| e.router == self.router);
        let expiring = |e: &Entry| e.running && e.until < now + Millis(SUSPECT_RETENTION.0 / 2);
        let unused = |e: &Entry| !e.running && now > e.ready_at + CLAIM_TIMEOUT;
        let keys: Vec<Digest> = mine
            .filter(|(_, e)| expiring(e) || e.claim.is_some() && unused(e))
            .map(|(&key, _)| key)
            .collect();
        for key in &keys {
            if let Some(e) = self.entries.get_mut(key).filter(|e| !e.running) {
                e.claim = None;
            }
        }
        keys.into_iter()
            .map(|key| self.issue_verdict(now, key))
            .collect()
    }

    /// Whether the claim is this router's and no other suspect claimed the same replica before.
    fn holds_claim(&self, key: Digest, claim: &Claim) -> bool {
        let ours = self.entries[&key].router == self.router;
        let first = |(at, other): (Millis, Digest)| (claim.at, key) <= (at, other);
        ours && self.claims_on(&claim.replica).all(first)
    }

    /// Returns the claims on a replica: when each was made and for which request.
    fn claims_on(&self, replica: &str) -> impl Iterator<Item = (Millis, Digest)> {
        let claims = self.entries.iter().filter_map(|(&key, e)| {
            let claim = e.claim.as_ref()?;
            Some((claim, key))
        });
        let same = claims.filter(move |(claim, _)| claim.replica == replica);
        same.map(|(claim, key)| (claim.at, key))
    }

    /// Returns this router's new verdict on a request, with a later expiry than any before.
    fn issue_verdict(&mut self, now: Millis, key: Digest) -> Verdict {
        let router = self.router;
        let entry = self.entries.entry(key);
        let e = entry.or_insert_with(|| Entry::new(router, now, now));
        e.router = router;
        e.until = (e.until + Millis(1)).max(now + SUSPECT_RETENTION);
        Verdict {
            digest: key,
            standing: e.standing,
            router,
            crash: e.crash.clone(),
            claim: e.claim.clone(),
            until: e.until,
        }
    }
}

impl Entry {
    /// Creates a suspect that waits for the result of a run by `router`.
    fn new(router: Incarnation, now: Millis, until: Millis) -> Entry {
        Entry {
            standing: Standing::Suspect,
            until,
            router,
            since: now,
            crash: None,
            claim: None,
            ready_at: now + REMOTE_SUSPECT_DELAY,
            running: false,
        }
    }

    /// Whether another router's verdict replaces this entry.
    fn is_superseded_by(&self, v: &Verdict) -> bool {
        match (self.standing, v.standing) {
            (Standing::Quarantined, _) => false,
            (_, Standing::Quarantined) => true,
            _ if self.running => false,
            (Standing::Suspect, _) if self.router < v.router => false,
            _ => self.router != v.router || self.until < v.until,
        }
    }

    /// Whether another router's verdict names a different crash than this entry.
    fn is_different_crash(&self, v: &Verdict) -> bool {
        let (Some(own), Some(other)) = (&self.crash, &v.crash) else {
            return false;
        };
        let both = self.standing == Standing::Suspect && v.standing == Standing::Suspect;
        let apart = own.at.since(other.at).max(other.at.since(own.at)) > SAME_CRASH_TOLERANCE;
        both && (own.replica != other.replica || apart)
    }

    /// Whether the crash under a run started at `started` is the one that made the request a
    /// suspect.
    fn is_same_crash(&self, replica: &str, started: Millis) -> bool {
        let same = |c: &Crash| c.replica == replica;
        started <= self.since && self.crash.as_ref().is_none_or(same)
    }
}
