//! Servers of uneven speed before many routers that know their loads late.

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::{AttemptId, Incarnation, Millis, fleet::Load};
use yare::parameterized;

use super::{
    harness::{Harness, NEVER, request},
    simulation::{assign, config},
};
use crate::routing::{Action, AttemptReport, Dispatcher, Event, RoutingRequest};

/// Requests that a server runs at the same time.
const SLOTS: usize = 8;

const SERVERS: usize = 30;

/// Time that a request takes on a server of usual speed, in milliseconds.
const SERVICE_MS: f64 = 800.0;

/// Time that work takes on the servers by turns, as a multiple of the usual time.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];

/// Share of all slots that are in use on average, if each server gets work by its speed.
const UTILIZATION: f64 = 0.75;

/// Most calls that arrive in a millisecond; identifiers of calls begin with the time.
const CALLS_PER_MS: u64 = 100;

/// Length of a simulation, in milliseconds.
const SPAN_MS: u64 = 8_000;

/// A server, whose speed no router is told.
struct Server {
    speed: f64,
    running: Vec<(u64, Sent)>,
    waiting: VecDeque<Sent>,
}

/// A request on its way.
#[derive(Clone, Copy)]
struct Sent {
    router: usize,
    attempt: AttemptId,
    /// When it arrived at its router.
    arrived: u64,
}

/// Routers before servers; each answer states the load of its server.
struct Site {
    routers: Vec<Dispatcher>,
    servers: Vec<Server>,
    /// Reports on their way to all other routers than the given one, by time of arrival.
    shared: BTreeMap<u64, Vec<(usize, Load)>>,
    /// Time after which a report reaches the other routers; `None` if it never does.
    delay: Option<u64>,
    rng: SmallRng,
    /// Time for which requests waited at their routers and servers.
    waits: Vec<u64>,
    calls: u64,
    now: u64,
}

impl Site {
    fn new(routers: usize, delay: Option<u64>) -> Site {
        let router = |i: usize| {
            let mut dispatcher = Dispatcher::new(Incarnation(i as u64 + 1), "d0", i as u64);
            let event = Event::Configure {
                config: config(SERVERS, SLOTS as u32).into(),
                withdrawn: Default::default(),
            };
            dispatcher.handle(Millis(0), event, &mut Vec::new());
            dispatcher
        };
        let server = |i: usize| Server {
            speed: SPEEDS[i % SPEEDS.len()],
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        Site {
            routers: (0..routers).map(router).collect(),
            servers: (0..SERVERS).map(server).collect(),
            shared: BTreeMap::new(),
            delay,
            rng: SmallRng::seed_from_u64(7),
            waits: Vec::new(),
            calls: 0,
            now: 0,
        }
    }

    /// Runs the site; returns the mean wait of a request, in milliseconds.
    fn run(mut self) -> f64 {
        let speed: f64 = self.servers.iter().map(|s| 1.0 / s.speed).sum();
        let rate = UTILIZATION * speed * SLOTS as f64 / SERVICE_MS;
        let mut due = 0.0;
        while self.now < SPAN_MS {
            self.now += 1;
            self.deliver_reports();
            self.end_requests();
            due += rate;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive();
            }
        }
        self.waits.iter().sum::<u64>() as f64 / self.waits.len() as f64
    }

    fn arrive(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        self.calls += 1;
        let call = self.now * CALLS_PER_MS + self.calls % CALLS_PER_MS;
        let req = RoutingRequest {
            prefix: Vec::new(),
            ..assign(call, 0, 10, NEVER)
        };
        self.handle(router, Event::Assign(req));
    }

    fn handle(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router].handle(Millis(self.now), event, &mut out);
        for action in out {
            match action {
                Action::Assigned {
                    call,
                    attempt,
                    backend,
                    ..
                } => self.send(router, call / CALLS_PER_MS, attempt, &backend),
                Action::ShareLoad(load) => {
                    if let Some(delay) = self.delay {
                        let due = self.shared.entry(self.now + delay).or_default();
                        due.push((router, load));
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, router: usize, arrived: u64, attempt: AttemptId, backend: &str) {
        let server: usize = backend[1..].parse().unwrap();
        let sent = Sent {
            router,
            attempt,
            arrived,
        };
        self.servers[server].waiting.push_back(sent);
        self.begin_requests(server);
    }

    /// Begins the waiting requests of a server as far as it has slots.
    fn begin_requests(&mut self, server: usize) {
        while self.servers[server].running.len() < SLOTS {
            let s = &mut self.servers[server];
            let Some(sent) = s.waiting.pop_front() else {
                return;
            };
            let ends = self.now + (SERVICE_MS * s.speed) as u64;
            s.running.push((ends, sent));
            let load = Load {
                backend: format!("b{server}"),
                running: s.running.len() as u32,
                waiting: s.waiting.len() as u32,
                capacity: SLOTS as u32,
                kv_used: 0,
                polled: false,
                pace_percent: None,
                token_time_us: None,
                as_of: Millis(self.now),
            };
            self.waits.push(self.now - sent.arrived);
            self.handle(sent.router, Event::OwnLoad(load));
            let report = AttemptReport::FirstToken;
            let attempt = sent.attempt;
            self.handle(sent.router, Event::Report { attempt, report });
        }
    }

    fn end_requests(&mut self) {
        for server in 0..SERVERS {
            let now = self.now;
            let running = std::mem::take(&mut self.servers[server].running);
            let (ended, going): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
            self.servers[server].running = going;
            for (
                _,
                Sent {
                    router, attempt, ..
                },
            ) in ended
            {
                let report = AttemptReport::Done { tokens: 40 };
                self.handle(router, Event::Report { attempt, report });
            }
            self.begin_requests(server);
        }
    }

    fn deliver_reports(&mut self) {
        for (from, load) in self.shared.remove(&self.now).unwrap_or_default() {
            for router in (0..self.routers.len()).filter(|&r| r != from) {
                self.handle(router, Event::Load(load.clone()));
            }
        }
    }
}

// Guards against servers that are overrun while others idle: by routers that know little of them, or that all
// leave out those which old reports call full. Prints the gain against the age of shared reports.
#[parameterized(
    routers_7 = { 7, 1.0 },
    routers_30 = { 30, 0.5 },
    routers_64 = { 64, 0.5 },
    routers_300 = { 300, 0.5 },
)]
fn reports_of_up_to_half_a_second_shorten_waits(routers: usize, most: f64) {
    let alone = Site::new(routers, None).run();
    let waits = [100, 250, 500, 1_000].map(|delay| Site::new(routers, Some(delay)).run());
    println!("{routers} routers: alone {alone:.0} ms, shared {waits:.0?}");
    let bound = alone * most;
    assert!(
        waits[..3].iter().all(|&w| w <= bound),
        "alone {alone}, shared {waits:?}"
    );
}

/// Returns the servers of `calls` calls that all end after one another.
fn chosen(harness: &mut Harness, now: u64, calls: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for call in 0..calls {
        let (attempt, backend) = harness.call(now, request(now * 1_000 + call)).unwrap();
        harness.report(now, attempt, AttemptReport::Done { tokens: 1 });
        *counts.entry(backend).or_default() += 1;
    }
    counts
}

// Guards against an old report of an idle server that draws the work of all routers.
#[test]
fn a_report_counts_less_with_its_age() {
    let mut harness = Harness::new(2, 16);
    for at in 0..50 {
        harness.load(1_000 + at, "b1", 8);
    }
    harness.load(1_100, "b0", 0);
    harness.load(1_100, "b1", 8);
    let recent = chosen(&mut harness, 1_110, 10);
    assert_eq!(recent.get("b0"), Some(&10), "{recent:?}");
    harness.load(9_000, "b1", 4);
    let old = chosen(&mut harness, 9_010, 10);
    assert_eq!(old.get("b1"), Some(&10), "{old:?}");
}

// Guards against a host with a full link, to which all servers look unreachable: what one of them has sent
// since shows that it is not.
#[test]
fn a_server_that_answers_gets_work_although_connections_open_late() {
    let mut harness = Harness::new(1, 16);
    let (answered, _) = harness.call(1_000, request(1)).unwrap();
    let (unreached, _) = harness.call(1_100, request(2)).unwrap();
    harness.report(1_400, answered, AttemptReport::Done { tokens: 1 });
    harness.report(1_500, unreached, AttemptReport::Unreached);
    assert!(harness.call(1_501, request(3)).is_some());
}

// Guards against work for a server that has sent nothing since it opened no connection.
#[test]
fn a_dark_server_gets_no_work_after_connections_that_never_open() {
    let mut harness = Harness::new(1, 16);
    let (answered, _) = harness.call(1_000, request(1)).unwrap();
    harness.report(1_050, answered, AttemptReport::Done { tokens: 1 });
    let (unreached, _) = harness.call(1_100, request(2)).unwrap();
    harness.report(1_500, unreached, AttemptReport::Unreached);
    assert_eq!(harness.call(1_501, request(3)), None);
}

/// Answers some calls with their first tokens after `first_token` milliseconds.
fn serve(harness: &mut Harness, first_token: u64) {
    for call in 0..20 {
        let at = 1_000 + call;
        let (attempt, _) = harness.call(at, request(call)).unwrap();
        harness.report(at + first_token, attempt, AttemptReport::FirstToken);
        harness.report(at + first_token, attempt, AttemptReport::Done { tokens: 1 });
    }
}

/// Starts a call, reports its server as silent after 560 ms and returns whether a second one is tried.
fn is_hedged(harness: &mut Harness) -> bool {
    let (attempt, backend) = harness.call(3_000, request(90)).unwrap();
    harness.report(3_560, attempt, AttemptReport::Silent);
    let hedge = RoutingRequest {
        attempts: 1,
        running_on: vec![backend],
        may_wait: false,
        ..request(90)
    };
    harness.call(3_560, hedge).is_some()
}

// Guards against second sends in a burst, when all servers are slow to begin: they would take the room of
// calls that have not been sent once.
#[parameterized(
    quick_pool = { 80, true },
    pool_with_queues = { 700, false },
)]
fn a_silence_counts_against_what_the_pool_takes_at_present(first_token: u64, hedged: bool) {
    let mut harness = Harness::new(3, 16);
    serve(&mut harness, first_token);
    assert_eq!(is_hedged(&mut harness), hedged);
}

// Guards against a pool that refuses all calls for good, after slow answers which no call can correct.
#[test]
fn a_prediction_without_measurements_does_not_keep_calls_out() {
    let mut harness = Harness::new(3, 16);
    serve(&mut harness, 2_000);
    let call = |now: u64| RoutingRequest {
        deadline: Millis(now + 1_500),
        ..request(now)
    };
    assert_eq!(harness.call(3_100, call(3_100)), None);
    assert!(harness.call(4_600, call(4_600)).is_some());
}

/// Returns the report of an idle server that states `pace`.
fn idle(backend: &str, as_of: u64, polled: bool, pace: Option<u32>) -> Event {
    Event::Load(Load {
        backend: backend.to_owned(),
        running: 0,
        waiting: 0,
        capacity: 16,
        kv_used: 0,
        polled,
        pace_percent: pace,
        token_time_us: None,
        as_of: Millis(as_of),
    })
}

// Guards against a server that refuses everything, looks idle to others for it, and draws work again.
#[parameterized(
    answer_to_another_router = { false },
    poll = { true },
)]
fn only_a_poll_ends_an_ejection_early(polled: bool) {
    let mut harness = Harness::new(1, 16);
    for call in 1..=2 {
        // The second failure, of a probe, doubles the ejection.
        let at = call * 1_100;
        let (attempt, _) = harness.call(at, request(call)).unwrap();
        harness.report(at, attempt, AttemptReport::Unsent);
    }
    harness.handle(3_300, idle("b0", 3_300, polled, None));
    assert_eq!(harness.call(3_301, request(3)).is_some(), polled);
}

// Guards against work for a server that is slow at this moment while others are not.
#[test]
fn a_server_that_states_a_slow_pace_gets_no_work_beside_an_idle_one() {
    let mut harness = Harness::new(2, 16);
    for at in 1_000..1_050 {
        harness.handle(at, idle("b1", at, false, Some(100)));
    }
    harness.handle(1_050, idle("b0", 1_050, false, Some(250)));
    let now = chosen(&mut harness, 1_060, 10);
    assert_eq!(now.get("b1"), Some(&10), "{now:?}");
}
