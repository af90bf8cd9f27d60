use std::collections::BTreeMap;

use toucanchute_proto::{
    Digest, Millis,
    fleet::{Standing, Verdict},
};

use super::{Assign, pool::BackendKey};

/// How long a suspect is remembered.
const SUSPECT_TIME: Millis = Millis(60_000);

/// How long a quarantine lasts.
const QUARANTINE_TIME: Millis = Millis(600_000);

/// Time between a crash and the next run, in which the other routers hear of it.
const NEWS_TIME: Millis = Millis(50);

/// How long a request waits for what another router finds out about it.
const FOREIGN_TIME: Millis = Millis(5_000);

/// Requests that may crash the replica that runs them.
///
/// A request that was in flight on a crashed replica is a suspect until it runs to its end. While
/// it is one, one copy of it runs at a time and on a replica without other suspects. A second
/// crash puts it in quarantine.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    entries: BTreeMap<Digest, Entry>,
}

#[derive(Debug)]
struct Entry {
    quarantined: bool,
    until: Millis,
    /// When it became a suspect.
    since: Millis,
    /// Replica that crashed; none if another router said so.
    replica: Option<BackendKey>,
    /// When it may run next.
    ready_at: Millis,
    /// Whether a copy runs as a suspect.
    running: bool,
}

/// Whether a request may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permit {
    /// It may, like any other.
    Free,
    /// It may, apart from other suspects.
    Apart,
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
    pub(super) fn permit(&self, now: Millis, key: Digest) -> Permit {
        match self.entries.get(&key).filter(|e| e.until > now) {
            None => Permit::Free,
            Some(e) if e.quarantined => Permit::Never,
            Some(e) if e.running || now < e.ready_at => Permit::Wait,
            Some(_) => Permit::Apart,
        }
    }

    /// Whether the request is a suspect or in quarantine.
    pub(super) fn known(&self, now: Millis, key: Digest) -> bool {
        self.permit(now, key) != Permit::Free
    }

    pub(super) fn started(&mut self, key: Digest) {
        if let Some(e) = self.entries.get_mut(&key) {
            e.running = true;
        }
    }

    /// Takes in that a run as a suspect ended without a verdict.
    pub(super) fn stopped(&mut self, key: Digest) {
        if let Some(e) = self.entries.get_mut(&key) {
            e.running = false;
        }
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
        let verdict = match old {
            None => self.suspect(now, key, replica),
            Some(e) if e.quarantined => return None,
            Some(e) if e.same_crash(replica, started) => return None,
            Some(_) => self.quarantine(now, key),
        };
        Some(verdict)
    }

    /// Takes in that the request ran to its end.
    pub(super) fn finished(&mut self, now: Millis, key: Digest) -> Option<Verdict> {
        let entry = self.entries.get(&key).filter(|e| e.until > now)?;
        if entry.quarantined {
            return None;
        }
        let until = entry.until;
        self.entries.remove(&key);
        Some(Verdict {
            digest: key,
            standing: Standing::Cleared,
            until,
        })
    }

    /// Takes in another router's word.
    pub(super) fn told(&mut self, now: Millis, v: Verdict) {
        if v.until <= now {
            return;
        }
        let old = self.entries.get(&v.digest).filter(|e| e.until > now);
        match v.standing {
            Standing::Quarantined => {
                self.entries
                    .insert(v.digest, Entry::quarantined(now, v.until));
            }
            Standing::Cleared if old.is_some_and(|e| !e.quarantined && e.until <= v.until) => {
                self.entries.remove(&v.digest);
            }
            Standing::Suspect if old.is_none() => {
                self.entries.insert(v.digest, Entry::foreign(now, v.until));
            }
            Standing::Cleared | Standing::Suspect => {}
        }
    }

    pub(super) fn forget_expired(&mut self, now: Millis) {
        self.entries.retain(|_, e| e.until > now);
    }

    fn suspect(&mut self, now: Millis, key: Digest, replica: BackendKey) -> Verdict {
        let until = now + SUSPECT_TIME;
        let entry = Entry {
            replica: Some(replica),
            ready_at: now + NEWS_TIME,
            ..Entry::foreign(now, until)
        };
        self.entries.insert(key, entry);
        Verdict {
            digest: key,
            standing: Standing::Suspect,
            until,
        }
    }

    fn quarantine(&mut self, now: Millis, key: Digest) -> Verdict {
        let until = now + QUARANTINE_TIME;
        self.entries.insert(key, Entry::quarantined(now, until));
        Verdict {
            digest: key,
            standing: Standing::Quarantined,
            until,
        }
    }
}

impl Entry {
    fn foreign(now: Millis, until: Millis) -> Entry {
        Entry {
            quarantined: false,
            until,
            since: now,
            replica: None,
            ready_at: now + FOREIGN_TIME,
            running: false,
        }
    }

    fn quarantined(now: Millis, until: Millis) -> Entry {
        Entry {
            quarantined: true,
            ..Entry::foreign(now, until)
        }
    }

    /// Whether the crash of another copy is the one that made this request a suspect.
    fn same_crash(&self, replica: BackendKey, started: Millis) -> bool {
        started <= self.since && self.replica.is_none_or(|r| r == replica)
    }
}
