use toucanchute_proto::{AttemptId, Digest, Millis};

use super::{
    Action, AttemptReport, CrashKind, Dispatcher, RoutingRequest,
    availability::Rest,
    fault::Fault,
    health::Failure,
    pool::BackendKey,
    suspects,
    unexplained::{Broken, Evidence},
};

/// One run of a request on a replica.
#[derive(Debug)]
pub(super) struct Attempt {
    replica: BackendKey,
    key: Digest,
    started: Millis,
    first: Option<Millis>,
    /// Size of the request.
    tokens: u64,
    /// Whether it runs as a suspect.
    suspect: bool,
}

impl Attempt {
    /// This attempt, ended at `ended` without an answer.
    fn broken(&self, ended: Millis, by_server: bool) -> Broken {
        Broken {
            key: self.key,
            started: self.started,
            ended,
            by_server,
        }
    }
}

/// Whether a report shows that the backend server was there when it was sent the request.
fn is_answer(report: AttemptReport) -> bool {
    match report {
        AttemptReport::FirstToken
        | AttemptReport::Done { .. }
        | AttemptReport::Failed
        | AttemptReport::Rejected
        | AttemptReport::Refused => true,
        AttemptReport::Unsent
        | AttemptReport::Gone
        | AttemptReport::Crashed { .. }
        | AttemptReport::Cancelled => false,
    }
}

impl Dispatcher {
    /// Starts a call on a replica.
    pub(super) fn start(
        &mut self,
        now: Millis,
        req: &RoutingRequest,
        suspect: bool,
        replica: BackendKey,
        out: &mut Vec<Action>,
    ) {
        let key = suspects::key(req);
        let r = &mut self.replicas[replica];
        r.started(now);
        r.cache.sent(now, &req.prefix);
        if suspect {
            self.suspects.started(key);
        }
        self.last_attempt += 1;
        let attempt = AttemptId(self.incarnation, self.last_attempt);
        out.push(Action::Assigned {
            call: req.call,
            attempt,
            backend: r.name.clone(),
            address: r.address,
        });
        let run = Attempt {
            replica,
            key,
            started: now,
            first: None,
            tokens: req.tokens,
            suspect,
        };
        self.attempts.insert(attempt, run);
    }

    pub(super) fn report(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        report: AttemptReport,
        out: &mut Vec<Action>,
    ) {
        if report == AttemptReport::FirstToken {
            self.first_token(now, attempt);
            return;
        }
        let Some(run) = self.attempts.remove(&attempt) else {
            return;
        };
        let r = &mut self.replicas[run.replica];
        r.ended(now);
        if is_answer(report) {
            r.answered(run.started);
        }
        match report {
            AttemptReport::FirstToken => {}
            AttemptReport::Done { tokens } => self.done(now, &run, tokens, out),
            AttemptReport::Failed => self.failed(now, &run, Failure::Soft),
            AttemptReport::Rejected => self.progress(now, run.replica, false),
            AttemptReport::Refused => self.refused(now, &run),
            AttemptReport::Unsent => self.failed(now, &run, Failure::Hard),
            AttemptReport::Gone => {
                self.failed(now, &run, Failure::Hard);
                self.explain(now, run.replica, Evidence::Away, out);
            }
            AttemptReport::Crashed { kind } => self.crashed(now, &run, kind, out),
            AttemptReport::Cancelled => {
                self.leave_open(now, run.replica, run.broken(now, false), out);
            }
        }
        if run.suspect {
            let verdict = self.suspects.stopped(now, run.key);
            out.extend(verdict.map(Action::Verdict));
        }
        self.drop_if_done(now, run.replica);
    }

    fn first_token(&mut self, now: Millis, attempt: AttemptId) {
        let Some(run) = self.attempts.get_mut(&attempt) else {
            return;
        };
        if run.first.replace(now).is_some() {
            return;
        }
        let (key, ms) = (run.replica, now.since(run.started).0 as f64);
        let tokens = run.tokens;
        self.replicas[key].answered(run.started);
        let slow = self.pools[self.replicas[key].pool].first_token(ms, tokens);
        self.progress(now, key, slow);
    }

    fn done(&mut self, now: Millis, run: &Attempt, tokens: u64, out: &mut Vec<Action>) {
        let r = &mut self.replicas[run.replica];
        r.health.finished();
        let mut slow = false;
        if let Some(first) = run.first
            && tokens > 1
        {
            let ms = now.since(first).0 as f64 / (tokens - 1) as f64;
            r.between_tokens(ms);
            slow = self.pools[r.pool].between_tokens(ms);
        }
        self.progress(now, run.replica, slow);
        let verdict = self.suspects.finished(now, run.key);
        out.extend(verdict.map(Action::Verdict));
    }

    fn progress(&mut self, now: Millis, key: BackendKey, slow: bool) {
        let r = &mut self.replicas[key];
        let load = r.estimate(now);
        r.limit.measured(now, slow, load);
        r.rest.served();
        if r.health.progressed() {
            r.join(now);
        }
    }

    fn refused(&mut self, now: Millis, run: &Attempt) {
        self.replicas[run.replica].limit.cut(now);
        self.failed(now, run, Failure::Soft);
    }

    fn failed(&mut self, now: Millis, run: &Attempt, failure: Failure) {
        if !self.has(Fault::NeverEject) {
            self.replicas[run.replica].health.failed(now, failure);
        }
    }

    fn crashed(&mut self, now: Millis, run: &Attempt, kind: CrashKind, out: &mut Vec<Action>) {
        match kind {
            CrashKind::Disconnected => {
                self.failed(now, run, Failure::Hard);
                let broken = run.broken(now, true);
                self.replicas[run.replica].unexplained.add(broken);
                self.explain(now, run.replica, Evidence::BrokeOff, out);
            }
            CrashKind::Interrupted | CrashKind::TimedOut => {
                self.failed(now, run, Failure::Soft);
                let broken = run.broken(now, kind == CrashKind::Interrupted);
                self.leave_open(now, run.replica, broken, out);
            }
            CrashKind::Malformed => self.failed(now, run, Failure::Soft),
        }
    }

    /// Takes in an attempt that brought no answer and does not show whether the backend server ended.
    fn leave_open(&mut self, now: Millis, key: BackendKey, broken: Broken, out: &mut Vec<Action>) {
        let r = &mut self.replicas[key];
        r.unexplained.add(broken);
        if r.lapsed.is_some_and(|at| broken.started <= at) {
            self.explain(now, key, Evidence::Away, out);
        }
    }

    /// Takes in that a backend server's registration is gone although it did not say that it leaves.
    pub(super) fn take_lapse(&mut self, now: Millis, backend: &str, out: &mut Vec<Action>) {
        if let Some(&key) = self.names.get(backend) {
            self.replicas[key].lapsed = Some(now);
            self.explain(now, key, Evidence::Away, out);
        }
    }

    /// Takes in that a backend server has ended: attempts that it left without an answer were in
    /// flight on it.
    fn explain(&mut self, now: Millis, key: BackendKey, evidence: Evidence, out: &mut Vec<Action>) {
        let r = &mut self.replicas[key];
        let name = r.name.clone();
        let mut changed = false;
        for broken in r.unexplained.take(now, evidence) {
            if self.has(Fault::NeverQuarantine) {
                self.suspects.forget(broken.key);
            }
            let verdict = self
                .suspects
                .crashed(now, broken.key, &name, broken.started);
            changed |= verdict.is_some();
            out.extend(verdict.map(Action::Verdict));
        }
        if changed {
            self.refuse_quarantined(now, out);
        }
    }

    /// Forgets a replica that is not configured any more and has no work left.
    pub(super) fn drop_if_done(&mut self, now: Millis, key: BackendKey) {
        let r = &self.replicas[key];
        let configured = self.pools[r.pool].members.contains(&key) && r.listed;
        if !configured && r.in_flight == 0 && !self.withdrawn.contains(&r.name) {
            if let Rest::Until(until) = r.rest {
                self.rests.keep(now, &r.name, until);
            }
            self.names.remove(&r.name);
            self.pools[r.pool].members.retain(|k| *k != key);
            self.replicas.remove(key);
        }
    }
}
