//! Simulation of routers, replicas and callers that the fuzz test drives step by step.

mod replicas;

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{
    AttemptId, Digest, Incarnation, Millis,
    config::{Backend, Config, Model, Pool, PoolKind},
};

use super::{
    oracle::{Oracle, Violation},
    steps::Step,
};
use crate::routing::{
    Action, AttemptReport, Dispatcher, Event, RegionNeed, RoutingRequest, SoftwareNeed, Target,
    fault::Fault,
};

pub(super) const ROUTERS: usize = 3;
pub(super) const REPLICAS: usize = 5;
pub(super) const CONCURRENCY: u32 = 4;

/// Attempts that a router's edge makes for one call.
const MAX_ATTEMPTS: u32 = 4;

/// Number of times that the caller of a poison request sends it.
const POISON_SENDS: u32 = 5;

/// Bound of the time that a verdict takes to reach another router, in milliseconds.
const MAX_GOSSIP_DELAY_MS: u64 = 40;

/// Time for which a crashed replica is down, in milliseconds.
const RESTART_MS: u64 = 300;

/// An attempt in flight on a replica.
pub(super) struct RunningAttempt {
    pub(super) router: usize,
    attempt: AttemptId,
    pub(super) call: u64,
    pub(super) replica: usize,
    ends: Millis,
}

/// The dispatchers with simulated time, network, replicas and callers.
pub(super) struct Simulation {
    pub(super) now: Millis,
    /// Interval between two ticks of a router, in milliseconds.
    tick_interval: u64,
    routers: Vec<Dispatcher>,
    frozen_until: Vec<Millis>,
    /// Events that arrived at each router while it was frozen.
    held_events: Vec<Vec<Event>>,
    /// Events in transit, by time of arrival.
    inbox: BTreeMap<(Millis, u64), (usize, Event)>,
    serial: u64,
    pub(super) calls: BTreeMap<u64, RoutingRequest>,
    pub(super) running: Vec<RunningAttempt>,
    down_until: [Millis; REPLICAS],
    /// Remaining sends of the poison request, and the router that gets the next one.
    poison: Option<(u32, usize)>,
    poison_due: Option<Millis>,
    /// Routers that ever got an order to evacuate failure domains.
    evacuating: BTreeSet<usize>,
    pub(super) oracle: Oracle,
    /// Calls whose caller left while a router may still answer.
    abandoned: BTreeSet<u64>,
    pub(super) log: Vec<Action>,
}

pub(super) fn config(replicas: usize, concurrency: u32) -> Config {
    let pool = "p".to_owned();
    let text = format!(
        r#"{{"version":1,"site":"s","routing":{{"queue_limit":64}},"ledger":{{}},
        "pools":[{{"name":"p","kind":"engine","max_concurrency":{concurrency}}}]}}"#
    );
    let mut config: Config = serde_json::from_str(&text).unwrap();
    config.models = vec![Model {
        name: "m".to_owned(),
        pool: pool.clone(),
    }];
    let backend = |i: usize| Backend {
        name: format!("b{i}"),
        pool: pool.clone(),
        address: format!("192.0.2.{i}:80"),
        failure_domain: format!("d{}", i % 2),
        software: None,
    };
    config.backends = (0..replicas).map(backend).collect();
    assert_eq!(
        config.pools[0],
        Pool {
            name: pool,
            kind: PoolKind::Engine,
            fencing: config.pools[0].fencing,
            max_concurrency: concurrency,
            tokens_per_event: 1,
            cold_rate: None,
            cold_start_ms: 0,
        }
    );
    config
}

pub(super) fn assign(call: u64, customer: u8, tokens: u64, deadline: Millis) -> RoutingRequest {
    RoutingRequest {
        call,
        target: Target::Model("m".to_owned()),
        customer: format!("c{customer}"),
        weight: 1,
        priority: 0,
        digest: Digest(u128::from(call)),
        parts: Vec::new(),
        prefix: vec![call % 7],
        tokens,
        attempts: 0,
        exclude: Vec::new(),
        running_on: Vec::new(),
        software: SoftwareNeed::Any,
        regions: RegionNeed::Any,
        may_wait: true,
        affinity: None,
        deadline,
    }
}

/// Digest of the poison request. Every call with it crashes its replica.
pub(super) const POISON: Digest = Digest(u128::MAX);

impl Simulation {
    pub(super) fn new(seed: u64, tick_interval: u64, fault: Option<Fault>) -> Simulation {
        let router = |i: usize| {
            let mut d = Dispatcher::new(Incarnation(i as u64 + 1), "d0", seed + i as u64);
            d.fault = fault;
            d
        };
        let mut sim = Simulation {
            now: Millis(1_000),
            tick_interval,
            routers: (0..ROUTERS).map(router).collect(),
            frozen_until: vec![Millis(0); ROUTERS],
            held_events: vec![Vec::new(); ROUTERS],
            inbox: BTreeMap::new(),
            serial: 0,
            calls: BTreeMap::new(),
            running: Vec::new(),
            down_until: [Millis(0); REPLICAS],
            poison: None,
            poison_due: None,
            evacuating: BTreeSet::new(),
            oracle: Oracle::default(),
            abandoned: BTreeSet::new(),
            log: Vec::new(),
        };
        (0..ROUTERS).for_each(|r| sim.withdraw(r, 0));
        sim
    }

    pub(super) fn run(mut self, steps: &[Step]) -> Result<Vec<Action>, Violation> {
        for step in steps {
            self.step(step)?;
        }
        for r in 0..ROUTERS {
            self.withdraw(r, 0);
        }
        for r in std::mem::take(&mut self.evacuating) {
            self.evacuate(r, 0);
        }
        self.advance(60_000)?;
        self.oracle.check_end(self.now, &self.calls)?;
        Ok(self.log)
    }

    fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Advance(span) => return self.advance(span),
            Step::Call {
                router,
                customer,
                tokens,
                timeout,
            } => {
                let call = self.next_serial();
                let req = assign(call, customer, tokens, self.now + Millis(timeout));
                self.send(router, req);
            }
            Step::Poison { router } if self.poison.is_none() => {
                self.poison = Some((POISON_SENDS, router));
                self.poison_due = Some(self.now);
            }
            Step::CrashReplica(replica) => self.crash(replica),
            Step::Fail { nth, how } => self.fail(nth, how),
            Step::Withdraw { router, mask } => self.withdraw(router, mask & 0b1_1110),
            Step::Evacuate { router, mask } => self.evacuate(router, mask),
            Step::Load { replica, lag } => self.load(replica, lag),
            Step::Abandon { nth } => {
                let waiting = self.calls.iter().filter(|(_, c)| c.digest != POISON);
                let nth = waiting.map(|(&c, _)| c).nth(nth);
                if let Some(call) = nth.filter(|c| !self.running.iter().any(|r| r.call == *c)) {
                    let router = self.oracle.router_of(call);
                    self.calls.remove(&call);
                    self.abandoned.insert(call);
                    self.post(router, 0, Event::Abandon { call });
                }
            }
            Step::Freeze { router, span } => {
                let until = self.now + Millis(span);
                self.frozen_until[router] = self.frozen_until[router].max(until);
            }
            Step::Poison { .. } => {}
        }
        self.deliver()
    }

    // Time

    fn advance(&mut self, span: u64) -> Result<(), Violation> {
        let until = self.now + Millis(span);
        while self.now < until {
            self.now = self.now + Millis(5);
            self.end_due_attempts();
            self.send_poison();
            if self.now.0.is_multiple_of(self.tick_interval) {
                (0..ROUTERS).for_each(|r| self.post(r, 0, Event::Tick));
            }
            self.deliver()?;
        }
        Ok(())
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn post(&mut self, router: usize, delay: u64, event: Event) {
        let at = self.now + Millis(delay);
        let serial = self.next_serial();
        self.inbox.insert((at, serial), (router, event));
    }

    fn deliver(&mut self) -> Result<(), Violation> {
        for router in 0..ROUTERS {
            if self.frozen_until[router] <= self.now {
                for event in std::mem::take(&mut self.held_events[router]) {
                    self.handle(router, event)?;
                }
            }
        }
        while let Some(entry) = self.inbox.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (router, event) = entry.remove();
            if self.frozen_until[router] > self.now {
                self.held_events[router].push(event);
            } else {
                self.handle(router, event)?;
            }
        }
        Ok(())
    }

    fn handle(&mut self, router: usize, event: Event) -> Result<(), Violation> {
        self.oracle.observe(self.now, router, &event)?;
        let mut out = Vec::new();
        self.routers[router].handle(self.now, event, &mut out);
        out.into_iter().try_for_each(|a| self.perform(router, a))
    }

    fn evacuate(&mut self, router: usize, mask: u8) {
        let domains = (0..2).filter(|d| mask & (1 << d) != 0);
        let domains = domains.map(|d| format!("d{d}")).collect();
        self.evacuating.insert(router);
        self.post(router, 0, Event::Evacuate(domains));
    }

    // Callers

    fn send(&mut self, router: usize, req: RoutingRequest) {
        self.oracle.record_sent(req.call, router);
        self.calls.insert(req.call, req.clone());
        self.post(router, 0, Event::Assign(req));
    }

    fn send_poison(&mut self) {
        if self.poison_due.is_none_or(|at| at > self.now) {
            return;
        }
        self.poison_due = None;
        if let Some((left @ 1.., router)) = self.poison {
            self.poison = Some((left - 1, (router + 1) % ROUTERS));
            let call = self.next_serial();
            let mut req = assign(call, 0, 50, self.now + Millis(8_000));
            req.digest = POISON;
            self.send(router, req);
        }
    }

    /// Ends a call. The poison request's caller sends it again at once, to another router.
    fn finish_call(&mut self, call: u64) {
        let req = self.calls.remove(&call);
        if req.is_some_and(|r| r.digest == POISON) {
            self.poison_due = Some(self.now + Millis(5));
        }
    }

    // Actions

    fn perform(&mut self, router: usize, action: Action) -> Result<(), Violation> {
        self.log.push(action.clone());
        match action {
            Action::Assigned { call, attempt, .. } if self.abandoned.contains(&call) => {
                let report = AttemptReport::Cancelled;
                self.post(router, 0, Event::Report { attempt, report });
            }
            Action::Refused { call, .. } if self.abandoned.contains(&call) => {}
            Action::Assigned {
                call,
                attempt,
                backend,
                ..
            } => {
                let replica: usize = backend[1..].parse().unwrap();
                Oracle::check_start(self, router, call, replica)?;
                let req = &self.calls[&call];
                self.oracle.record_start(router, req, attempt, replica);
                self.start_attempt(router, call, attempt, replica);
            }
            Action::Refused { call, reason, .. } => {
                self.oracle.check_refusal(self.calls.get(&call), reason)?;
                self.finish_call(call);
            }
            Action::BackendChanged { .. }
            | Action::EvacuationChanged { .. }
            | Action::Hint(_)
            | Action::ShareLoad(_)
            | Action::SendPermitMessage { .. }
            | Action::PermitUnanswered { .. } => {}
            Action::Verdict(v) => {
                for peer in (0..ROUTERS).filter(|&p| p != router) {
                    let delay = (self.serial * 7_919) % MAX_GOSSIP_DELAY_MS;
                    self.post(peer, delay, Event::Verdict(v.clone()));
                    self.post(peer, delay + 3, Event::Verdict(v.clone()));
                }
            }
        }
        Ok(())
    }

    fn start_attempt(&mut self, router: usize, call: u64, attempt: AttemptId, replica: usize) {
        let req = &self.calls[&call];
        let span = if req.digest == POISON {
            15
        } else {
            20 + req.tokens
        };
        let run = RunningAttempt {
            router,
            attempt,
            call,
            replica,
            ends: self.now + Millis(span),
        };
        self.running.push(run);
        if self.down_until[replica] > self.now {
            self.end_attempt(self.running.len() - 1, AttemptReport::Unsent);
        }
    }
}
