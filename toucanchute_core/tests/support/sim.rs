//! A simulation of several [`Money`] state machines, their network and their store, in simulated
//! time.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_core::{
    ledger::{StoreKey, StoreOp, StoreRequest, StoreResult},
    money::{Action, Event, Money, Peer, PeerState, Settings},
};
use toucanchute_proto::{Bytes, Incarnation, Millis, money::MoneyMessage};

use crate::memory_store::MemoryStore;

/// Time after which a call to the store that has no answer fails with an unknown result.
const STORE_TIMEOUT: Millis = Millis(200);

/// Interval at which hosts probe their peers.
const PROBE_INTERVAL: Millis = Millis(100);

/// Probabilities of faults, in thousandths, and the delay of calls to the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lose_message: u32,
    pub(crate) duplicate_message: u32,
    pub(crate) reorder_message: u32,
    pub(crate) lose_store_answer: u32,
    pub(crate) delay_write: u32,
    pub(crate) store_delay: Millis,
}

pub(crate) struct Host {
    pub(crate) incarnation: Incarnation,
    pub(crate) money: Option<Money>,
    pub(crate) frozen_until: Millis,
    pub(crate) store_up: bool,
    /// Side of the partition that the host is on.
    pub(crate) side: u8,
    /// For each host the incarnation of the last run that answered a probe, and when it did.
    seen: Vec<(Incarnation, Millis)>,
    reported_peers: Vec<Peer>,
    wake: Option<Millis>,
}

enum Delivery {
    Event {
        host: usize,
        incarnation: Incarnation,
        event: Event,
    },
    Message {
        from: usize,
        sender: Incarnation,
        to: Incarnation,
        message: MoneyMessage,
    },
    Store {
        host: usize,
        incarnation: Incarnation,
        sent: Millis,
        op: StoreOp,
    },
    Tick {
        host: usize,
    },
    Wake {
        host: usize,
        incarnation: Incarnation,
    },
    Probe,
}

pub(crate) struct Sim {
    pub(crate) now: Millis,
    pub(crate) rng: SmallRng,
    pub(crate) hosts: Vec<Host>,
    pub(crate) faults: Faults,
    /// Answers of state machines that the test has not read yet: host, incarnation and action.
    pub(crate) answers: Vec<(usize, Incarnation, Action)>,
    /// Values written to the store, in order.
    pub(crate) written: Vec<(StoreKey, Bytes)>,
    /// Number of reads and writes sent to the store so far.
    pub(crate) store_calls: (u64, u64),
    pub(crate) gone_after: Millis,
    tick: Millis,
    make_settings: Box<dyn Fn(usize, Incarnation) -> Settings>,
    store: MemoryStore,
    queue: BTreeMap<(Millis, u64), Delivery>,
    sequence: u64,
    /// The host of each run, by incarnation.
    runs: BTreeMap<Incarnation, usize>,
}

pub(crate) fn domain(host: usize) -> String {
    format!("domain-{}", host % 4)
}

impl Sim {
    pub(crate) fn new(
        seed: u64,
        hosts: usize,
        tick: Millis,
        make_settings: impl Fn(usize, Incarnation) -> Settings + 'static,
    ) -> Sim {
        let mut sim = Sim {
            now: Millis(1_000_000),
            rng: SmallRng::seed_from_u64(seed),
            hosts: Vec::new(),
            faults: Faults::default(),
            answers: Vec::new(),
            written: Vec::new(),
            store_calls: (0, 0),
            gone_after: Millis(300),
            tick,
            make_settings: Box::new(make_settings),
            store: MemoryStore::default(),
            queue: BTreeMap::new(),
            sequence: 0,
            runs: BTreeMap::new(),
        };
        for host in 0..hosts {
            sim.hosts.push(Host {
                incarnation: Incarnation(0),
                money: None,
                frozen_until: Millis(0),
                store_up: true,
                side: 0,
                seen: vec![(Incarnation(0), Millis(0)); hosts],
                reported_peers: Vec::new(),
                wake: None,
            });
            sim.start(host);
            sim.push(sim.now, Delivery::Tick { host });
        }
        sim.push(sim.now, Delivery::Probe);
        sim
    }

    /// Starts a new run of a host's router.
    pub(crate) fn start(&mut self, host: usize) {
        let incarnation = Incarnation(self.runs.len() as u64 + 1);
        self.runs.insert(incarnation, host);
        let money = Money::new((self.make_settings)(host, incarnation));
        let slot = &mut self.hosts[host];
        slot.incarnation = incarnation;
        slot.money = Some(money);
        slot.reported_peers = Vec::new();
        slot.wake = None;
        slot.seen.fill((Incarnation(0), Millis(0)));
    }

    pub(crate) fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1000) < thousandths
    }

    fn push(&mut self, at: Millis, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }

    /// Advances time by `span` and makes the deliveries that become due.
    pub(crate) fn run(&mut self, span: Millis) {
        let until = self.now + span;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), delivery) = entry.remove_entry();
            self.now = self.now.max(at);
            self.deliver(delivery);
        }
        self.now = until;
    }

    /// Sends an event to a host's router, now or when the host is no longer frozen.
    pub(crate) fn send_event(&mut self, host: usize, event: Event) {
        let slot = &mut self.hosts[host];
        let incarnation = slot.incarnation;
        let Some(money) = &mut slot.money else {
            return;
        };
        if slot.frozen_until > self.now {
            let at = slot.frozen_until;
            return self.push(
                at,
                Delivery::Event {
                    host,
                    incarnation,
                    event,
                },
            );
        }
        let mut out = Vec::new();
        money.handle(self.now, event, &mut out);
        let wake = money.next_wake().filter(|at| *at > self.now);
        if let Some(at) = wake
            && slot.wake.is_none_or(|w| w <= self.now)
        {
            slot.wake = Some(at);
            self.push(at, Delivery::Wake { host, incarnation });
        }
        for action in out {
            self.perform(host, incarnation, action);
        }
    }

    fn perform(&mut self, host: usize, incarnation: Incarnation, action: Action) {
        match action {
            Action::Send { to, message } => {
                let copies = 1 + u32::from(self.chance(self.faults.duplicate_message));
                for _ in 0..copies {
                    let delay = self.delay();
                    let (sender, message) = (incarnation, message.clone());
                    let delivery = Delivery::Message {
                        from: host,
                        sender,
                        to,
                        message,
                    };
                    self.push(self.now + delay, delivery);
                }
            }
            Action::Store(op) => {
                let mut delay = Millis(self.rng.random_range(1..4)) + self.faults.store_delay;
                if self.chance(self.faults.delay_write) {
                    delay = delay + Millis(self.rng.random_range(100..1500));
                }
                let sent = self.now;
                self.push(
                    sent + delay,
                    Delivery::Store {
                        host,
                        incarnation,
                        sent,
                        op,
                    },
                );
            }
            action => self.answers.push((host, incarnation, action)),
        }
    }

    fn delay(&mut self) -> Millis {
        let slow = self.chance(self.faults.reorder_message);
        let most = if slow { 400 } else { 3 };
        Millis(self.rng.random_range(1..=most))
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event {
                host,
                incarnation,
                event,
            } => {
                if self.hosts[host].incarnation == incarnation {
                    self.send_event(host, event);
                }
            }
            Delivery::Message {
                from,
                sender,
                to,
                message,
            } => {
                // Links are between hosts, so a message reaches the present run of the host.
                let host = self.runs[&to];
                if self.linked(from, host) && !self.chance(self.faults.lose_message) {
                    self.send_event(
                        host,
                        Event::Message {
                            from: sender,
                            message,
                        },
                    );
                }
            }
            Delivery::Store {
                host,
                incarnation,
                sent,
                op,
            } => {
                self.apply_store_op(host, incarnation, sent, &op);
            }
            Delivery::Tick { host } => {
                if self.hosts[host].frozen_until <= self.now {
                    self.send_event(host, Event::Tick);
                }
                self.push(self.now + self.tick, Delivery::Tick { host });
            }
            Delivery::Wake { host, incarnation } => {
                let slot = &self.hosts[host];
                if slot.incarnation == incarnation && slot.frozen_until <= self.now {
                    self.send_event(host, Event::Tick);
                }
            }
            Delivery::Probe => self.probe(),
        }
    }

    pub(crate) fn linked(&self, a: usize, b: usize) -> bool {
        self.hosts[a].side == self.hosts[b].side
    }

    fn apply_store_op(
        &mut self,
        host: usize,
        incarnation: Incarnation,
        sent: Millis,
        op: &StoreOp,
    ) {
        let result = if self.hosts[host].store_up {
            self.apply(&op.request)
        } else {
            StoreResult::Unavailable
        };
        let answer_delay = Millis(self.rng.random_range(1..4));
        let late = (self.now + answer_delay).since(sent) > STORE_TIMEOUT;
        let lost = late || self.chance(self.faults.lose_store_answer);
        let (at, result) = match lost {
            true => (self.now.max(sent + STORE_TIMEOUT), StoreResult::Unknown),
            false => (self.now + answer_delay, result),
        };
        let event = Event::Store { op: op.op, result };
        self.push(
            at,
            Delivery::Event {
                host,
                incarnation,
                event,
            },
        );
    }

    fn apply(&mut self, request: &StoreRequest) -> StoreResult {
        let result = self.store.apply(request);
        match request {
            StoreRequest::Get { .. } => self.store_calls.0 += 1,
            StoreRequest::Cas { key, value, .. } => {
                self.store_calls.1 += 1;
                if matches!(result, StoreResult::Applied { .. }) {
                    self.written.push((*key, value.clone()));
                }
            }
        }
        result
    }

    fn probe(&mut self) {
        for a in 0..self.hosts.len() {
            for b in 0..self.hosts.len() {
                let runs = self.hosts[b].money.is_some() && self.hosts[b].frozen_until <= self.now;
                if a != b && runs && self.linked(a, b) {
                    self.hosts[a].seen[b] = (self.hosts[b].incarnation, self.now);
                }
            }
            self.report_peers(a);
        }
        self.push(self.now + PROBE_INTERVAL, Delivery::Probe);
    }

    fn report_peers(&mut self, host: usize) {
        let mut peers = Vec::new();
        for (other, &(incarnation, at)) in self.hosts[host].seen.iter().enumerate() {
            if incarnation == Incarnation(0) {
                continue;
            }
            let unseen = self.now.since(at);
            let state = match unseen {
                Millis(0) => PeerState::Alive,
                span if span < self.gone_after => PeerState::Suspect,
                _ => PeerState::Gone,
            };
            peers.push(Peer {
                incarnation,
                failure_domain: domain(other),
                state,
            });
        }
        if self.hosts[host].reported_peers != peers && self.hosts[host].frozen_until <= self.now {
            self.hosts[host].reported_peers.clone_from(&peers);
            self.send_event(host, Event::Peers(peers));
        }
    }
}
