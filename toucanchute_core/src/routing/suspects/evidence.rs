//! Crashes of replicas and whole answers, and what they say of requests and parts.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SlotMap;
use toucanchute_proto::{
    AttemptId, Digest, Millis,
    fleet::{Crash, Scope, Standing, Verdict},
};

use super::{Entry, Rivals, SUSPECT_RETENTION, SuspectKey, Suspects};
use crate::routing::{attempts::Attempt, pool::BackendKey, replica::Replica};

/// Duration of a quarantine of a request, and time after which a part that is due for a trial is
/// forgotten.
const QUARANTINE_DURATION: Millis = Millis(600_000);

/// Crashes that put a part in quarantine: the one that made it a suspect and two under runs that had
/// their replica to themselves, as far as suspects go. One of these may have another cause.
const PART_QUARANTINE_CRASHES: u32 = 3;

/// Time from a part's quarantine to the first trial.
const FIRST_TRIAL_DELAY: Millis = Millis(30_000);

/// Factor of that time for each trial that crashed a replica. Few trials are made however long the
/// part goes on doing harm.
const TRIAL_DELAY_FACTOR: u64 = 4;

/// Longest time from a part's quarantine to a trial.
const MAX_TRIAL_DELAY: Millis = Millis(24 * 3_600_000);

/// Most crashes of a part that is trusted because other answers to it go on.
const MAX_TRUSTED_CRASHES: u32 = 4;

/// Time after a crash in which further crashes under a trusted part do not count, as no later answer
/// can have vouched for it yet.
const OBSERVATION_TIME: Millis = Millis(1_500);

/// Longest time between the crashes of replicas that have a common cause, such as a loss of power.
const COMMON_CAUSE_TIME: Millis = Millis(100);

/// Time after its first token from which an attempt counts as an answer that goes on.
const SURVIVAL_TIME: Millis = Millis(500);

/// A run that ended by the crash of its replica.
#[derive(Clone, Copy, Debug)]
pub(in crate::routing) struct CrashedRun<'a> {
    /// Name of the replica, which is of one run of the backend server.
    pub(in crate::routing) replica: &'a str,
    pub(in crate::routing) started: Millis,
    /// Whether the replica was claimed for what is suspected.
    pub(in crate::routing) claimed: bool,
    /// Parts that may have crashed it.
    pub(in crate::routing) candidates: &'a BTreeSet<Digest>,
}

impl CrashedRun<'_> {
    /// Returns the parts other than `part` that may have crashed the replica.
    fn candidates_beside(&self, part: Digest) -> BTreeSet<Digest> {
        let others = self.candidates.iter().filter(|&&c| c != part);
        others.copied().collect()
    }
}

/// Attempts on replicas other than a crashed one.
#[derive(Clone, Copy, Debug)]
pub(in crate::routing) struct Survivors<'a> {
    pub(in crate::routing) now: Millis,
    pub(in crate::routing) attempts: &'a BTreeMap<AttemptId, Attempt>,
    pub(in crate::routing) replicas: &'a SlotMap<BackendKey, Replica>,
    /// Name of the crashed replica.
    pub(in crate::routing) crashed: &'a str,
}

impl Survivors<'_> {
    /// Whether an attempt with a part that started after `since` is being answered.
    fn include(&self, key: SuspectKey, since: Millis) -> bool {
        self.attempts.values().any(|a| {
            let answered_for = a.first_token_at().map(|at| self.now.since(at));
            a.started() > since
                && answered_for.is_some_and(|span| span >= SURVIVAL_TIME)
                && !a.is_silent()
                && a.keys().contains(&key)
                && self.replicas[a.replica()].name != self.crashed
        })
    }
}

impl Suspects {
    /// Records a run that ended by the crash of its replica.
    pub(in crate::routing) fn record_crash(
        &mut self,
        now: Millis,
        key: SuspectKey,
        run: CrashedRun<'_>,
        survivors: &Survivors<'_>,
    ) -> Option<Verdict> {
        match key.scope {
            Scope::Request => self.record_request_crash(now, key, run),
            Scope::Part => self.record_part_crash(now, key, run, survivors),
        }
    }

    /// Records a crash under a request. It does not count if the request has run to its end
    /// elsewhere since.
    fn record_request_crash(
        &mut self,
        now: Millis,
        key: SuspectKey,
        run: CrashedRun<'_>,
    ) -> Option<Verdict> {
        let old = self.entries.get(&key).filter(|e| e.until > now);
        if old.is_some_and(|e| e.standing == Standing::Cleared && run.started <= e.since) {
            return None;
        }
        let until = old.map_or(now, |e| e.until);
        match old.filter(|e| e.standing != Standing::Cleared) {
            None => {
                let entry = Entry {
                    crash: Some(crash(now, run)),
                    ready_at: now,
                    ..Entry::new(self.router, now, until)
                };
                self.entries.insert(key, entry);
                Some(self.issue_verdict(now, key))
            }
            Some(e) if e.standing == Standing::Quarantined => None,
            Some(e) if e.is_same_crash(run.replica, run.started) => None,
            Some(_) => Some(self.quarantine_request(now, key)),
        }
    }

    pub(super) fn quarantine_request(&mut self, now: Millis, key: SuspectKey) -> Verdict {
        let until = self.entries.get(&key).map_or(now, |e| e.until);
        let entry = Entry {
            standing: Standing::Quarantined,
            ..Entry::new(self.router, now, until.max(now + QUARANTINE_DURATION))
        };
        self.entries.insert(key, entry);
        self.issue_verdict(now, key)
    }

    /// Records a crash under a request with a part. It counts only if the run began after the last
    /// one that counted.
    fn record_part_crash(
        &mut self,
        now: Millis,
        key: SuspectKey,
        run: CrashedRun<'_>,
        survivors: &Survivors<'_>,
    ) -> Option<Verdict> {
        let old = self.entries.get(&key).filter(|e| e.until > now);
        if old.is_some_and(|e| run.started <= e.since) {
            return None;
        }
        let counted = old.filter(|e| e.standing != Standing::Cleared);
        let quarantined = counted.is_some_and(|e| e.standing == Standing::Quarantined);
        if quarantined && !run.claimed || run.claimed && self.has_common_cause(now, run.replica) {
            return None;
        }
        if counted.is_some_and(|e| e.trusted && now.since(e.since) < OBSERVATION_TIME) {
            return None;
        }
        let trusted = self.is_trusted(now, key, counted, survivors);
        let known = counted.map_or(Rivals::Unknown, |e| e.rivals.clone());
        let rivals = match run.claimed {
            true => known.narrowed(run.candidates_beside(key.digest)),
            false => known,
        };
        let crashes = counted.map_or(0, |e| e.crashes) + u32::from(!trusted);
        let mut entry = Entry {
            crash: Some(crash(now, run)),
            crashes,
            trusted_crashes: counted.map_or(0, |e| e.trusted_crashes) + u32::from(trusted),
            trusted,
            rivals,
            ready_at: self.ready_after_crash(now, old),
            running: old.is_some_and(|e| e.running) && !run.claimed,
            shared: old.is_some_and(|e| e.shared),
            ..Entry::new(self.router, now, old.map_or(now, |e| e.until))
        };
        if run.claimed && crashes >= PART_QUARANTINE_CRASHES {
            let trial_at = now + trial_delay(crashes);
            entry.standing = Standing::Quarantined;
            entry.trial_at = Some(trial_at);
            entry.until = entry.until.max(trial_at + QUARANTINE_DURATION);
        }
        let is_local = entry.trusted && !entry.shared;
        if is_local {
            entry.until = now + SUSPECT_RETENTION;
        }
        self.entries.insert(key, entry);
        (!is_local).then(|| self.issue_verdict(now, key))
    }

    /// Returns when a part may run again that just crashed a replica: at once, unless another router has
    /// claimed a replica for it.
    fn ready_after_crash(&self, now: Millis, old: Option<&Entry>) -> Millis {
        let elsewhere = old.filter(|e| e.claim.is_some() && e.router != self.router);
        elsewhere.map_or(now, |e| e.ready_at)
    }

    /// Records that a replica crashed.
    pub(in crate::routing) fn record_replica_crash(&mut self, now: Millis, replica: &str) {
        self.crashed_replicas
            .retain(|_, at| now.since(*at) < COMMON_CAUSE_TIME);
        self.crashed_replicas.insert(replica.to_owned(), now);
    }

    /// Whether another replica crashed at almost the same time.
    fn has_common_cause(&self, now: Millis, replica: &str) -> bool {
        let recent = |at: &Millis| now.since(*at) < COMMON_CAUSE_TIME;
        self.crashed_replicas
            .iter()
            .any(|(name, at)| name != replica && recent(at))
    }

    /// Returns the parts among `keys` that may have crashed a replica that was claimed for `claimed`: these,
    /// as no answer to them began since the crash before, and those that never got a whole answer, as far
    /// as is known.
    pub(in crate::routing) fn candidates(
        &self,
        keys: &[SuspectKey],
        claimed: &[SuspectKey],
    ) -> BTreeSet<Digest> {
        let may_crash = |key: &&SuspectKey| claimed.contains(key) || !self.answers.contains(**key);
        let parts = keys.iter().filter(|key| key.scope == Scope::Part);
        parts.filter(may_crash).map(|key| key.digest).collect()
    }

    /// Whether requests with a part run freely after one more crash. `counted` is the entry of the
    /// crashes before.
    pub(super) fn is_trusted(
        &self,
        now: Millis,
        key: SuspectKey,
        counted: Option<&Entry>,
        survivors: &Survivors<'_>,
    ) -> bool {
        match counted {
            None => self.answers.is_recent(now, key) || survivors.include(key, Millis(0)),
            Some(e) if e.trusted && e.trusted_crashes < MAX_TRUSTED_CRASHES => {
                survivors.include(key, e.since)
            }
            _ => false,
        }
    }

    /// Ends the trust in parts that nothing has vouched for since the last crash. Returns the verdicts
    /// to send.
    pub(in crate::routing) fn end_unfounded_trust(
        &mut self,
        now: Millis,
        survivors: &Survivors<'_>,
    ) -> Vec<Verdict> {
        let is_due = |e: &Entry| e.trusted && now.since(e.since) >= OBSERVATION_TIME;
        let due = self.entries.iter().filter(|(_, e)| is_due(e));
        let unfounded = due.filter(|(key, e)| !survivors.include(**key, e.since));
        let keys: Vec<SuspectKey> = unfounded.map(|(&key, _)| key).collect();
        let mut verdicts = Vec::new();
        for key in keys {
            let Some(e) = self.entries.get_mut(&key) else {
                continue;
            };
            e.trusted = false;
            e.crashes = e.crashes.max(1);
            if !e.shared {
                verdicts.push(self.issue_verdict(now, key));
            }
        }
        verdicts
    }

    /// Records a whole answer to an attempt that started at `started`. It clears a suspect, and a
    /// part in quarantine whose trial it is; a part only if the attempt started after the last crash.
    pub(in crate::routing) fn record_completion(
        &mut self,
        now: Millis,
        key: SuspectKey,
        started: Millis,
    ) -> Option<Verdict> {
        if key.scope == Scope::Part {
            self.answers.record(key, started);
        }
        let entry = self.entries.get_mut(&key).filter(|e| e.until > now)?;
        let is_later = key.scope == Scope::Request || started > entry.since;
        let is_trial = key.scope == Scope::Part && entry.running;
        let clears = match entry.standing {
            Standing::Suspect => is_later,
            Standing::Quarantined => is_later && is_trial,
            Standing::Cleared => false,
        };
        if !clears {
            return None;
        }
        if !entry.shared {
            self.entries.remove(&key);
            return None;
        }
        entry.standing = Standing::Cleared;
        entry.since = now;
        entry.claim = None;
        Some(self.issue_verdict(now, key))
    }
}

fn crash(now: Millis, run: CrashedRun<'_>) -> Crash {
    Crash {
        replica: run.replica.to_owned(),
        at: now,
    }
}

/// Returns the time from a part's quarantine after `crashes` crashes to its trial.
fn trial_delay(crashes: u32) -> Millis {
    let failed_trials = crashes.saturating_sub(PART_QUARANTINE_CRASHES);
    let factor = TRIAL_DELAY_FACTOR.saturating_pow(failed_trials);
    Millis(FIRST_TRIAL_DELAY.0.saturating_mul(factor)).min(MAX_TRIAL_DELAY)
}
