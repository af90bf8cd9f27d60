//! Starts waiting calls on replicas that can take them.

use rand::rngs::SmallRng;
use toucanchute_proto::Millis;

use super::{
    Action, Dispatcher, RoutingRequest,
    choose::Chooser,
    fault::Fault,
    pool::{BackendKey, Pool, PoolKey},
    rate_limit::{PermitAsks, PermitStatus},
    suspects::{Permit, SuspectKey},
};

/// A step towards running a waiting call.
enum Step {
    /// Starts the call on a replica.
    Run {
        replica: BackendKey,
        /// Whether the call runs as a suspect.
        suspect: bool,
    },
    /// Asks for a permit for the call, which then waits.
    AskForPermit {
        replica: BackendKey,
        deadline: Millis,
    },
    /// Gives back the call's permit, which it cannot use.
    ReleasePermit,
    /// Claims a replica for the suspects of the call.
    Claim { replica: BackendKey },
    /// Gives up the replica that is claimed for the suspects of the call.
    ReleaseClaim,
}

impl Dispatcher {
    /// Starts the waiting calls of all pools, as far as replicas can take them.
    pub(super) fn dispatch(&mut self, now: Millis, out: &mut Vec<Action>) {
        let keys: Vec<PoolKey> = self.pools.keys().collect();
        for key in keys {
            if self.pools[key].queue.is_empty() {
                self.pools[key].update_waiting(now);
                continue;
            }
            self.advance_members(now, key, out);
            while self.dispatch_one(now, key, out) {}
            self.pools[key].update_waiting(now);
        }
    }

    /// Takes the next step for the first waiting call that allows one; returns whether there was
    /// one.
    fn dispatch_one(&mut self, now: Millis, key: PoolKey, out: &mut Vec<Action>) -> bool {
        let Some((call, step)) = self.next_step(now, key) else {
            return false;
        };
        match step {
            Step::Run { replica, suspect } => self.run_call(now, key, call, suspect, replica, out),
            Step::AskForPermit { replica, deadline } => {
                self.ask_for_permit(now, call, deadline, replica, out);
            }
            Step::ReleasePermit => self.release_permit(call, out),
            Step::Claim { replica } => {
                let suspects = self.suspects_of_waiting(now, key, call);
                let name = &self.replicas[replica].name;
                let verdicts = self.suspects.claim(now, call, &suspects, name);
                out.extend(verdicts.into_iter().map(Action::Verdict));
            }
            Step::ReleaseClaim => {
                for suspect in self.suspects_of_waiting(now, key, call) {
                    let verdict = self.suspects.release_claim(now, suspect);
                    out.extend(verdict.map(Action::Verdict));
                }
            }
        }
        true
    }

    /// Returns the suspects of a waiting call.
    fn suspects_of_waiting(&self, now: Millis, pool: PoolKey, call: u64) -> Vec<SuspectKey> {
        let req = self.pools[pool].queue.calls().find(|c| c.call == call);
        req.map_or_else(Vec::new, |req| self.suspects.suspects_of(now, req))
    }

    fn run_call(
        &mut self,
        now: Millis,
        key: PoolKey,
        call: u64,
        suspect: bool,
        replica: BackendKey,
        out: &mut Vec<Action>,
    ) {
        self.permit_asks.remove(call);
        let fair = !self.has(Fault::ServeUnfairly);
        let pool = &mut self.pools[key];
        let Some(req) = pool.queue.remove(call) else {
            return;
        };
        if fair {
            pool.queue.charge(&req);
        }
        let waiting = !pool.queue.is_empty();
        pool.record_start(now, waiting);
        self.start(now, &req, suspect, replica, out);
    }

    /// Returns the first waiting call for which a step is possible, and the step. Calls that may
    /// use a permit go first, then suspects, of which one at a time runs, by their rank, then those that are
    /// free to start. In each of these groups retries go before the others, which are in fair order.
    fn next_step(&mut self, now: Millis, key: PoolKey) -> Option<(u64, Step)> {
        let pool = &self.pools[key];
        let late = self.has(Fault::StartLate);
        let chooser = Chooser {
            now,
            domain: &self.domain,
            pool,
            replicas: &self.replicas,
            suspects: &self.suspects,
            asks: &self.permit_asks,
        };
        let asks = &self.permit_asks;
        if pool.queue.is_empty() || asks.is_empty() && !chooser.has_room() {
            return None;
        }
        let is_held = |req: &RoutingRequest| asks.contains(req.call) || !chooser.has_room_for(req);
        let rank = |req: &RoutingRequest| self.suspects.rank(now, req);
        let mut calls = pool.queue.candidates(is_held, rank);
        calls.extend(calls_with_permits(now, pool, asks));
        calls.retain(|c| c.deadline >= now || late);
        calls.sort_by_cached_key(|c| (!asks.contains(c.call), rank(c), c.attempts == 0));
        let rng = &mut self.rng;
        let mut planner = Planner { chooser, asks, rng };
        let steps = |req: &RoutingRequest| Some((req.call, planner.step(req)?));
        calls.into_iter().find_map(steps)
    }
}

/// Returns the waiting calls of a pool whose permits may be used now.
fn calls_with_permits<'a>(
    now: Millis,
    pool: &'a Pool,
    asks: &PermitAsks,
) -> impl Iterator<Item = &'a RoutingRequest> {
    let usable = asks.usable(now);
    let calls = (!usable.is_empty()).then(|| pool.queue.calls());
    let calls = calls.into_iter().flatten();
    calls.filter(move |c| usable.contains(&c.call))
}

/// Plans the next step of one waiting call.
struct Planner<'a> {
    chooser: Chooser<'a>,
    asks: &'a PermitAsks,
    rng: &'a mut SmallRng,
}

impl Planner<'_> {
    /// Returns the call's next step, or `None` if it has to wait.
    fn step(&mut self, req: &RoutingRequest) -> Option<Step> {
        match self.chooser.suspects.permit(self.chooser.now, req) {
            Permit::Wait | Permit::Never => None,
            Permit::NeedsClaim => {
                let replica = self.chooser.choose(req, true, self.rng)?;
                Some(Step::Claim { replica })
            }
            Permit::Free => self.free_step(req),
            Permit::OnReplica(name) if req.running_on.contains(&name) => None,
            Permit::OnReplica(name) if self.chooser.may_not_run_on(&name, req) => None,
            Permit::OnReplica(name) => Some(self.suspect_step(req, &name)),
        }
    }

    /// Returns the next step of a call that is no suspect.
    fn free_step(&mut self, req: &RoutingRequest) -> Option<Step> {
        if let Some(replica) = self.permitted_replica(req) {
            let suspect = false;
            return Some(match self.chooser.is_open_with_permit(replica) {
                true => Step::Run { replica, suspect },
                false => Step::ReleasePermit,
            });
        }
        let replica = self.chooser.choose(req, false, self.rng)?;
        Some(self.start(req, replica, false))
    }

    /// Returns the next step of a suspect for which the replica called `name` is claimed.
    fn suspect_step(&self, req: &RoutingRequest, name: &str) -> Step {
        let permitted = self.permitted_replica(req).filter(|&key| {
            self.chooser.is_open_with_permit(key) && self.chooser.replicas[key].name == name
        });
        if let Some(replica) = permitted {
            let suspect = true;
            return Step::Run { replica, suspect };
        }
        match self.chooser.open_replica(name) {
            Some(replica) => self.start(req, replica, true),
            None => Step::ReleaseClaim,
        }
    }

    /// Returns the step that starts a call without a permit, or first gets it one.
    fn start(&self, req: &RoutingRequest, replica: BackendKey, suspect: bool) -> Step {
        match self.chooser.replicas[replica].permit_need(self.chooser.now) {
            Some(_) => Step::AskForPermit {
                replica,
                deadline: req.deadline,
            },
            None => Step::Run { replica, suspect },
        }
    }

    /// Returns the replica that the call has a usable permit for.
    fn permitted_replica(&self, req: &RoutingRequest) -> Option<BackendKey> {
        match self.asks.status(self.chooser.now, req.call) {
            PermitStatus::Usable(replica) => Some(replica),
            PermitStatus::None | PermitStatus::Pending | PermitStatus::Expired => None,
        }
    }
}
