//! Routers, their links and a store, with faults injected at random.

mod faults;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use toucanchute_core::{
    ledger::{StoreOp, StoreRequest, StoreResult},
    prepaid::{Action, CallId, ClockSpread, Event, Fault, Peer, PrepaidAccounts, Settings},
};
use toucanchute_proto::{
    BudgetId, Incarnation, Millis, config::Ledger, fleet::MemberState, prepaid::PrepaidMessage,
};

use crate::memory_store::MemoryStore;

/// Time between two ticks of a machine.
const TICK: u64 = 50;

/// Time in which a raised total has to be in force, in milliseconds.
const CONFIG_TIME: u64 = 2_000;

/// How disturbed a walk is.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    pub(crate) routers: usize,
    /// Chance of a fault in each tick.
    pub(crate) faults: f64,
    /// Chance that a message between routers is lost.
    pub(crate) losses: f64,
    /// Requests a second of each router.
    pub(crate) rate: f64,
}

/// Something that is on its way.
#[derive(Debug)]
enum Parcel {
    Message {
        from: Incarnation,
        to: Incarnation,
        message: PrepaidMessage,
    },
    Result {
        to: Incarnation,
        op: u64,
        result: StoreResult,
    },
    /// A write that takes effect although its caller got no answer.
    LateWrite(StoreRequest),
    Settle {
        at: Incarnation,
        call: CallId,
        used: u64,
    },
}

#[derive(Debug)]
struct Router {
    machine: PrepaidAccounts,
    id: Incarnation,
    host: usize,
    /// Time up to which it stands still.
    frozen: u64,
    /// Time up to which the store cannot be reached.
    cut: u64,
    draining: bool,
    /// How far its clock is off, in milliseconds.
    offset: i64,
    calls: BTreeMap<CallId, (BudgetId, u64)>,
}

/// What a walk came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) asked: u64,
    pub(crate) reserved: u64,
    /// Refused although the total would have covered it.
    pub(crate) owed: u64,
    pub(crate) takeovers: u64,
    pub(crate) lost: u64,
    pub(crate) store_calls: u64,
}

pub(crate) struct World {
    rng: SmallRng,
    now: u64,
    weather: Weather,
    routers: Vec<Router>,
    fault: Option<Fault>,
    next_id: u64,
    next_call: u64,
    parcels: BTreeMap<(u64, u64), Parcel>,
    next_parcel: u64,
    store: MemoryStore,
    limits: BTreeMap<BudgetId, u64>,
    /// Totals before they were raised last, and when that was.
    limits_before: BTreeMap<BudgetId, u64>,
    raised_at: u64,
    /// Hosts without power, and when it comes back.
    down: Vec<(usize, u64)>,
    /// Pairs of routers that cannot reach each other, until a time.
    split: BTreeMap<(Incarnation, Incarnation), u64>,
    /// Tokens used or still set aside, by what callers could have got.
    pub(crate) used: BTreeMap<BudgetId, u64>,
    pub(crate) tally: Tally,
}

impl World {
    pub(crate) fn new(seed: u64, weather: Weather, fault: Option<Fault>) -> World {
        let mut world = World {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            weather,
            routers: Vec::new(),
            fault,
            next_id: 0,
            next_call: 0,
            parcels: BTreeMap::new(),
            next_parcel: 0,
            store: MemoryStore::default(),
            limits: (0..4)
                .map(|i| (BudgetId::from_name(&format!("b{i}")), 20_000 * (i + 1)))
                .collect(),
            limits_before: BTreeMap::new(),
            raised_at: 0,
            down: Vec::new(),
            split: BTreeMap::new(),
            used: BTreeMap::new(),
            tally: Tally::default(),
        };
        for host in 0..weather.routers {
            world.start(host);
        }
        world.tell_peers();
        world
    }

    /// Lets `ticks` ticks pass; returns the first budget that was overspent.
    pub(crate) fn run(&mut self, ticks: u64) -> Result<(), String> {
        for _ in 0..ticks {
            self.step();
            for (budget, used) in &self.used {
                let limit = self.limits[budget];
                if *used > limit {
                    return Err(format!("{budget} at {}: {used} of {limit}", self.now));
                }
            }
        }
        Ok(())
    }

    /// Lets `ticks` ticks pass without requests and faults.
    pub(crate) fn run_idle(&mut self, ticks: u64) {
        let weather = self.weather;
        self.weather.rate = 0.0;
        self.weather.faults = 0.0;
        for _ in 0..ticks {
            self.step();
        }
        self.weather = weather;
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        self.power_up();
        if self.rng.random_bool(self.weather.faults) && !self.routers.is_empty() {
            self.disturb();
        }
        if self.now.is_multiple_of(400) {
            self.tell_peers();
            self.tell_configuration();
        }
        for i in 0..self.routers.len() {
            if self.routers[i].frozen > self.now {
                continue;
            }
            let clocks = self.clocks(i);
            self.feed(i, Event::Clocks(clocks));
            if self.routers.iter().any(|r| r.cut <= self.now) {
                let seen = self.clock(i);
                self.feed(i, Event::StoreSeen(seen));
            }
            self.feed(i, Event::Tick);
            let rate = self.weather.rate * TICK as f64 / 1_000.0;
            if self.rng.random_bool(rate.min(1.0)) {
                self.request(i);
            }
        }
        if self.now.is_multiple_of(10_000) {
            self.top_up();
        }
    }

    // Routers

    fn start(&mut self, host: usize) {
        self.next_id += 1;
        let id = Incarnation(self.next_id.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let offset = match self.rng.random_range(0..10) {
            0 => -2_400,
            1 => 2_400,
            _ => self.rng.random_range(-100..=100),
        };
        let mut settings = Settings::new(id, &host_name(host), &format!("domain-{}", host % 3));
        settings.fault = self.fault;
        self.routers.push(Router {
            machine: PrepaidAccounts::new(settings),
            id,
            host,
            frozen: 0,
            cut: 0,
            draining: false,
            offset,
            calls: BTreeMap::new(),
        });
        let event = self.configuration();
        self.feed(self.routers.len() - 1, event);
    }

    fn configuration(&self) -> Event {
        let policy = Ledger {
            witnesses: 4,
            acks: 2,
            grant_horizon_ms: 8_000,
            ..Ledger::default()
        };
        let limits = self.limits.clone();
        Event::Configure { limits, policy }
    }

    /// Tells each router its view of the others, which may be wrong for those that are cut off.
    fn tell_peers(&mut self) {
        for i in 0..self.routers.len() {
            let me = self.routers[i].id;
            let mut peers = Vec::new();
            for other in self.routers.iter().filter(|r| r.id != me) {
                let cut = self.is_split(me, other.id) || other.frozen > self.now + 400;
                let state = match (cut, other.draining) {
                    (true, _) => MemberState::Suspect,
                    (false, true) => MemberState::Leaving,
                    (false, false) => MemberState::Alive,
                };
                peers.push(Peer {
                    incarnation: other.id,
                    host: host_name(other.host),
                    failure_domain: String::new(),
                    capacity: 0,
                    state,
                    store_up: other.cut <= self.now,
                });
            }
            if self.routers[i].frozen <= self.now {
                self.feed(i, Event::Peers(peers));
            }
        }
    }

    /// The time by the clock of a router.
    fn clock(&self, i: usize) -> Millis {
        Millis(self.now.saturating_add_signed(self.routers[i].offset))
    }

    /// How far the clocks of the routers are apart that a router reaches.
    fn clocks(&self, i: usize) -> ClockSpread {
        let me = &self.routers[i];
        let others = self
            .routers
            .iter()
            .filter(|r| r.id != me.id && !self.is_split(me.id, r.id));
        let offsets: Vec<i64> = others.map(|r| r.offset - me.offset).collect();
        let most = offsets.iter().copied().max().unwrap_or(0).max(0);
        let least = offsets.iter().copied().min().unwrap_or(0).min(0);
        ClockSpread {
            behind: Millis(least.unsigned_abs()),
            ahead: Millis(most.unsigned_abs()),
            few_clocks: offsets.len() < 3,
        }
    }

    fn is_split(&self, a: Incarnation, b: Incarnation) -> bool {
        let pair = (a.min(b), a.max(b));
        self.split.get(&pair).is_some_and(|&until| until > self.now)
    }

    fn index(&self, id: Incarnation) -> Option<usize> {
        self.routers.iter().position(|r| r.id == id)
    }

    // Load

    fn request(&mut self, i: usize) {
        let Some((&budget, _)) = self.limits.iter().choose(&mut self.rng) else {
            return;
        };
        self.next_call += 1;
        let call = CallId(self.next_call);
        let tokens = self.rng.random_range(1..400);
        self.routers[i].calls.insert(call, (budget, tokens));
        self.tally.asked += 1;
        let deadline = self.clock(i) + Millis(2_000);
        self.feed(
            i,
            Event::Reserve {
                call,
                budget,
                tokens,
                deadline,
            },
        );
    }

    fn top_up(&mut self) {
        self.raised_at = self.now;
        self.limits_before.clone_from(&self.limits);
        for limit in self.limits.values_mut() {
            *limit += 4_000;
        }
    }

    /// Tells most routers the configuration anew.
    fn tell_configuration(&mut self) {
        for i in 0..self.routers.len() {
            let event = self.configuration();
            if self.rng.random_bool(0.8) && self.routers[i].frozen <= self.now {
                self.feed(i, event);
            }
        }
    }

    // Carrying out

    fn feed(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.clock(i);
        self.routers[i].machine.handle(now, event, &mut out);
        let id = self.routers[i].id;
        let mut exits = false;
        for action in out {
            match action {
                Action::Reserved { call, .. } => self.reserved(i, call),
                Action::Refused { call, .. } => self.refused(i, call),
                Action::Send { to, message } => {
                    let from = id;
                    self.post(1, 6, Parcel::Message { from, to, message });
                }
                Action::Store(op) => self.call_store(i, op),
                Action::Log(toucanchute_core::prepaid::AccountEvent::Opened { lost, .. }) => {
                    self.tally.takeovers += 1;
                    self.tally.lost += lost;
                }
                Action::Log(_) => {}
                Action::Drained => exits = true,
            }
        }
        if exits && self.rng.random_bool(0.5) {
            self.kill(i);
        }
    }

    fn reserved(&mut self, i: usize, call: CallId) {
        let router = &mut self.routers[i];
        let (budget, tokens) = router.calls[&call];
        let at = router.id;
        *self.used.entry(budget).or_default() += tokens;
        self.tally.reserved += 1;
        let used = self.rng.random_range(0..=tokens);
        self.post(100, 3_000, Parcel::Settle { at, call, used });
    }

    fn refused(&mut self, i: usize, call: CallId) {
        if let Some((budget, tokens)) = self.routers[i].calls.remove(&call) {
            let used = self.used.get(&budget).copied().unwrap_or(0);
            let limits = match self.now < self.raised_at + CONFIG_TIME {
                true => &self.limits_before,
                false => &self.limits,
            };
            let covered = used + tokens <= limits[&budget] * 97 / 100;
            self.tally.owed += u64::from(covered);
        }
    }

    fn post(&mut self, least: u64, most: u64, parcel: Parcel) {
        let at = self.now + self.rng.random_range(least..=most);
        self.next_parcel += 1;
        self.parcels.insert((at, self.next_parcel), parcel);
    }

    fn deliver(&mut self) {
        while let Some((&key, _)) = self.parcels.iter().next() {
            if key.0 > self.now {
                return;
            }
            let Some(parcel) = self.parcels.remove(&key) else {
                return;
            };
            self.hand(parcel);
        }
    }

    fn hand(&mut self, parcel: Parcel) {
        let (to, event) = match parcel {
            Parcel::Message { from, to, message } => {
                if self.is_split(from, to) || self.rng.random_bool(self.weather.losses) {
                    return;
                }
                (to, Event::Message { from, message })
            }
            Parcel::Result { to, op, result } => (to, Event::Store { op, result }),
            Parcel::LateWrite(request) => {
                self.store.apply(&request);
                return;
            }
            Parcel::Settle { at, call, used } => return self.settle(at, call, used),
        };
        let Some(i) = self.index(to) else {
            return;
        };
        let frozen = self.routers[i].frozen;
        if frozen > self.now {
            let parcel = match event {
                Event::Message { from, message } => Parcel::Message { from, to, message },
                Event::Store { op, result } => Parcel::Result { to, op, result },
                _ => return,
            };
            return self.post(frozen - self.now, frozen - self.now, parcel);
        }
        self.feed(i, event);
    }

    fn settle(&mut self, at: Incarnation, call: CallId, used: u64) {
        let Some(i) = self.index(at) else {
            return;
        };
        if self.routers[i].frozen > self.now {
            return self.post(1_000, 1_000, Parcel::Settle { at, call, used });
        }
        let Some((budget, tokens)) = self.routers[i].calls.remove(&call) else {
            return;
        };
        *self.used.entry(budget).or_default() -= tokens - used;
        self.feed(i, Event::Settle { call, used });
    }

    // The store

    fn call_store(&mut self, i: usize, op: StoreOp) {
        self.tally.store_calls += 1;
        let to = self.routers[i].id;
        let StoreOp { op, request } = op;
        if self.routers[i].cut > self.now {
            let silent = self.rng.random_bool(0.5);
            let result = match silent {
                true => StoreResult::Unknown,
                false => StoreResult::Unavailable,
            };
            let wait = if silent { 1_000 } else { 5 };
            return self.post(wait, wait, Parcel::Result { to, op, result });
        }
        match self.rng.random_range(0..40) {
            0 => {
                self.store.apply(&request);
                let result = StoreResult::Unknown;
                self.post(500, 1_000, Parcel::Result { to, op, result });
            }
            1 => {
                let late = self.rng.random_range(1_000..6_000);
                self.post(late, late, Parcel::LateWrite(request));
                let result = StoreResult::Unknown;
                self.post(500, 1_000, Parcel::Result { to, op, result });
            }
            _ => {
                let result = self.store.apply(&request);
                self.post(2, 10, Parcel::Result { to, op, result });
            }
        }
    }
}

fn host_name(host: usize) -> String {
    format!("host-{host}")
}
