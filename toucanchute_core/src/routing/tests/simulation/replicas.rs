//! Simulated replicas and their attempts.

use std::collections::BTreeSet;

use toucanchute_proto::{Millis, fleet::Load};

use super::{
    CONCURRENCY, MAX_ATTEMPTS, POISON, REPLICAS, RESTART_MS, ROUTERS, RunningAttempt, Simulation,
    config,
};
use crate::routing::{AttemptReport, CrashKind, Event};

impl Simulation {
    // Replicas

    pub(super) fn end_due_attempts(&mut self) {
        while let Some(at) = self.running.iter().position(|r| r.ends <= self.now) {
            let run = &self.running[at];
            if self
                .calls
                .get(&run.call)
                .is_some_and(|c| c.digest == POISON)
            {
                self.oracle.poison_crashes += 1;
                self.crash(run.replica);
            } else {
                self.end_attempt(at, AttemptReport::Done { tokens: 20 });
            }
        }
    }

    pub(super) fn crash(&mut self, replica: usize) {
        self.down_until[replica] = self.now + Millis(RESTART_MS);
        while let Some(at) = self.running.iter().position(|r| r.replica == replica) {
            let call = self.running[at].call;
            if let Some(req) = self.calls.get(&call) {
                self.oracle.record_exposure(req.digest);
            }
            let kind = CrashKind::Disconnected;
            self.end_attempt(at, AttemptReport::Crashed { kind });
        }
    }

    pub(super) fn fail(&mut self, nth: usize, how: usize) {
        let innocent =
            |r: &RunningAttempt| self.calls.get(&r.call).is_some_and(|c| c.digest != POISON);
        let Some(at) = self.running.iter().position(innocent) else {
            return;
        };
        let at = (at + nth) % self.running.len();
        if !innocent(&self.running[at]) {
            return;
        }
        let kind = CrashKind::TimedOut;
        let reports = [
            AttemptReport::Refused,
            AttemptReport::Unsent,
            AttemptReport::Crashed { kind },
            AttemptReport::Cancelled,
            AttemptReport::FirstToken,
        ];
        match reports[how] {
            AttemptReport::FirstToken => {
                let run = &self.running[at];
                let (router, attempt) = (run.router, run.attempt);
                let report = AttemptReport::FirstToken;
                self.post(router, 0, Event::Report { attempt, report });
            }
            report => self.end_attempt(at, report),
        }
    }

    /// Ends an attempt. The router's edge retries a failed one.
    pub(super) fn end_attempt(&mut self, at: usize, report: AttemptReport) {
        let RunningAttempt {
            router,
            attempt,
            call,
            replica,
            ..
        } = self.running.remove(at);
        self.post(router, 0, Event::Report { attempt, report });
        let Some(req) = self.calls.get(&call) else {
            return;
        };
        let mut req = req.clone();
        if matches!(report, AttemptReport::Done { .. }) {
            self.oracle.record_completion(req.digest);
        }
        req.attempts += 1;
        req.exclude.push(format!("b{replica}"));
        let over = matches!(
            report,
            AttemptReport::Done { .. } | AttemptReport::Cancelled
        );
        if over || req.attempts >= MAX_ATTEMPTS {
            self.finish_call(call);
        } else {
            req.deadline = req.deadline.max(self.now + Millis(5_000));
            self.send(router, req);
        }
    }

    pub(super) fn load(&mut self, replica: usize, lag: u64) {
        let running = self.running.iter().filter(|r| r.replica == replica).count() as u32;
        let load = Load {
            backend: format!("b{replica}"),
            running,
            waiting: 0,
            capacity: CONCURRENCY,
            kv_used: 0,
            polled: true,
            pace_percent: None,
            token_time_us: None,
            as_of: self.now,
        };
        (0..ROUTERS).for_each(|r| self.post(r, lag, Event::Load(load.clone())));
    }

    pub(super) fn withdraw(&mut self, router: usize, mask: u8) {
        let names = (0..REPLICAS).filter(|i| mask & (1 << i) != 0);
        let withdrawn: BTreeSet<String> = names.map(|i| format!("b{i}")).collect();
        let config = config(REPLICAS, CONCURRENCY).into();
        self.post(router, 0, Event::Configure { config, withdrawn });
    }
}
