//! Routers, their links and a store, with faults injected at random.

mod faults;
mod load;
mod recovery;
mod silent_ends;
mod store;

use std::collections::{BTreeMap, VecDeque};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_core::{
    ledger::{StoreRequest, StoreResult},
    prepaid::{
        Action, CallId, ClockSpread, Event, Fault, Peer, PrepaidAccounts, RefusalReason, Settings,
        TokenDemand,
    },
};
use toucanchute_proto::{
    BudgetId, Incarnation, Millis, config::Ledger, fleet::MemberState, prepaid::PrepaidMessage,
};

use self::silent_ends::UnnoticedEnd;
use crate::memory_store::MemoryStore;

/// Time between two ticks of a machine, in milliseconds.
const TICK: u64 = 50;

/// Time within which a raised total has to be in force at the routers, in milliseconds.
const CONFIG_TIME: u64 = 2_000;

/// Load of a walk, and how often faults occur in it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions {
    pub(crate) routers: usize,
    /// Probability of a fault in each tick.
    pub(crate) fault_chance: f64,
    /// Probability that a message between routers is lost.
    pub(crate) message_loss: f64,
    /// Requests per second at each router.
    pub(crate) requests_per_second: f64,
    /// Probability in each tick that the store comes back from an older copy.
    pub(crate) restore_chance: f64,
    /// Probability that a request reserves only a part of what it may still use.
    pub(crate) part_chance: f64,
    /// Whether answers of the store are lost at times, and writes take effect late.
    pub(crate) lost_answers: bool,
    /// Probability in each tick that a router ends without the others noticing at once, or loses the store
    /// alone, so that it hands its accounts over.
    pub(crate) silent_end_chance: f64,
    /// Number of budgets that no request is for. With many, no account is claimed ahead of requests.
    pub(crate) unused_budgets: usize,
}

/// Something that happens at a later time.
#[derive(Debug)]
enum Delivery {
    Message {
        from: Incarnation,
        to: Incarnation,
        message: Box<PrepaidMessage>,
    },
    Result {
        to: Incarnation,
        op: u64,
        /// Era of the store that sent it.
        era: u64,
        result: StoreResult,
    },
    /// A write that takes effect after its caller got `Unknown` as the result.
    LateWrite(StoreRequest),
    Settle {
        at: Incarnation,
        call: CallId,
        used: u64,
    },
    /// A request needs more tokens than it holds.
    Extend {
        at: Incarnation,
        demand: TokenDemand,
    },
}

#[derive(Debug)]
struct Router {
    machine: PrepaidAccounts,
    id: Incarnation,
    host: usize,
    /// Time until which it does not run.
    frozen_until: u64,
    /// Time until which it cannot reach the store.
    store_cut_until: u64,
    draining: bool,
    /// Newest era of the store in any result that it got.
    store_era: u64,
    /// Offset of its clock, in milliseconds.
    offset: i64,
    calls: BTreeMap<CallId, TokenDemand>,
}

/// Counts over a walk.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WalkCounts {
    pub(crate) requested: u64,
    pub(crate) reserved: u64,
    /// Requests that were refused although the total would have covered them.
    pub(crate) wrongly_refused: u64,
    /// Requests that were refused because no router could spend from their budget.
    pub(crate) unavailable: u64,
    pub(crate) takeovers: u64,
    pub(crate) lost: u64,
    pub(crate) store_calls: u64,
}

pub(crate) struct Simulation {
    rng: SmallRng,
    now: u64,
    conditions: Conditions,
    routers: Vec<Router>,
    fault: Option<Fault>,
    next_id: u64,
    next_call: u64,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    next_delivery: u64,
    store: MemoryStore,
    /// Copies of the store, oldest first, and when they were made.
    copies: VecDeque<(u64, MemoryStore)>,
    /// Draws restores, so that they do not change the other faults of a seed.
    restore_rng: SmallRng,
    limits: BTreeMap<BudgetId, u64>,
    /// Totals before they were last raised, and when that was.
    limits_before: BTreeMap<BudgetId, u64>,
    raised_at: u64,
    /// Hosts without power, and when it is restored.
    hosts_down: Vec<(usize, u64)>,
    /// Routers that have ended and that the others still take for alive.
    unnoticed_ends: Vec<UnnoticedEnd>,
    /// Draws silent ends, so that they do not change the other faults of a seed.
    silent_end_rng: SmallRng,
    /// Budgets that no request is for.
    unused_budgets: BTreeMap<BudgetId, u64>,
    /// Pairs of routers that cannot reach each other, and until when.
    split: BTreeMap<(Incarnation, Incarnation), u64>,
    /// Tokens used or still reserved, as the callers see it.
    pub(crate) used: BTreeMap<BudgetId, u64>,
    /// Reservations whose requests may ask for more, and for how much.
    rests: BTreeMap<CallId, (BudgetId, u64)>,
    pub(crate) counts: WalkCounts,
}

impl Simulation {
    pub(crate) fn new(seed: u64, conditions: Conditions, fault: Option<Fault>) -> Simulation {
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            conditions,
            routers: Vec::new(),
            fault,
            next_id: 0,
            next_call: 0,
            deliveries: BTreeMap::new(),
            next_delivery: 0,
            store: MemoryStore::default(),
            copies: VecDeque::new(),
            restore_rng: SmallRng::seed_from_u64(seed.rotate_left(32)),
            limits: (0..4)
                .map(|i| (BudgetId::from_name(&format!("b{i}")), 20_000 * (i + 1)))
                .collect(),
            limits_before: BTreeMap::new(),
            raised_at: 0,
            hosts_down: Vec::new(),
            unnoticed_ends: Vec::new(),
            silent_end_rng: SmallRng::seed_from_u64(seed.rotate_left(16)),
            unused_budgets: (0..conditions.unused_budgets)
                .map(|i| (BudgetId::from_name(&format!("unused-{i}")), 1_000))
                .collect(),
            split: BTreeMap::new(),
            used: BTreeMap::new(),
            rests: BTreeMap::new(),
            counts: WalkCounts::default(),
        };
        for host in 0..conditions.routers {
            simulation.start(host);
        }
        simulation.update_peers();
        simulation
    }

    /// Runs for `ticks` ticks. Returns an error for the first budget that is overspent.
    pub(crate) fn run(&mut self, ticks: u64) -> Result<(), String> {
        for _ in 0..ticks {
            self.step();
            for (budget, used) in &self.used {
                let limit = self.limits[budget];
                if *used > limit {
                    return Err(format!(
                        "budget {budget} overspent at {} ms: {used} of {limit} tokens",
                        self.now
                    ));
                }
            }
        }
        Ok(())
    }

    /// Runs for `ticks` ticks without requests and faults.
    pub(crate) fn run_idle(&mut self, ticks: u64) {
        let conditions = self.conditions;
        self.conditions.requests_per_second = 0.0;
        self.conditions.fault_chance = 0.0;
        for _ in 0..ticks {
            self.step();
        }
        self.conditions = conditions;
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver_due();
        self.restart_hosts();
        self.restore_store();
        if self.rng.random_bool(self.conditions.fault_chance) && !self.routers.is_empty() {
            self.inject_fault();
        }
        self.end_silently();
        if self.now.is_multiple_of(400) {
            self.update_peers();
            self.send_configuration();
        }
        for i in 0..self.routers.len() {
            if self.routers[i].frozen_until > self.now {
                continue;
            }
            let clocks = self.clocks(i);
            self.feed(i, Event::Clocks(clocks));
            if self.routers.iter().any(|r| r.store_cut_until <= self.now) {
                let seen = self.clock(i);
                self.feed(i, Event::StoreSeen(seen));
            }
            self.feed(i, Event::Tick);
            let rate = self.conditions.requests_per_second * TICK as f64 / 1_000.0;
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
            frozen_until: 0,
            store_cut_until: 0,
            store_era: 0,
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
        let mut limits = self.unused_budgets.clone();
        limits.extend(&self.limits);
        Event::Configure { limits, policy }
    }

    /// Sends each router its view of the others. Routers that are cut off or frozen appear as
    /// suspect.
    fn update_peers(&mut self) {
        for i in 0..self.routers.len() {
            let me = self.routers[i].id;
            let mut peers = Vec::new();
            for other in self.routers.iter().filter(|r| r.id != me) {
                let cut_off = self.is_split(me, other.id) || other.frozen_until > self.now + 400;
                let state = match (cut_off, other.draining) {
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
                    store_up: other.store_cut_until <= self.now,
                });
            }
            peers.extend(self.unnoticed_ends.iter().map(UnnoticedEnd::peer));
            if self.routers[i].frozen_until <= self.now {
                self.feed(i, Event::Peers(peers));
            }
        }
    }

    /// Returns the time on the clock of a router.
    fn clock(&self, i: usize) -> Millis {
        Millis(self.now.saturating_add_signed(self.routers[i].offset))
    }

    /// Returns how far the clocks of the other routers that a router reaches differ from its own.
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

    fn top_up(&mut self) {
        self.raised_at = self.now;
        self.limits_before.clone_from(&self.limits);
        for limit in self.limits.values_mut() {
            *limit += 4_000;
        }
    }

    /// Sends the configuration to most routers again.
    fn send_configuration(&mut self) {
        for i in 0..self.routers.len() {
            let event = self.configuration();
            if self.rng.random_bool(0.8) && self.routers[i].frozen_until <= self.now {
                self.feed(i, event);
            }
        }
    }

    // Actions

    fn feed(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.clock(i);
        self.routers[i].machine.handle(now, event, &mut out);
        let id = self.routers[i].id;
        let mut drained = false;
        for action in out {
            match action {
                Action::Reserved { call, .. } => self.reserved(i, call),
                Action::Refused { call, refusal } => {
                    self.counts.unavailable +=
                        u64::from(refusal.reason == RefusalReason::Unavailable);
                    self.refused(i, call);
                }
                Action::Send { to, message } => {
                    let from = id;
                    self.schedule(1, 6, Delivery::Message { from, to, message });
                }
                Action::Store(op) => self.call_store(i, op),
                Action::Log(toucanchute_core::prepaid::AccountEvent::Opened { lost, .. }) => {
                    self.counts.takeovers += 1;
                    self.counts.lost += lost;
                }
                Action::Log(_) => {}
                Action::Drained => drained = true,
            }
        }
        if drained && self.rng.random_bool(0.5) {
            self.kill(i);
        }
    }

    fn schedule(&mut self, least: u64, most: u64, delivery: Delivery) {
        let at = self.now + self.rng.random_range(least..=most);
        self.next_delivery += 1;
        self.deliveries.insert((at, self.next_delivery), delivery);
    }

    fn deliver_due(&mut self) {
        while let Some((&key, _)) = self.deliveries.iter().next() {
            if key.0 > self.now {
                return;
            }
            let Some(delivery) = self.deliveries.remove(&key) else {
                return;
            };
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        let (to, event) = match delivery {
            Delivery::Message { from, to, message } => {
                if self.is_split(from, to) || self.rng.random_bool(self.conditions.message_loss) {
                    return;
                }
                (to, Event::Message { from, message })
            }
            Delivery::Result {
                to,
                op,
                era,
                result,
            } => return self.deliver_result(to, op, era, result),
            Delivery::LateWrite(request) => {
                self.store.apply(&request);
                return;
            }
            Delivery::Settle { at, call, used } => return self.settle(at, call, used),
            Delivery::Extend { at, demand } => return self.extend(at, demand),
        };
        let Some(i) = self.index(to) else {
            return;
        };
        let frozen_until = self.routers[i].frozen_until;
        if frozen_until > self.now {
            let delivery = match event {
                Event::Message { from, message } => Delivery::Message { from, to, message },
                _ => return,
            };
            return self.schedule(frozen_until - self.now, frozen_until - self.now, delivery);
        }
        self.feed(i, event);
    }
}

fn host_name(host: usize) -> String {
    format!("host-{host}")
}
