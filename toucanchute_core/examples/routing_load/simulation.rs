//! Discrete-event simulation: arrivals, engines, delayed load reports, and cache events that are
//! late and partly lost.

use std::{cmp::Reverse, collections::BinaryHeap};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_core::routing::{
    Action, AttemptReport as Progress, CacheEvent, Event, RegionNeed, RoutingRequest, SoftwareNeed,
    Target,
};
use toucanchute_proto::{AttemptId, Digest, Millis, fleet::Load};

use crate::{
    engine::{Engine, SLOTS},
    policy::{Policy, PolicyKind},
    report::{Report, WARM_UP},
    workload::{Work, Workload},
};

const ROUTERS: usize = 7;
const REPLICAS: usize = 12;

/// Time between two load reports of a replica, in microseconds.
const LOAD_PERIOD_US: u64 = 500_000;

/// Time that a load report takes to reach the routers, in microseconds.
const LOAD_LAG_US: u64 = 300_000;

/// Time between two batches of cache events, in microseconds.
const CACHE_PERIOD_US: u64 = 1_000_000;

/// Share of cache events that are lost, in percent.
const CACHE_LOSS_PERCENT: u32 = 20;

/// Time between two ticks of a router, in microseconds.
const TICK_US: u64 = 20_000;

/// Time from the last arrival to the end of the run, in microseconds.
const DRAIN_US: u64 = 30_000_000;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) workload: Workload,
    /// Time for which callers wait for the first token, in microseconds.
    pub(crate) timeout: u64,
    pub(crate) queue_limit: u32,
    /// Factor by which the first replica is slower, if any.
    pub(crate) slowdown: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Token {
        req: usize,
    },
    Timeout {
        req: usize,
    },
    Tick,
    LoadReport {
        replica: usize,
    },
    LoadReceived {
        replica: usize,
        running: u32,
        waiting: u32,
        as_of: u64,
    },
    CacheBatch {
        replica: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    Queued,
    Waiting,
    Running,
    Ended,
}

struct Request {
    work: Work,
    router: usize,
    arrived: u64,
    attempt: Option<AttemptId>,
    replica: usize,
    state: RequestState,
    tokens: u64,
    last_token: u64,
}

pub(crate) struct Simulation {
    now: u64,
    serial: u64,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    rng: SmallRng,
    scenario: Scenario,
    routers: Vec<Policy>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    report: Report,
}

impl Simulation {
    pub(crate) fn new(seed: u64, kind: PolicyKind, scenario: Scenario) -> Simulation {
        let router = |r| Policy::new(kind, r, REPLICAS, scenario.queue_limit, seed);
        let slowdown = |i: usize| scenario.slowdown.filter(|_| i == 0).unwrap_or(1.0);
        let mut sim = Simulation {
            now: 0,
            serial: 0,
            queue: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            routers: (0..ROUTERS).map(router).collect(),
            engines: (0..REPLICAS).map(|i| Engine::new(slowdown(i))).collect(),
            requests: Vec::new(),
            report: Report::new(scenario.workload.duration, scenario.workload.burst.1),
            scenario,
        };
        sim.schedule(0, SimEvent::Arrive);
        sim.schedule(0, SimEvent::Tick);
        for replica in 0..REPLICAS {
            let phase = replica as u64 * LOAD_PERIOD_US / REPLICAS as u64;
            sim.schedule(phase, SimEvent::LoadReport { replica });
            sim.schedule(phase, SimEvent::CacheBatch { replica });
        }
        sim
    }

    pub(crate) fn run(mut self) -> Report {
        let end = self.scenario.workload.duration * 1_000_000 + DRAIN_US;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.process(event);
        }
        self.report
    }

    fn schedule(&mut self, delay: u64, event: SimEvent) {
        self.serial += 1;
        self.queue
            .push(Reverse((self.now + delay, self.serial, event)));
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive => self.arrive(),
            SimEvent::Token { req } => self.token(req),
            SimEvent::Timeout { req } => self.time_out(req),
            SimEvent::Tick => {
                (0..ROUTERS).for_each(|r| self.send_event(r, Event::Tick));
                self.schedule(TICK_US, SimEvent::Tick);
            }
            SimEvent::LoadReport { replica } => {
                let engine = &self.engines[replica];
                let (running, waiting) = (engine.running as u32, engine.waiting.len() as u32);
                let as_of = self.now;
                let loads = SimEvent::LoadReceived {
                    replica,
                    running,
                    waiting,
                    as_of,
                };
                self.schedule(LOAD_LAG_US, loads);
                self.schedule(LOAD_PERIOD_US, SimEvent::LoadReport { replica });
            }
            SimEvent::LoadReceived {
                replica,
                running,
                waiting,
                as_of,
            } => {
                let load = Load {
                    backend: format!("b{replica}"),
                    running,
                    waiting,
                    capacity: SLOTS as u32,
                    kv_used: 0,
                    polled: true,
                    pace_percent: None,
                    token_time_us: None,
                    as_of: Millis(as_of / 1_000),
                };
                (0..ROUTERS).for_each(|r| self.send_event(r, Event::Load(load.clone())));
            }
            SimEvent::CacheBatch { replica } => self.cache_events(replica),
        }
    }

    fn cache_events(&mut self, replica: usize) {
        let mut events: Vec<CacheEvent> = self.engines[replica].pending_events.drain(..).collect();
        let rng = &mut self.rng;
        events.retain(|_| !rng.random_ratio(CACHE_LOSS_PERCENT, 100));
        for r in 0..ROUTERS {
            let (backend, events) = (format!("b{replica}"), events.clone());
            let gap = false;
            self.send_event(
                r,
                Event::CacheEvents {
                    backend,
                    events,
                    gap,
                },
            );
        }
        self.schedule(CACHE_PERIOD_US, SimEvent::CacheBatch { replica });
    }

    // Requests

    fn arrive(&mut self) {
        if self.now >= self.scenario.workload.duration * 1_000_000 {
            return;
        }
        let gap = self.scenario.workload.arrival_gap(self.now, &mut self.rng);
        self.schedule(gap, SimEvent::Arrive);
        let work = self.scenario.workload.work(&mut self.rng);
        let (req, router) = (self.requests.len(), self.rng.random_range(0..ROUTERS));
        let assign = self.assign(req, &work);
        self.requests.push(Request {
            work,
            router,
            arrived: self.now,
            attempt: None,
            replica: 0,
            state: RequestState::Queued,
            tokens: 0,
            last_token: 0,
        });
        self.report.arrived += 1;
        self.schedule(self.scenario.timeout, SimEvent::Timeout { req });
        self.send_event(router, Event::Assign(assign));
    }

    fn assign(&self, req: usize, work: &Work) -> RoutingRequest {
        RoutingRequest {
            call: req as u64,
            target: Target::Model("m".to_owned()),
            customer: format!("c{}", work.customer),
            weight: 1,
            priority: 0,
            digest: Digest(req as u128),
            parts: Vec::new(),
            prefix: work.prefix.clone(),
            tokens: work.prompt / 10 + work.output,
            attempts: 0,
            exclude: Vec::new(),
            running_on: Vec::new(),
            software: SoftwareNeed::Any,
            regions: RegionNeed::Any,
            may_wait: true,
            affinity: None,
            deadline: Millis((self.now + self.scenario.timeout) / 1_000),
        }
    }

    fn send_event(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        let now = Millis(self.now / 1_000);
        self.routers[router].handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Assigned {
                    call,
                    attempt,
                    backend,
                    ..
                } => {
                    let replica = backend[1..].parse().unwrap_or(0);
                    self.send(call as usize, attempt, replica);
                }
                Action::Refused { call, .. } => self.refused(call as usize),
                _ => {}
            }
        }
    }

    fn refused(&mut self, req: usize) {
        self.requests[req].state = RequestState::Ended;
        self.report.refused += 1;
        self.note_first(req, u64::MAX);
    }

    fn send(&mut self, req: usize, attempt: AttemptId, replica: usize) {
        let r = &mut self.requests[req];
        r.attempt = Some(attempt);
        r.replica = replica;
        r.state = RequestState::Waiting;
        self.engines[replica].waiting.push_back(req);
        self.fill(replica);
    }

    /// Starts waiting requests in free slots.
    fn fill(&mut self, replica: usize) {
        while self.engines[replica].running < SLOTS {
            let Some(req) = self.engines[replica].waiting.pop_front() else {
                return;
            };
            let work = &self.requests[req].work;
            let first = self.engines[replica].prefill(self.now, work);
            self.requests[req].state = RequestState::Running;
            self.schedule(first - self.now, SimEvent::Token { req });
        }
    }

    fn token(&mut self, req: usize) {
        let r = &mut self.requests[req];
        if r.state != RequestState::Running {
            return;
        }
        r.tokens += 1;
        let since = self.now - r.last_token;
        r.last_token = self.now;
        if r.tokens == 1 {
            let first = self.now - r.arrived;
            self.report.first_tokens.saturating_record(first);
            self.note_first(req, first);
            self.progress(req, Progress::FirstToken);
        } else {
            self.report.token_gaps.saturating_record(since);
        }
        let r = &self.requests[req];
        if r.tokens == r.work.output {
            self.complete(req);
        } else {
            let step = self.engines[r.replica].step();
            self.schedule(step, SimEvent::Token { req });
        }
    }

    fn complete(&mut self, req: usize) {
        let second = self.now / 1_000_000;
        if (WARM_UP..self.scenario.workload.duration).contains(&second) {
            self.report.completed += 1;
        }
        let tokens = self.requests[req].tokens;
        self.end(req, Progress::Done { tokens });
    }

    fn time_out(&mut self, req: usize) {
        let r = &self.requests[req];
        let (state, router) = (r.state, r.router);
        if state == RequestState::Ended || r.tokens > 0 {
            return;
        }
        self.report.late += 1;
        self.note_first(req, u64::MAX);
        if state == RequestState::Queued {
            self.requests[req].state = RequestState::Ended;
            self.send_event(router, Event::Abandon { call: req as u64 });
        } else {
            self.end(req, Progress::Cancelled);
        }
    }

    /// Removes a request from its replica and reports `progress` to its router.
    fn end(&mut self, req: usize, progress: Progress) {
        let r = &mut self.requests[req];
        let replica = r.replica;
        let engine = &mut self.engines[replica];
        match r.state {
            RequestState::Running => engine.running -= 1,
            _ => engine.waiting.retain(|w| *w != req),
        }
        r.state = RequestState::Ended;
        self.fill(replica);
        self.progress(req, progress);
    }

    fn progress(&mut self, req: usize, report: Progress) {
        let r = &self.requests[req];
        if let Some(attempt) = r.attempt {
            let router = r.router;
            self.send_event(router, Event::Report { attempt, report });
        }
    }

    fn note_first(&mut self, req: usize, first: u64) {
        let second = self.requests[req].arrived / 1_000_000;
        self.report.seconds[second as usize].push(first);
    }
}
