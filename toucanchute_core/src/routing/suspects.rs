use std::collections::BTreeMap;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{Standing, Verdict},
};

use super::{Assign, pool::BackendKey};

/// How long a suspect is remembered.
const SUSPECT_TIME: Millis = Millis(60_000);

/// How long a quarantine lasts.
const QUARANTINE_TIME: Millis = Millis(600_000);

/// Time between a claim and the run, in which the other routers hear of it.
const NEWS_TIME: Millis = Millis(50);

/// Time within which a claim has to be used.
const CLAIM_TIME: Millis = Millis(1_000);

/// How long a request waits for what another router finds out about it.
const FOREIGN_TIME: Millis = Millis(5_000);

/// Requests that may crash the replica that runs them.
///
/// A request that was in flight on a crashed replica is a suspect until it runs to its end. While
/// it is one, one copy of it runs at a time, on a replica that its router claims for it and on
/// which no router runs another suspect. A second crash puts it in quarantine.
#[derive(Debug)]
pub(super) struct Suspects {
    router: Incarnation,
    entries: BTreeMap<Digest, Entry>,
}

#[derive(Debug)]
struct Entry {
    quarantined: bool,
    /// Rises with every word about the request.
    until: Millis,
    /// Router that has to find out.
    router: Incarnation,
    /// When it became a suspect.
    since: Millis,
    /// Replica that crashed; none if another router said so.
    crashed: Option<BackendKey>,
    /// Replica that is claimed for it.
    claim: Option<String>,
    /// When it may run next.
    ready_at: Millis,
    /// Whether a copy runs as a suspect at this router.
    running: bool,
}

/// Whether a request may run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// It may, like any other.
    Free,
    /// A replica has to be claimed for it.
    Claim,
    /// It may, on this replica.
    On(String),
    /// It may later.
    Wait,
    /// It may not.
    Never,
}

/// Identifies a request of one customer.
pub(super) fn key(req: &Assign) -> Digest {
    Digest::new(&req.customer, &req.digest.0.to_le_bytes())
}

impl Suspects {
    pub(super) fn new(router: Incarnation) -> Suspects {
        Suspects {
            router,
            entries: BTreeMap::new(),
        }
    }

    pub(super) fn permit(&self, now: Millis, key: Digest) -> Permit {
        match self.entries.get(&key).filter(|e| e.until > now) {
            None => Permit::Free,
            Some(e) if e.quarantined => Permit::Never,
            Some(e) if e.running || now < e.ready_at => Permit::Wait,
            Some(Entry {
                claim: Some(claim), ..
            }) if self.holds(key, claim) => Permit::On(claim.clone()),
            Some(_) => Permit::Claim,
        }
    }

    /// Whether the request is a suspect or in quarantine.
    pub(super) fn known(&self, now: Millis, key: Digest) -> bool {
        self.permit(now, key) != Permit::Free
    }

    /// Whether a replica is claimed for any suspect.
    pub(super) fn claimed(&self, replica: &str) -> bool {
        self.claims(replica).next().is_some()
    }

    /// Claims a replica for a suspect that may run on it when all routers have heard.
    pub(super) fn claim(&mut self, now: Millis, key: Digest, replica: &str) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.claim = Some(replica.to_owned());
        e.ready_at = now + NEWS_TIME;
        Some(self.say(now, key))
    }

    /// Gives up a claim that can't be used.
    pub(super) fn unclaim(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.claim.take()?;
        Some(self.say(now, key))
    }

    pub(super) fn started(&mut self, key: Digest) {
        if let Some(e) = self.entries.get_mut(&key) {
            e.running = true;
        }
    }

    /// Takes in that a run as a suspect ended; its claim is void.
    pub(super) fn stopped(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let e = self.entries.get_mut(&key)?;
        e.running = false;
        self.unclaim(now, key)
    }

    /// Takes in that a run started at `started` ended by the crash of `replica`.
    pub(super) fn crashed(
        &mut self,
        now: Millis,
        key: Digest,
        replica: BackendKey,
        started: Millis,
    ) -> Option<Verdict> {
        let old = self.entries.get(&key).filter(|e| e.until > now);
        let entry = match old {
            None => Entry {
                crashed: Some(replica),
                ready_at: now,
                ..Entry::new(self.router, now, now + SUSPECT_TIME)
            },
            Some(e) if e.quarantined || e.same_crash(replica, started) => return None,
            Some(e) => Entry {
                quarantined: true,
                ..Entry::new(self.router, now, e.until.max(now + QUARANTINE_TIME))
            },
        };
        self.entries.insert(key, entry);
        Some(self.say(now, key))
    }

    /// Takes in that the request ran to its end.
    pub(super) fn finished(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let entry = self.entries.get(&key).filter(|e| e.until > now)?;
        if entry.quarantined {
            return None;
        }
        let mut verdict = self.say(now, key);
        verdict.standing = Standing::Cleared;
        verdict.replica = None;
        self.entries.remove(&key);
        Some(verdict)
    }

    /// Takes in another router's word.
    pub(super) fn told(&mut self, now: Millis, v: &Verdict) {
        let old = self.entries.get(&v.digest).filter(|e| e.until > now);
        let stale = old.is_some_and(|e| e.quarantined || e.running);
        if v.until <= now || stale && v.standing != Standing::Quarantined {
            return;
        }
        match v.standing {
            Standing::Cleared => {
                self.entries.remove(&v.digest);
            }
            Standing::Quarantined => {
                let entry = Entry::new(v.router, now, v.until);
                let quarantined = true;
                self.entries.insert(
                    v.digest,
                    Entry {
                        quarantined,
                        ..entry
                    },
                );
            }
            Standing::Suspect if old.is_some_and(|e| e.router < v.router) => {}
            Standing::Suspect => {
                let mut entry = Entry::new(v.router, now, v.until);
                entry.claim.clone_from(&v.replica);
                entry.since = old.map_or(now, |e| e.since);
                entry.crashed = old.and_then(|e| e.crashed);
                self.entries.insert(v.digest, entry);
            }
        }
    }

    /// Speaks again of suspects that still run and gives up claims that were not used.
    pub(super) fn refresh(&mut self, now: Millis) -> Vec<Verdict> {
        self.entries.retain(|_, e| e.until > now || e.running);
        let mine = self.entries.iter().filter(|(_, e)| e.router == self.router);
        let fading = |e: &Entry| e.running && e.until < now + Millis(SUSPECT_TIME.0 / 2);
        let unused = |e: &Entry| !e.running && now > e.ready_at + CLAIM_TIME;
        let keys: Vec<Digest> = mine
            .filter(|(_, e)| fading(e) || e.claim.is_some() && unused(e))
            .map(|(&key, _)| key)
            .collect();
        for key in &keys {
            if let Some(e) = self.entries.get_mut(key).filter(|e| !e.running) {
                e.claim = None;
            }
        }
        keys.into_iter().map(|key| self.say(now, key)).collect()
    }

    /// Whether no suspect with a lesser digest claims the same replica.
    fn holds(&self, key: Digest, replica: &str) -> bool {
        let ours = self.entries[&key].router == self.router;
        ours && self.claims(replica).all(|other| other >= key)
    }

    fn claims(&self, replica: &str) -> impl Iterator<Item = Digest> {
        let claimed = move |e: &Entry| e.claim.as_deref() == Some(replica);
        let entries = self.entries.iter();
        entries.filter(move |(_, e)| claimed(e)).map(|(&k, _)| k)
    }

    /// Makes this router's newest word about a request.
    fn say(&mut self, now: Millis, key: Digest) -> Verdict {
        let router = self.router;
        let entry = self.entries.entry(key);
        let e = entry.or_insert_with(|| Entry::new(router, now, now));
        e.router = router;
        e.until = (e.until + Millis(1)).max(now + SUSPECT_TIME);
        Verdict {
            digest: key,
            standing: match e.quarantined {
                true => Standing::Quarantined,
                false => Standing::Suspect,
            },
            router,
            replica: e.claim.clone(),
            until: e.until,
        }
    }
}

impl Entry {
    /// A suspect that waits for what `router` finds out about it.
    fn new(router: Incarnation, now: Millis, until: Millis) -> Entry {
        Entry {
            quarantined: false,
            until,
            router,
            since: now,
            crashed: None,
            claim: None,
            ready_at: now + FOREIGN_TIME,
            running: false,
        }
    }

    /// Whether the crash of another copy is the one that made this request a suspect.
    fn same_crash(&self, replica: BackendKey, started: Millis) -> bool {
        started <= self.since && self.crashed.is_none_or(|r| r == replica)
    }
}
