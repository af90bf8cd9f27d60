use std::sync::Arc;

use toucanchute_proto::{AttemptId, Millis};

use super::{
    Action, AttemptReport, ColdCause, CrashKind, Dispatcher, RoutingRequest,
    availability::Backoff,
    fault::Fault,
    health::Failure,
    pool::{BackendKey, Pool},
    suspects::{CrashedRun, Survivors, SuspectKey},
    unanswered::{TerminationEvidence, UnansweredAttempt},
};

/// One run of a request on a replica.
#[derive(Debug)]
pub(super) struct Attempt {
    replica: BackendKey,
    /// The request and the parts that its prompt shares with others.
    keys: Arc<[SuspectKey]>,
    started: Millis,
    first_token_at: Option<Millis>,
    /// Size of the request.
    tokens: u64,
    /// Those of `keys` that may crash the replica, which is claimed for them.
    suspects: Arc<[SuspectKey]>,
    /// Whether the replica has sent nothing for a while.
    silent: bool,
    /// Whether it was recorded that the end of the replica left it unanswered.
    end_recorded: bool,
}

impl Attempt {
    pub(super) fn replica(&self) -> BackendKey {
        self.replica
    }

    pub(super) fn keys(&self) -> &[SuspectKey] {
        &self.keys
    }

    pub(super) fn started(&self) -> Millis {
        self.started
    }

    pub(super) fn first_token_at(&self) -> Option<Millis> {
        self.first_token_at
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether it has waited longer for its first token than others of the pool do at present. Later in an
    /// answer, any silence that is reported counts.
    fn is_overdue(&self, now: Millis, pool: &Pool) -> bool {
        let waited = now.since(self.started).0 as f64;
        let is_slow = pool.is_slow_first_token(waited, self.tokens);
        self.first_token_at.is_some() || is_slow.unwrap_or(true)
    }

    /// Returns the record of this attempt if it ended at `ended` without an answer.
    fn unanswered(&self, ended: Millis, ended_by_server: bool) -> UnansweredAttempt {
        UnansweredAttempt {
            keys: Arc::clone(&self.keys),
            claimed: Arc::clone(&self.suspects),
            started: self.started,
            ended,
            ended_by_server,
        }
    }
}

/// Whether a report shows that the backend server was alive when it received the request.
fn is_answer(report: AttemptReport) -> bool {
    match report {
        AttemptReport::FirstToken
        | AttemptReport::Resumed
        | AttemptReport::Done { .. }
        | AttemptReport::Unconfirmed
        | AttemptReport::Failed
        | AttemptReport::Rejected
        | AttemptReport::Refused => true,
        AttemptReport::Silent
        | AttemptReport::Unsent
        | AttemptReport::Unreached
        | AttemptReport::NotTried
        | AttemptReport::Gone
        | AttemptReport::Crashed { .. }
        | AttemptReport::Cancelled => false,
    }
}

impl Dispatcher {
    /// Starts a call on a replica and pushes its assignment.
    pub(super) fn start(
        &mut self,
        now: Millis,
        req: &RoutingRequest,
        suspect: bool,
        replica: BackendKey,
        out: &mut Vec<Action>,
    ) {
        let suspects = match suspect {
            true => self.suspects.suspects_of(now, req),
            false => Vec::new(),
        };
        let r = &mut self.replicas[replica];
        r.record_start(now);
        r.cache.record_prompt(now, &req.prefix);
        for &key in &suspects {
            self.suspects.record_start(key);
        }
        self.last_attempt += 1;
        let id = AttemptId(self.incarnation, self.last_attempt);
        out.push(Action::Assigned {
            call: req.call,
            attempt: id,
            backend: r.name.clone(),
            address: r.address,
            rate_limited: r.permit_need(now).is_some(),
            software: r.software.clone(),
        });
        let attempt = Attempt {
            replica,
            keys: SuspectKey::all(req).collect(),
            started: now,
            first_token_at: None,
            tokens: req.tokens,
            suspects: suspects.into(),
            silent: false,
            end_recorded: false,
        };
        self.attempts.insert(id, attempt);
    }

    pub(super) fn handle_report(
        &mut self,
        now: Millis,
        id: AttemptId,
        report: AttemptReport,
        out: &mut Vec<Action>,
    ) {
        match report {
            AttemptReport::FirstToken => return self.handle_first_token(now, id),
            AttemptReport::Silent => return self.handle_silent(now, id),
            AttemptReport::Resumed => return self.handle_resumed(now, id),
            _ => {}
        }
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let r = &mut self.replicas[attempt.replica];
        r.record_end(now);
        if is_answer(report) {
            r.record_answer(now, attempt.started);
            let time = now.since(attempt.started);
            self.pools[r.pool].loads.record_attempt_time(time);
        }
        match report {
            AttemptReport::FirstToken
            | AttemptReport::Silent
            | AttemptReport::Resumed
            | AttemptReport::NotTried => {}
            AttemptReport::Done { tokens } => self.handle_done(now, &attempt, tokens, out),
            AttemptReport::Unconfirmed => {
                self.record_progress(now, attempt.replica, false);
                self.record_unanswered(now, attempt.replica, attempt.unanswered(now, true), out);
            }
            AttemptReport::Failed => self.record_failure(now, &attempt, Failure::Soft),
            AttemptReport::Rejected => self.record_progress(now, attempt.replica, false),
            AttemptReport::Refused => self.handle_refused(now, &attempt),
            AttemptReport::Unsent => self.record_failure(now, &attempt, Failure::Hard),
            AttemptReport::Unreached => self.record_unreached(now, &attempt),
            AttemptReport::Gone => {
                self.record_failure(now, &attempt, Failure::Hard);
                self.backend_ended(now, attempt.replica, TerminationEvidence::Gone, out);
            }
            AttemptReport::Crashed { kind } => self.handle_crashed(now, &attempt, kind, out),
            AttemptReport::Cancelled if attempt.end_recorded => {}
            AttemptReport::Cancelled => {
                self.record_unanswered(now, attempt.replica, attempt.unanswered(now, false), out);
            }
        }
        for &key in attempt.suspects.iter() {
            let verdict = self.suspects.record_stop(now, key);
            out.extend(verdict.map(Action::Verdict));
        }
        self.remove_if_done(now, attempt.replica);
    }

    fn handle_first_token(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.first_token_at.replace(now).is_some() {
            return;
        }
        let (key, ms) = (attempt.replica, now.since(attempt.started).0 as f64);
        let tokens = attempt.tokens;
        self.replicas[key].record_answer(now, attempt.started);
        let slow = self.pools[self.replicas[key].pool].record_first_token(now, ms, tokens);
        self.record_progress(now, key, slow);
    }

    /// Records that a backend server is silent. It may be sound and go on, so that its attempt goes on
    /// too. While all servers of a pool are slow to begin, one that is no slower counts as busy, not silent.
    fn handle_silent(&mut self, now: Millis, id: AttemptId) {
        let pools = &self.pools;
        let replicas = &self.replicas;
        if let Some(attempt) = self.attempts.get_mut(&id)
            && attempt.is_overdue(now, &pools[replicas[attempt.replica].pool])
        {
            attempt.silent = true;
            let key = attempt.replica;
            self.record_silence(now, key);
        }
    }

    /// Whether a request that is in progress may be tried on one more server: one of its attempts is silent,
    /// or is by now.
    pub(super) fn may_hedge(&mut self, now: Millis, req: &RoutingRequest) -> bool {
        let runs_request = |a: &Attempt| {
            req.running_on.contains(&self.replicas[a.replica].name)
                && SuspectKey::all(req).eq(a.keys.iter().copied())
        };
        let running = self.attempts.iter().filter(|(_, a)| runs_request(a));
        let running: Vec<(AttemptId, bool)> = running.map(|(&id, a)| (id, a.silent)).collect();
        for &(id, _) in running.iter().filter(|(_, silent)| !silent) {
            self.handle_silent(now, id);
        }
        running.is_empty() || running.iter().any(|(id, _)| self.attempts[id].silent)
    }

    fn handle_resumed(&mut self, now: Millis, id: AttemptId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.silent = false;
        attempt.end_recorded = false;
        let replica = &mut self.replicas[attempt.replica];
        replica.record_answer(now, attempt.started);
        if replica.health.record_progress() {
            replica.begin_slow_start(now);
        }
    }

    fn record_silence(&mut self, now: Millis, key: BackendKey) {
        if !self.has(Fault::NeverEject) {
            self.replicas[key].health.record_silence(now);
        }
    }

    /// Records that no connection was opened in time. If the server answered other requests meanwhile, this
    /// host's link delays new connections, to all servers alike.
    fn record_unreached(&mut self, now: Millis, attempt: &Attempt) {
        let r = &mut self.replicas[attempt.replica];
        if !r.has_answered_since(attempt.started) && !self.has(Fault::NeverEject) {
            self.replicas[attempt.replica].health.record_unreached(now);
        }
    }

    fn handle_done(&mut self, now: Millis, attempt: &Attempt, tokens: u64, out: &mut Vec<Action>) {
        let r = &mut self.replicas[attempt.replica];
        r.health.record_completion();
        let mut slow = false;
        if let Some(first) = attempt.first_token_at
            && tokens > 1
        {
            let ms = now.since(first).0 as f64 / (tokens - 1) as f64;
            r.record_token_time(ms);
            slow = self.pools[r.pool].record_token_time(ms);
        }
        self.record_progress(now, attempt.replica, slow);
        for &key in attempt.keys.iter() {
            let verdict = self.suspects.record_completion(now, key, attempt.started);
            out.extend(verdict.map(Action::Verdict));
        }
    }

    /// Records that a backend server sends something. A slow answer lowers its limit of requests only if it
    /// does not report its load: by its reports it is known to be full or not, and may be slow by nature.
    fn record_progress(&mut self, now: Millis, key: BackendKey, slow: bool) {
        let r = &mut self.replicas[key];
        let load = r.load.requests(now);
        let overloaded = slow && !r.load.is_known(now);
        r.limit.record_measurement(now, overloaded, load);
        r.backoff.record_served();
        if r.health.record_progress() {
            r.begin_slow_start(now);
        }
    }

    fn handle_refused(&mut self, now: Millis, attempt: &Attempt) {
        self.replicas[attempt.replica].limit.cut(now);
        self.record_failure(now, attempt, Failure::Soft);
    }

    fn record_failure(&mut self, now: Millis, attempt: &Attempt, failure: Failure) {
        if !self.has(Fault::NeverEject) {
            self.replicas[attempt.replica]
                .health
                .record_failure(now, failure);
        }
    }

    fn handle_crashed(
        &mut self,
        now: Millis,
        attempt: &Attempt,
        kind: CrashKind,
        out: &mut Vec<Action>,
    ) {
        match kind {
            CrashKind::Disconnected => {
                self.record_failure(now, attempt, Failure::Hard);
                let unanswered = attempt.unanswered(now, true);
                self.replicas[attempt.replica].unanswered.add(unanswered);
                self.backend_ended(
                    now,
                    attempt.replica,
                    TerminationEvidence::ConnectionBroken,
                    out,
                );
            }
            CrashKind::Interrupted => {
                self.record_failure(now, attempt, Failure::Soft);
                self.record_unanswered(now, attempt.replica, attempt.unanswered(now, true), out);
            }
            CrashKind::TimedOut => {
                self.record_silence(now, attempt.replica);
                if attempt.end_recorded {
                    return;
                }
                self.record_unanswered(now, attempt.replica, attempt.unanswered(now, false), out);
            }
            CrashKind::Malformed => self.record_failure(now, attempt, Failure::Soft),
        }
    }

    /// Records an attempt that got no answer and does not show whether the backend server ended.
    ///
    /// If the registration has lapsed since the attempt started, the server counts as ended.
    fn record_unanswered(
        &mut self,
        now: Millis,
        key: BackendKey,
        unanswered: UnansweredAttempt,
        out: &mut Vec<Action>,
    ) {
        let r = &mut self.replicas[key];
        let lapsed = r.lapsed_at.is_some_and(|at| unanswered.started <= at);
        r.unanswered.add(unanswered);
        if lapsed {
            self.backend_ended(now, key, TerminationEvidence::Gone, out);
        }
    }

    /// Records that a backend server's registration lapsed without a notice that it is leaving.
    pub(super) fn record_lapse(&mut self, now: Millis, backend: &str, out: &mut Vec<Action>) {
        if let Some(&key) = self.keys_by_name.get(backend) {
            self.replicas[key].lapsed_at = Some(now);
            self.record_silent_attempts(now, key);
            self.backend_ended(now, key, TerminationEvidence::Gone, out);
        }
    }

    /// Records the attempts in flight on a backend server that is silent as unanswered.
    fn record_silent_attempts(&mut self, now: Millis, key: BackendKey) {
        let on_replica = |a: &&mut Attempt| a.replica == key && a.silent && !a.end_recorded;
        for attempt in self.attempts.values_mut().filter(on_replica) {
            attempt.end_recorded = true;
            let unanswered = attempt.unanswered(now, false);
            self.replicas[key].unanswered.add(unanswered);
        }
    }

    /// Handles the end of a backend server. The requests of its unanswered attempts, and the parts of
    /// their prompts, were in flight on it and become suspects.
    fn backend_ended(
        &mut self,
        now: Millis,
        key: BackendKey,
        evidence: TerminationEvidence,
        out: &mut Vec<Action>,
    ) {
        let r = &mut self.replicas[key];
        let name = r.name.clone();
        if !std::mem::replace(&mut r.ended, true) {
            self.suspects.record_replica_crash(now, &name);
            self.begin_start(now, key, ColdCause::Ended, out);
        }
        let r = &mut self.replicas[key];
        let mut changed = false;
        for unanswered in r.unanswered.take_explained(now, evidence) {
            changed |= self.record_crash(now, &name, &unanswered, out);
        }
        if changed {
            self.refuse_quarantined(now, out);
        }
    }

    /// Records an attempt that ended by the crash of `replica`. Returns whether that changed any
    /// verdict.
    fn record_crash(
        &mut self,
        now: Millis,
        replica: &str,
        unanswered: &UnansweredAttempt,
        out: &mut Vec<Action>,
    ) -> bool {
        let never_quarantine = self.has(Fault::NeverQuarantine);
        let survivors = Survivors {
            now,
            attempts: &self.attempts,
            replicas: &self.replicas,
            crashed: replica,
        };
        let mut changed = false;
        let UnansweredAttempt { keys, claimed, .. } = unanswered;
        let candidates = self.suspects.candidates(keys, claimed);
        for &key in keys.iter() {
            if never_quarantine {
                self.suspects.forget(key);
            }
            let run = CrashedRun {
                replica,
                started: unanswered.started,
                claimed: claimed.contains(&key),
                candidates: &candidates,
            };
            let verdict = self.suspects.record_crash(now, key, run, &survivors);
            changed |= verdict.is_some();
            out.extend(verdict.map(Action::Verdict));
        }
        changed
    }

    /// Removes a replica that is no longer configured and has no attempts in flight. Its backoff is
    /// saved for the case that it is registered again.
    pub(super) fn remove_if_done(&mut self, now: Millis, key: BackendKey) {
        let r = &self.replicas[key];
        let configured = self.pools[r.pool].members.contains(&key) && r.listed;
        if !configured && r.load.in_flight() == 0 && !self.withdrawn.contains(&r.name) {
            if let Backoff::Until(until) = r.backoff {
                self.saved_backoffs.save(now, &r.name, until);
            }
            self.keys_by_name.remove(&r.name);
            self.pools[r.pool].members.retain(|k| *k != key);
            self.replicas.remove(key);
        }
    }
}
