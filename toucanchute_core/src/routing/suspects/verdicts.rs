//! Verdicts that this router sends to others and receives from them.

use toucanchute_proto::{
    Millis,
    fleet::{Claim, Scope, Standing, Verdict},
};

use super::{
    CLAIM_TIMEOUT, Entry, GOSSIP_DELAY, Rivals, SUSPECT_RETENTION, SuspectKey, Suspects,
    evidence::Survivors,
};

impl SuspectKey {
    /// Returns what a verdict is on.
    pub(in crate::routing) fn of(v: &Verdict) -> SuspectKey {
        SuspectKey {
            scope: v.scope,
            digest: v.digest,
        }
    }
}

impl Suspects {
    /// Applies another router's verdict. Two different crashes put a request in quarantine; then the
    /// verdict to send is returned.
    pub(in crate::routing) fn apply_verdict(
        &mut self,
        now: Millis,
        v: &Verdict,
        survivors: &Survivors<'_>,
    ) -> Option<Verdict> {
        if v.until <= now {
            return None;
        }
        match v.scope {
            Scope::Request => self.apply_request_verdict(now, v),
            Scope::Part => {
                self.apply_part_verdict(now, v, survivors);
                None
            }
        }
    }

    fn apply_request_verdict(&mut self, now: Millis, v: &Verdict) -> Option<Verdict> {
        let key = SuspectKey::of(v);
        let old = self.entries.get(&key).filter(|e| e.until > now);
        if old.is_some_and(|e| e.is_different_crash(v)) {
            return Some(self.quarantine_request(now, key));
        }
        if old.is_some_and(|e| !e.is_superseded_by(now, v)) {
            self.outrank(key, v);
            return None;
        }
        let since = old.map_or(now, |e| e.since);
        let crash = v.crash.clone();
        let crash = crash.or_else(|| old.and_then(|e| e.crash.clone()));
        let entry = Entry {
            since,
            crash,
            ..Entry::received(now, v)
        };
        self.entries.insert(key, entry);
        None
    }

    fn apply_part_verdict(&mut self, now: Millis, v: &Verdict, survivors: &Survivors<'_>) {
        let key = SuspectKey::of(v);
        let old = self.entries.get(&key).filter(|e| e.until > now);
        let counted = old.filter(|e| e.standing != Standing::Cleared);
        let is_new_crash = counted.is_none_or(|e| v.crashes > e.crashes);
        let trusted = match (v.standing, counted) {
            (Standing::Suspect, Some(e)) if !is_new_crash => e.trusted,
            (Standing::Suspect, _) => self.is_trusted(now, key, counted, survivors),
            _ => false,
        };
        if old.is_some_and(|e| !e.is_superseded_by(now, v)) {
            self.outrank(key, v);
            self.raise_crashes(now, key, v, trusted);
            return;
        }
        let crashes = counted.map_or(0, |e| e.crashes);
        let trusted_crashes = counted.map_or(0, |e| e.trusted_crashes);
        let since = counted.filter(|_| !is_new_crash).map_or(now, |e| e.since);
        let mut entry = Entry {
            since,
            crashes: v.crashes.max(crashes),
            trusted_crashes: trusted_crashes + u32::from(trusted && is_new_crash),
            trusted,
            ..Entry::received(now, v)
        };
        if v.claim.is_none() {
            entry.ready_at = now + GOSSIP_DELAY;
        }
        if v.standing == Standing::Cleared {
            entry.since = now;
            self.answers.record(key, now);
        }
        self.entries.insert(key, entry);
    }

    /// Counts the crashes that another router knows of, also where its verdict does not replace the
    /// entry.
    fn raise_crashes(&mut self, now: Millis, key: SuspectKey, v: &Verdict, trusted: bool) {
        let Some(e) = self.entries.get_mut(&key) else {
            return;
        };
        let suspects = (e.standing, v.standing) == (Standing::Suspect, Standing::Suspect);
        if suspects && v.crashes > e.crashes {
            e.crashes = v.crashes;
            e.rivals = Rivals::received(v);
            e.trusted_crashes += u32::from(trusted);
            e.since = now;
            e.trusted = trusted;
        }
        e.shared = true;
    }

    /// Makes this router's next verdict newer than `v`, by an expiry after that of `v`.
    fn outrank(&mut self, key: SuspectKey, v: &Verdict) {
        if let Some(e) = self.entries.get_mut(&key) {
            e.until = e.until.max(v.until);
        }
    }

    /// Renews verdicts on suspects that still run and releases claims that were not used in time,
    /// however often pauses of this router put them off. Returns the verdicts to send.
    pub(in crate::routing) fn refresh(&mut self, now: Millis) -> Vec<Verdict> {
        self.entries.retain(|_, e| e.until > now || e.running);
        let mine = self.entries.iter().filter(|(_, e)| e.router == self.router);
        let expiring = |e: &Entry| e.running && e.until < now + Millis(SUSPECT_RETENTION.0 / 2);
        let is_old = |claim: &Claim| now > claim.at + GOSSIP_DELAY + CLAIM_TIMEOUT;
        let unused = |e: &Entry| !e.running && e.claim.as_ref().is_some_and(is_old);
        let keys: Vec<SuspectKey> = mine
            .filter(|(_, e)| expiring(e) || unused(e))
            .map(|(&key, _)| key)
            .collect();
        for key in &keys {
            if let Some(e) = self.entries.get_mut(key).filter(|e| !e.running) {
                e.claim = None;
                e.claimed_for = None;
            }
        }
        keys.into_iter()
            .map(|key| self.issue_verdict(now, key))
            .collect()
    }

    /// Returns this router's new verdict, with a later expiry than any before.
    pub(super) fn issue_verdict(&mut self, now: Millis, key: SuspectKey) -> Verdict {
        let router = self.router;
        let entry = self.entries.entry(key);
        let e = entry.or_insert_with(|| Entry::new(router, now, now));
        e.router = router;
        e.shared = true;
        e.until = (e.until + Millis(1)).max(now + SUSPECT_RETENTION);
        let SuspectKey { scope, digest } = key;
        Verdict {
            digest,
            scope,
            standing: e.standing,
            router,
            crash: e.crash.clone(),
            crashes: e.crashes,
            candidates: e.rivals.candidates(digest),
            named: e.rivals == Rivals::Named,
            claim: e.claim.clone(),
            trial_at: e.trial_at,
            until: e.until,
        }
    }
}

impl Entry {
    /// Creates the entry of another router's verdict.
    fn received(now: Millis, v: &Verdict) -> Entry {
        Entry {
            standing: v.standing,
            crash: v.crash.clone(),
            crashes: v.crashes,
            rivals: Rivals::received(v),
            claim: v.claim.clone(),
            trial_at: v.trial_at,
            shared: true,
            ..Entry::new(v.router, now, v.until)
        }
    }
}
