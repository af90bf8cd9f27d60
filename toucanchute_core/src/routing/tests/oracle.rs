//! Invariants of the dispatchers, checked without access to their state.

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{Digest, Millis};

use super::simulation::{CONCURRENCY, POISON, Simulation};
use crate::routing::{AttemptReport, Event, RefusalReason, RoutingRequest};

/// Retries that each router may admit before any first attempts.
const INITIAL_RETRIES: f64 = 10.0;

/// Share of first attempts that may be admitted as retries.
const RETRY_SHARE: f64 = 0.1;

/// Number of replicas that one poison request may crash.
const MAX_CRASHES: u32 = 2;

/// Shortest ejection of a replica that could not be reached.
const MIN_EJECTION: Millis = Millis(1_000);

/// Time after its deadline by which each call has to be answered.
const ANSWER_SLACK: Millis = Millis(600);

/// Text of a violated invariant.
pub(super) type Violation = String;

#[derive(Default)]
pub(super) struct Oracle {
    pub(super) poison_crashes: u32,
    routers: BTreeMap<usize, RouterRecord>,
    /// Router that each call was sent to.
    router_by_call: BTreeMap<u64, usize>,
    /// Number of crashes during which each request was in flight.
    exposures: BTreeMap<Digest, u32>,
    /// Requests that have not run to their end since their last crash.
    suspects: BTreeSet<Digest>,
    /// Replicas of attempts that started as suspects, by call.
    suspect_attempts: BTreeMap<u64, usize>,
}

#[derive(Default)]
struct RouterRecord {
    withdrawn: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    fresh: f64,
    retries: f64,
    /// When each replica was last found unreachable, unless it has rejoined since.
    unsent: BTreeMap<usize, Millis>,
    attempts: BTreeMap<toucanchute_proto::AttemptId, usize>,
}

fn check(holds: bool, invariant: &str) -> Result<(), Violation> {
    if holds {
        Ok(())
    } else {
        Err(invariant.to_owned())
    }
}

impl Oracle {
    pub(super) fn record_sent(&mut self, call: u64, router: usize) {
        self.router_by_call.insert(call, router);
    }

    pub(super) fn router_of(&self, call: u64) -> usize {
        self.router_by_call[&call]
    }

    pub(super) fn record_exposure(&mut self, digest: Digest) {
        *self.exposures.entry(digest).or_default() += 1;
        self.suspects.insert(digest);
    }

    /// Records an event that a router is about to handle.
    pub(super) fn observe(
        &mut self,
        now: Millis,
        router: usize,
        event: &Event,
    ) -> Result<(), Violation> {
        check(
            self.poison_crashes <= MAX_CRASHES,
            "a poison request crashes at most two replicas",
        )?;
        let state = self.routers.entry(router).or_default();
        match event {
            Event::Configure { withdrawn, .. } => {
                let rejoined = state.withdrawn.difference(withdrawn);
                for name in rejoined {
                    state.unsent.remove(&name[1..].parse().unwrap());
                }
                state.withdrawn.clone_from(withdrawn);
            }
            Event::Evacuate(domains) => state.evacuated.clone_from(domains),
            Event::Assign(req) => {
                state.fresh += f64::from(u8::from(req.attempts == 0));
            }
            Event::Report {
                attempt,
                report: AttemptReport::Unsent,
            } => {
                if let Some(&replica) = state.attempts.get(attempt) {
                    state.unsent.insert(replica, now);
                }
            }
            _ => {}
        }
        Ok(())
    }

    pub(super) fn check_refusal(
        &mut self,
        req: Option<&RoutingRequest>,
        reason: RefusalReason,
    ) -> Result<(), Violation> {
        check(req.is_some(), "a call is answered once")?;
        let req = req.unwrap();
        let exposures = self.exposures.get(&req.digest).copied().unwrap_or(0);
        check(
            reason != RefusalReason::Quarantined || exposures >= 2,
            "only what was in flight at two crashes is quarantined",
        )
    }
}

impl Simulation {
    fn suspects_on(&self, replica: usize) -> usize {
        let on_replica = &self.oracle.suspect_attempts;
        let runs = self.running.iter().filter(|r| r.replica == replica);
        runs.filter(|r| on_replica.get(&r.call) == Some(&replica))
            .count()
    }
}

impl Oracle {
    /// Checks that a call may start on a replica now.
    pub(super) fn check_start(
        sim: &Simulation,
        router: usize,
        call: u64,
        replica: usize,
    ) -> Result<(), Violation> {
        let state = &sim.oracle.routers[&router];
        let Some(req) = sim.calls.get(&call) else {
            return check(false, "a call is answered once");
        };
        let answered = sim.running.iter().any(|r| r.call == call);
        check(!answered, "a call is answered once")?;
        let name = format!("b{replica}");
        check(
            !state.withdrawn.contains(&name),
            "a withdrawn replica gets no work",
        )?;
        let domain = format!("d{}", replica % 2);
        check(
            !state.evacuated.contains(&domain),
            "a replica of an evacuated domain gets no work",
        )?;
        check(sim.now <= req.deadline, "no call starts after its deadline")?;
        let own_attempts = sim
            .running
            .iter()
            .filter(|r| r.replica == replica && r.router == router);
        check(
            (own_attempts.count() as u32) < CONCURRENCY,
            "concurrency stays within its limit",
        )?;
        let allowed = INITIAL_RETRIES + RETRY_SHARE * state.fresh;
        let retry = req.attempts > 0;
        check(
            !retry || state.retries + 1.0 <= allowed,
            "retries stay within their budget",
        )?;
        let ejected = state.unsent.get(&replica);
        let ended = ejected.is_none_or(|&at| sim.now.since(at) >= MIN_EJECTION);
        check(
            ended,
            "an unreachable replica gets no work during its ejection",
        )?;
        let suspect = sim.oracle.suspects.contains(&req.digest);
        let alone = !suspect || sim.suspects_on(replica) == 0;
        check(alone, "no two suspects run on one replica")
    }

    /// Records that a call started on a replica.
    pub(super) fn record_start(
        &mut self,
        router: usize,
        req: &RoutingRequest,
        attempt: toucanchute_proto::AttemptId,
        replica: usize,
    ) {
        if self.suspects.contains(&req.digest) {
            self.suspect_attempts.insert(req.call, replica);
        } else {
            self.suspect_attempts.remove(&req.call);
        }
        let state = self.routers.get_mut(&router).unwrap();
        if req.attempts > 0 {
            state.retries += 1.0;
        }
        state.attempts.insert(attempt, replica);
    }

    /// Records that a request ran to its end.
    pub(super) fn record_completion(&mut self, digest: Digest) {
        self.suspects.remove(&digest);
    }

    /// Checks long after the last deadline that all calls were answered.
    pub(super) fn check_end(
        &self,
        now: Millis,
        calls: &BTreeMap<u64, RoutingRequest>,
    ) -> Result<(), Violation> {
        let late = |c: &&RoutingRequest| now > c.deadline + ANSWER_SLACK && c.digest != POISON;
        check(!calls.values().any(|c| late(&c)), "every call is answered")
    }
}
