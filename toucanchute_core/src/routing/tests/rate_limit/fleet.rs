//! Simulated routers before servers that name rate limits.

mod callers;
mod counts;
mod view;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::{AttemptId, Incarnation, Millis, RequestRate, fleet::BackendHint};

pub(super) use self::{
    callers::{Callers, Load, Rhythm},
    counts::{Counts, KnownBy},
};
use super::trouble::Trouble;
use crate::routing::{
    Action, AttemptReport, BackendNotice, ColdCause, Dispatcher, Event, fault::Fault,
    tests::simulation::config,
};

/// Time from the start of an attempt until its answer.
const ANSWER_TIME: Millis = Millis(100);

/// Interval between two ticks of a router.
const TICK_INTERVAL: Millis = Millis(50);

/// Bounds of the time that a message between routers takes.
pub(super) const MESSAGE_TIME: (u64, u64) = (1, 8);

/// Concurrency limit of each server.
const CONCURRENCY: u32 = 64;

/// Time after an answer with a limit from which the limit counts as known.
const LEARNING_TIME: Millis = Millis(500);

/// Time in which routers learn that a server is cold.
pub(super) const COLD_NEWS_TIME: Millis = Millis(500);

/// Time for which a server is cold after its start.
const COLD_START: Millis = Millis(3_000);

/// Factor by which the requests to a cold server may exceed its rate in a second, in thousandths.
pub(super) const COLD_OVERSHOOT_PERMILLE: u32 = 1_500;

/// Requests by which they may exceed that, in thousandths.
pub(super) const COLD_SLACK_PERMILLE: u32 = 5_000;

/// Parameters of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) routers: usize,
    pub(super) servers: usize,
    /// Number of servers that name a limit, the first ones.
    pub(super) limited_servers: usize,
    /// Limit that they name.
    pub(super) rate: RequestRate,
    /// Whether they are cold in place of naming it.
    pub(super) cold: bool,
    /// When they begin to name it, or turn cold.
    pub(super) named_at: Millis,
    /// Requests that callers send in one second, on average.
    pub(super) requests_per_second: f64,
    pub(super) load: Load,
    pub(super) rhythm: Rhythm,
    /// When callers stop sending new requests.
    pub(super) requests_until: Millis,
    /// When the servers stop naming the limit.
    pub(super) ends_at: Millis,
    pub(super) trouble: Trouble,
    /// Bounds of the time in which a change of a router's state reaches the other routers, in
    /// milliseconds.
    pub(super) view_time: (u64, u64),
    /// Fault of all routers.
    pub(super) fault: Option<Fault>,
}

/// One router and what it has learned.
struct Router {
    dispatcher: Dispatcher,
    incarnation: Incarnation,
    /// Time until which it does not run.
    frozen_until: Millis,
    /// Whether it takes part in the fleet.
    up: bool,
    /// Side of a partition; routers on different sides exchange no messages.
    side: usize,
    /// When it first got an answer with a limit of each server.
    named_at: BTreeMap<usize, Millis>,
}

/// An input of a router that is due at some time.
enum Delivery {
    Event(Event),
    /// An answer of a server to an attempt.
    Answer {
        attempt: AttemptId,
        server: usize,
    },
    /// A message of another router, which is lost if a partition separates the two.
    Message {
        from: usize,
        event: Event,
    },
    /// The router learns the state of the fleet.
    View,
    /// A caller's request.
    Request,
    /// A caller that was refused returns, or another caller of a crowd sends its request.
    Return,
    /// The next trouble begins.
    Trouble,
}

/// Routers, servers and callers on simulated time.
pub(super) struct Fleet {
    scenario: Scenario,
    now: Millis,
    routers: Vec<Router>,
    /// Inputs by time and order of creation, with the router that they are for.
    due: BTreeMap<(Millis, u64), (usize, Delivery)>,
    serial: u64,
    pub(super) callers: Callers,
    pub(super) counts: Counts,
    /// Newest hint about each server, which new routers get.
    hints: BTreeMap<String, BackendHint>,
    /// When any router first got an answer with a limit of each server.
    named_at: BTreeMap<usize, Millis>,
    pub(super) rng: SmallRng,
}

impl Fleet {
    pub(super) fn new(scenario: Scenario) -> Fleet {
        let mut fleet = Fleet {
            scenario,
            now: Millis(0),
            routers: (0..scenario.routers)
                .map(|i| Router::new(scenario, i as u64 + 1))
                .collect(),
            due: BTreeMap::new(),
            serial: 0,
            callers: Callers::default(),
            counts: Counts::default(),
            hints: BTreeMap::new(),
            named_at: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(scenario.seed),
        };
        for i in 0..scenario.routers {
            fleet.configure(i);
            fleet.update_view(i);
            let phase = fleet.rng.random_range(0..TICK_INTERVAL.0);
            fleet.post(i, Millis(phase), Delivery::Event(Event::Tick));
        }
        fleet.post_next_request();
        fleet.post_next_trouble();
        if scenario.cold {
            for i in 0..scenario.routers {
                let delay = fleet.rng.random_range(0..COLD_NEWS_TIME.0);
                fleet.post_cold_notice(i, scenario.named_at + Millis(delay));
            }
        }
        fleet
    }

    /// Runs the fleet until `end`.
    pub(super) fn run(&mut self, end: Millis) {
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= end
        {
            let ((at, _), (router, delivery)) = entry.remove_entry();
            self.now = at;
            self.deliver(router, delivery);
        }
        self.now = end;
    }

    // Inputs

    fn configure(&mut self, router: usize) {
        let mut config = config(self.scenario.servers, CONCURRENCY);
        if self.scenario.cold {
            config.pools[0].cold_rate = Some(self.scenario.rate);
            config.pools[0].cold_start_ms = COLD_START.0;
            config.routing.cold_overshoot_permille = COLD_OVERSHOOT_PERMILLE;
            config.routing.cold_slack_permille = COLD_SLACK_PERMILLE;
        }
        let config = config.into();
        let withdrawn = BTreeSet::default();
        self.handle(router, Event::Configure { config, withdrawn });
    }

    /// Lets a router learn after `delay` which servers are cold. They stay so until the end of the run.
    fn post_cold_notice(&mut self, router: usize, delay: Millis) {
        if !self.scenario.cold || self.now + delay < self.scenario.named_at {
            return;
        }
        for server in 0..self.scenario.limited_servers {
            let notice = BackendNotice::Cold {
                remaining: Millis(600_000),
                cause: ColdCause::Registered,
            };
            let backend = format!("b{server}");
            let event = Event::Notice { backend, notice };
            self.post(router, delay, Delivery::Event(event));
        }
    }

    fn post(&mut self, router: usize, delay: Millis, delivery: Delivery) {
        self.serial += 1;
        let key = (self.now + delay, self.serial);
        self.due.insert(key, (router, delivery));
    }

    fn post_next_trouble(&mut self) {
        if let Some((low, high)) = self.scenario.trouble.interval() {
            let pause = self.rng.random_range(low.0..high.0);
            self.post(0, Millis(pause), Delivery::Trouble);
        }
    }

    fn deliver(&mut self, router: usize, delivery: Delivery) {
        match delivery {
            Delivery::Request => {
                if self.now < self.scenario.requests_until {
                    self.post_next_request();
                }
                self.send_request(router, false);
                return;
            }
            Delivery::Return => return self.send_request(router, true),
            Delivery::Trouble => {
                self.post_next_trouble();
                return self.begin_trouble();
            }
            _ => {}
        }
        let frozen_until = self.routers[router].frozen_until;
        if frozen_until > self.now {
            let delay = frozen_until.since(self.now);
            return self.post(router, delay, delivery);
        }
        match delivery {
            Delivery::Event(Event::Tick) => {
                self.handle(router, Event::Tick);
                self.post(router, TICK_INTERVAL, Delivery::Event(Event::Tick));
            }
            Delivery::Event(event) => self.handle(router, event),
            Delivery::Message { from, event } => {
                if self.routers[from].side == self.routers[router].side {
                    self.handle(router, event);
                }
            }
            Delivery::View => self.update_view(router),
            Delivery::Answer { attempt, server } => self.answer(router, attempt, server),
            Delivery::Request | Delivery::Return | Delivery::Trouble => {}
        }
    }

    fn answer(&mut self, router: usize, attempt: AttemptId, server: usize) {
        if attempt.0 != self.routers[router].incarnation {
            return;
        }
        let scenario = self.scenario;
        let names_limit = server < scenario.limited_servers
            && !scenario.cold
            && (scenario.named_at..scenario.ends_at).contains(&self.now);
        let notice = match names_limit {
            true => BackendNotice::RateLimit {
                rate: scenario.rate,
                attempt,
            },
            false => BackendNotice::NoRateLimit { attempt },
        };
        if names_limit {
            let now = self.now;
            self.routers[router].named_at.entry(server).or_insert(now);
            self.named_at.entry(server).or_insert(now);
        }
        let backend = format!("b{server}");
        self.handle(router, Event::Notice { backend, notice });
        let report = AttemptReport::Done { tokens: 1 };
        self.handle(router, Event::Report { attempt, report });
    }

    fn begin_trouble(&mut self) {
        let trouble = self.scenario.trouble;
        trouble.begin(self);
    }

    // Actions

    fn handle(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.routers[router]
            .dispatcher
            .handle(self.now, event, &mut out);
        for action in out {
            self.perform(router, action);
        }
    }

    fn perform(&mut self, router: usize, action: Action) {
        match action {
            Action::Assigned {
                call,
                attempt,
                backend,
                ..
            } => self.start(router, call, attempt, &backend),
            Action::Refused {
                call,
                reason,
                retry_after,
            } => self.refuse(router, call, reason, retry_after.unwrap()),
            Action::SendPermitMessage { to, message } => {
                let from = self.routers[router].incarnation;
                let event = Event::PermitMessage { from, message };
                self.counts.permit_messages += 1;
                if let Some(to) = self.routers.iter().position(|r| r.incarnation == to) {
                    self.counts.permit_messages += 1;
                    self.send_message(router, to, event);
                }
            }
            Action::Hint(hint) => {
                self.hints.insert(hint.backend.clone(), hint.clone());
                for to in (0..self.routers.len()).filter(|&to| to != router) {
                    self.send_message(router, to, Event::Hint(hint.clone()));
                }
            }
            _ => {}
        }
    }

    fn send_message(&mut self, from: usize, to: usize, event: Event) {
        let delay = self.rng.random_range(MESSAGE_TIME.0..MESSAGE_TIME.1);
        self.post(to, Millis(delay), Delivery::Message { from, event });
    }

    /// Returns who has known the limit of a server for [`LEARNING_TIME`].
    fn known_by(&self, router: usize, server: usize) -> KnownBy {
        let is_known = |named_at: &BTreeMap<usize, Millis>| {
            let at = named_at.get(&server);
            at.is_some_and(|&at| self.now >= at + LEARNING_TIME)
        };
        match is_known(&self.routers[router].named_at) {
            true => KnownBy::Router,
            false if is_known(&self.named_at) => KnownBy::Fleet,
            false => KnownBy::Nobody,
        }
    }

    fn start(&mut self, router: usize, call: u64, attempt: AttemptId, backend: &str) {
        let server: usize = backend[1..].parse().unwrap();
        let known_by = self.known_by(router, server);
        self.counts.record_arrival(self.now, server, known_by);
        self.callers.record_start(call);
        self.post(router, ANSWER_TIME, Delivery::Answer { attempt, server });
    }
}

impl Router {
    fn new(scenario: Scenario, incarnation: u64) -> Router {
        let incarnation = Incarnation(incarnation);
        let mut dispatcher = Dispatcher::new(incarnation, "d0", scenario.seed ^ incarnation.0);
        dispatcher.fault = scenario.fault;
        Router {
            dispatcher,
            incarnation,
            frozen_until: Millis(0),
            up: true,
            side: 0,
            named_at: BTreeMap::new(),
        }
    }
}
