//! Requests and parts of prompts that may crash the replica that runs them.

mod answers;
mod entry;
mod evidence;
mod key;
mod rivals;
mod verdicts;

use std::collections::BTreeMap;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{Claim, Standing, Verdict},
};

use self::{answers::PartAnswers, entry::Entry, rivals::Rivals};
use super::{Dispatcher, RoutingRequest};
pub(super) use evidence::{CrashedRun, Survivors};
pub(super) use key::SuspectKey;
pub use key::{part_digest, request_digest};

/// Time for which a suspect is recorded.
const SUSPECT_RETENTION: Millis = Millis(60_000);

/// Longest time that a verdict usually takes to another router.
const TRANSIT_TIME: Millis = Millis(40);

/// Delay of a tick that is still usual.
const TICK_DELAY: Millis = Millis(20);

/// Time without an event after which verdicts of other routers may still be unread. Ticks may be all
/// the events that a router has.
const PAUSE_THRESHOLD: Millis = Millis(Dispatcher::MAX_TICK_INTERVAL.0 + TICK_DELAY.0);

/// Time between a claim and the run, in which the other routers learn of the claim. Verdicts that
/// were sent before the claim are read by then, also after a pause just short of the threshold.
const GOSSIP_DELAY: Millis = Millis(TRANSIT_TIME.0 + PAUSE_THRESHOLD.0);

/// Crashes after which a part that was in all runs is blamed although others were in each of them.
const MAX_AMBIGUOUS_CRASHES: u32 = 3;

/// Time after which an unused claim is released.
const CLAIM_TIMEOUT: Millis = Millis(1_000);

/// Requests, and parts of prompts, that may crash the replica that runs them.
///
/// A request that was in flight on a crashed replica is a suspect until it runs to its end, and so is
/// each part that its prompt shares with others. Until then, only one request with it runs at a time,
/// on a replica that its router claims for it and on which no router runs another suspect.
///
/// A second crash puts a request in quarantine. Parts are shared with sound requests, so that it takes
/// a third crash in a row, without a whole answer to a later run in between; and a part that was
/// answered a short time before, or is being answered elsewhere, runs freely meanwhile. As long as other
/// parts may have caused all these crashes as well, a request that lacks one of them tells them apart and
/// may run as the requests of suspects do.
#[derive(Debug)]
pub(super) struct Suspects {
    router: Incarnation,
    entries: BTreeMap<SuspectKey, Entry>,
    answers: PartAnswers,
    /// Replicas that crashed a moment ago, by name, and when.
    crashed_replicas: BTreeMap<String, Millis>,
    /// Time of the last event.
    last_event: Millis,
}

/// Whether a request may run now, from the fewest to the most restrictions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Permit {
    /// It may run like any other request.
    Free,
    /// It may run on this replica.
    OnReplica(String),
    /// It may run after a replica has been claimed for it.
    NeedsClaim,
    /// It may run later.
    Wait,
    /// It may not run.
    Never,
}

/// Place of a waiting request among others, the first to start first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// A replica is claimed for it.
    Claimed,
    /// It needs a claim for this many suspects. The fewer they are, the more its run tells.
    Suspects(usize),
    /// It may not run now.
    Held,
    /// It may run like any other request.
    Free,
}

impl Suspects {
    pub(super) fn new(router: Incarnation) -> Suspects {
        Suspects {
            router,
            entries: BTreeMap::new(),
            answers: PartAnswers::default(),
            crashed_replicas: BTreeMap::new(),
            last_event: Millis::default(),
        }
    }

    /// Records the time of an event. After a pause, this router's claims wait until the verdicts of
    /// other routers that arrived meanwhile are read.
    pub(super) fn observe(&mut self, now: Millis) {
        let paused = now.since(self.last_event) >= PAUSE_THRESHOLD;
        self.last_event = now;
        let pending = |e: &&mut Entry| e.claimed_for.is_some() && !e.running;
        for e in self.entries.values_mut().filter(pending).filter(|_| paused) {
            e.ready_at = e.ready_at.max(now + GOSSIP_DELAY);
        }
    }

    /// Returns whether a request may run now, and if so, where.
    pub(super) fn permit(&self, now: Millis, req: &RoutingRequest) -> Permit {
        if self.entries.is_empty() {
            return Permit::Free;
        }
        let permits = SuspectKey::all(req).map(|key| self.key_permit(now, key, req));
        permits.max().unwrap_or(Permit::Free)
    }

    /// Returns the place of a waiting request among those that may not run freely.
    pub(super) fn rank(&self, now: Millis, req: &RoutingRequest) -> Rank {
        match self.permit(now, req) {
            Permit::Free => Rank::Free,
            Permit::OnReplica(_) => Rank::Claimed,
            Permit::NeedsClaim => Rank::Suspects(self.suspects_of(now, req).len()),
            Permit::Wait | Permit::Never => Rank::Held,
        }
    }

    /// Returns the suspects of a request that may not run freely.
    pub(super) fn suspects_of(&self, now: Millis, req: &RoutingRequest) -> Vec<SuspectKey> {
        let suspected = |key: &SuspectKey| self.key_permit(now, *key, req) != Permit::Free;
        SuspectKey::all(req).filter(suspected).collect()
    }

    /// Returns whether a request may run now as far as itself or one of its parts is concerned.
    fn key_permit(&self, now: Millis, key: SuspectKey, req: &RoutingRequest) -> Permit {
        let call = req.call;
        let Some(e) = self.entries.get(&key).filter(|e| e.until > now) else {
            return Permit::Free;
        };
        match e.standing {
            Standing::Cleared => Permit::Free,
            Standing::Suspect if e.trusted => Permit::Free,
            Standing::Suspect => self.suspect_permit(now, key, e, call),
            Standing::Quarantined if self.tells_apart(now, key, e, req) => {
                self.suspect_permit(now, key, e, call)
            }
            Standing::Quarantined if !e.is_trial_due(now) => Permit::Never,
            Standing::Quarantined => match self.suspect_permit(now, key, e, call) {
                Permit::Wait if e.claimed_for != Some(call) => Permit::Never,
                permit => permit,
            },
        }
    }

    fn suspect_permit(&self, now: Millis, key: SuspectKey, e: &Entry, call: u64) -> Permit {
        let claim = e.claim.as_ref().filter(|c| self.holds_claim(key, c));
        match claim {
            _ if e.running || now < e.ready_at => Permit::Wait,
            Some(_) if e.claimed_for.is_some_and(|c| c != call) => Permit::Wait,
            Some(claim) => Permit::OnReplica(claim.replica.clone()),
            None => Permit::NeedsClaim,
        }
    }

    /// Whether a run of a request with a part in quarantine shows if that part or one of its rivals crashes
    /// replicas.
    fn tells_apart(&self, now: Millis, key: SuspectKey, e: &Entry, req: &RoutingRequest) -> bool {
        let Rivals::Shared(rivals) = &e.rivals else {
            return false;
        };
        if rivals.is_empty() {
            return self.is_ambiguous(now, key, e, req);
        }
        let mut blamed = rivals.iter().filter(|&&part| self.is_blamed(now, part));
        blamed.any(|part| !req.parts.contains(part))
    }

    /// Whether one more run is due of a request with a part that was in all runs that crashed, as no other part
    /// was. Two bad parts in turn look the same, unless the part was answered before.
    fn is_ambiguous(&self, now: Millis, key: SuspectKey, e: &Entry, req: &RoutingRequest) -> bool {
        let mut others = req.parts.iter().filter(|&&part| part != key.digest);
        let new = e.crashes <= MAX_AMBIGUOUS_CRASHES && !self.answers.contains(key);
        new && !others.any(|&part| self.is_blamed(now, part))
    }

    /// Whether a part is under suspicion or in quarantine, and nothing vouches for it.
    fn is_blamed(&self, now: Millis, part: Digest) -> bool {
        let entry = self.entries.get(&SuspectKey::part(part));
        let entry = entry.filter(|e| e.until > now && !e.trusted);
        entry.is_some_and(|e| e.standing != Standing::Cleared)
    }

    /// Whether a replica is claimed for any suspect.
    pub(super) fn is_claimed(&self, replica: &str) -> bool {
        self.claims_on(replica).next().is_some()
    }

    /// Claims a replica for the suspects of a call, which may run on it once all routers know of the
    /// claim. Returns the verdicts to send.
    pub(super) fn claim(
        &mut self,
        now: Millis,
        call: u64,
        suspects: &[SuspectKey],
        replica: &str,
    ) -> Vec<Verdict> {
        let mut verdicts = Vec::with_capacity(suspects.len());
        for &key in suspects {
            let Some(e) = self.entries.get_mut(&key) else {
                continue;
            };
            e.claim = Some(Claim {
                replica: replica.to_owned(),
                at: now,
            });
            e.claimed_for = Some(call);
            e.ready_at = now + GOSSIP_DELAY;
            verdicts.push(self.issue_verdict(now, key));
        }
        verdicts
    }

    /// Releases the claim of a suspect; returns the verdict to send if there was one.
    pub(super) fn release_claim(&mut self, now: Millis, key: SuspectKey) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.claim.take()?;
        e.claimed_for = None;
        Some(self.issue_verdict(now, key))
    }

    pub(super) fn record_start(&mut self, key: SuspectKey) {
        if let Some(e) = self.entries.get_mut(&key) {
            e.running = true;
        }
    }

    /// Records that a run as a suspect ended, and releases its claim.
    pub(super) fn record_stop(&mut self, now: Millis, key: SuspectKey) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.running = false;
        self.release_claim(now, key)
    }

    /// Whether a request became a suspect so recently that other routers may not know of it yet.
    /// Until they do, its caller gets no answer, since the caller might send the request to another
    /// router.
    pub(super) fn is_propagating(&self, now: Millis, req: &RoutingRequest) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let entry = self.entries.get(&SuspectKey::request(req));
        entry.is_some_and(|e| e.standing == Standing::Suspect && now < e.since + GOSSIP_DELAY)
    }

    pub(super) fn forget(&mut self, key: SuspectKey) {
        self.entries.remove(&key);
    }

    /// Whether the claim is this router's and no other one claimed the same replica before.
    fn holds_claim(&self, key: SuspectKey, claim: &Claim) -> bool {
        let router = self.entries[&key].router;
        let first = |(at, other): (Millis, Incarnation)| (claim.at, router) <= (at, other);
        router == self.router && self.claims_on(&claim.replica).all(first)
    }

    /// Returns the claims on a replica: when each was made and by which router.
    fn claims_on(&self, replica: &str) -> impl Iterator<Item = (Millis, Incarnation)> {
        let claims = self.entries.values().filter_map(|e| {
            let claim = e.claim.as_ref()?;
            Some((claim, e.router))
        });
        let same = claims.filter(move |(claim, _)| claim.replica == replica);
        same.map(|(claim, router)| (claim.at, router))
    }
}
