//! A small fleet of prepaid machines whose messages arrive immediately, and a store that is up or
//! down.

use std::collections::{BTreeMap, VecDeque};

use toucanchute_core::{
    ledger::{StoreOp, StoreResult},
    prepaid::{
        AccountEvent, Action, CallId, ClockSpread, Event, Fault, Peer, PrepaidAccounts,
        RefusalReason, Settings, TokenDemand,
    },
};
use toucanchute_proto::{
    BudgetId, Bytes, Incarnation, Millis,
    config::Ledger,
    fleet::MemberState,
    prepaid::{FenceAccount, PrepaidMessage, Term},
};

use crate::memory_store::MemoryStore;

/// Time between two ticks, in milliseconds.
const TICK: u64 = 50;

/// Time that a request waits for its answer, in milliseconds.
const REQUEST_TIMEOUT: u64 = 1_000;

struct Router {
    id: Incarnation,
    host: u64,
    machine: PrepaidAccounts,
    state: MemberState,
    /// Whether it is cut off from the other routers.
    isolated: bool,
    /// Whether it does not reach the store while others may.
    without_store: bool,
}

/// What becomes of messages that hand an account over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Handovers {
    /// They arrive at once.
    Arrive,
    /// They arrive only when [`Fleet::deliver_handovers`] is called.
    Held,
    /// They arrive at once, and again then.
    Repeated,
}

pub(crate) struct Fleet {
    routers: Vec<Router>,
    witnesses: u8,
    acks: u8,
    fault: Option<Fault>,
    now: u64,
    limit: u64,
    next_id: u64,
    next_call: u64,
    pub(crate) store_up: bool,
    /// Whether the store carries calls out but its answers are lost.
    pub(crate) answers_lost: bool,
    /// Whether asks arrive without the fields that routers of earlier versions do not know.
    pub(crate) asks_of_old_version: bool,
    /// Whether hand-overs arrive without the fields that routers of earlier versions do not know.
    pub(crate) handovers_of_old_version: bool,
    /// What becomes of hand-overs.
    pub(crate) handovers: Handovers,
    /// Routers to which accounts were handed over, in order.
    receivers: Vec<Incarnation>,
    /// Hand-overs that have not arrived, or may arrive again, each with its sender and receiver.
    held_handovers: Vec<(Incarnation, Incarnation, PrepaidMessage)>,
    /// Number of budgets in the configuration that are not used.
    pub(crate) unused_budgets: usize,
    /// Whether acknowledgements of refunds are lost.
    pub(crate) settled_lost: bool,
    /// Whether the routers know few other clocks.
    pub(crate) few_clocks: bool,
    /// Number of times that a router reported an unreadable record.
    pub(crate) unreadable: usize,
    /// Number of times that an account was opened or closed.
    pub(crate) changes: usize,
    /// Tokens that takeovers wrote off.
    pub(crate) lost: u64,
    store: MemoryStore,
    answers: BTreeMap<CallId, Result<(), RefusalReason>>,
    /// Events to deliver, each with its receiver.
    queue: VecDeque<(Incarnation, Event)>,
    /// Two routers that cannot reach each other.
    split: Option<(Incarnation, Incarnation)>,
}

impl Fleet {
    pub(crate) fn new(routers: usize, limit: u64) -> Fleet {
        Fleet::with_quorum(routers, limit, 3, 1)
    }

    /// Starts routers whose accounts have `witnesses` witnesses, of which `acks` have to
    /// acknowledge a mark.
    pub(crate) fn with_quorum(routers: usize, limit: u64, witnesses: u8, acks: u8) -> Fleet {
        Fleet::with_fault(routers, limit, (witnesses, acks), None)
    }

    /// Starts routers with an injected fault.
    pub(crate) fn with_fault(
        routers: usize,
        limit: u64,
        (witnesses, acks): (u8, u8),
        fault: Option<Fault>,
    ) -> Fleet {
        let mut fleet = Fleet {
            routers: Vec::new(),
            witnesses,
            acks,
            fault,
            now: 1_000_000,
            limit,
            next_id: 0,
            next_call: 0,
            store_up: true,
            answers_lost: false,
            asks_of_old_version: false,
            handovers_of_old_version: false,
            handovers: Handovers::Arrive,
            receivers: Vec::new(),
            held_handovers: Vec::new(),
            unused_budgets: 0,
            settled_lost: false,
            few_clocks: false,
            unreadable: 0,
            changes: 0,
            lost: 0,
            store: MemoryStore::default(),
            answers: BTreeMap::new(),
            queue: VecDeque::new(),
            split: None,
        };
        for host in 0..routers {
            fleet.start(host as u64);
        }
        fleet.update_peers();
        fleet
    }

    fn budget() -> BudgetId {
        BudgetId::from_name("north")
    }

    fn start(&mut self, host: u64) {
        self.next_id += 1;
        let id = Incarnation(self.next_id);
        let domain = format!("d{}", self.next_id % 3);
        let mut settings = Settings::new(id, &host_name(host), &domain);
        settings.fault = self.fault;
        self.routers.push(Router {
            id,
            host,
            machine: PrepaidAccounts::new(settings),
            state: MemberState::Alive,
            isolated: false,
            without_store: false,
        });
        let event = self.configuration();
        self.queue.push_back((id, event));
    }

    fn configuration(&self) -> Event {
        let unused = (0..self.unused_budgets).map(|i| BudgetId::from_name(&format!("unused-{i}")));
        let budgets = unused.chain([Fleet::budget()]);
        Event::Configure {
            limits: budgets.map(|b| (b, self.limit)).collect(),
            policy: Ledger {
                witnesses: self.witnesses,
                acks: self.acks,
                ..Ledger::default()
            },
        }
    }

    /// Gives a router a configuration without any budget, as one that has not got the latest.
    pub(crate) fn remove_budgets(&mut self, router: usize) {
        let id = self.routers[router].id;
        let event = Event::Configure {
            limits: BTreeMap::new(),
            policy: Ledger::default(),
        };
        self.queue.push_back((id, event));
        self.run();
    }

    /// Adds budgets to the configuration that are not used.
    pub(crate) fn add_unused_budgets(&mut self, count: usize) {
        self.unused_budgets = count;
        let event = self.configuration();
        let ids = self.routers.iter().map(|r| r.id);
        self.queue.extend(ids.map(|id| (id, event.clone())));
        self.run();
    }

    fn update_peers(&mut self) {
        let all: Vec<_> = self.routers.iter().map(|r| (r.id, r.isolated)).collect();
        for (me, isolated) in all {
            let others = self.routers.iter().filter(|r| r.id != me);
            let peer = |r: &Router| Peer {
                incarnation: r.id,
                host: host_name(r.host),
                failure_domain: String::new(),
                capacity: 0,
                state: match isolated || r.isolated || self.is_split(me, r.id) {
                    true => MemberState::Suspect,
                    false => r.state,
                },
                store_up: self.store_up && !r.without_store,
            };
            let event = Event::Peers(others.map(peer).collect());
            self.queue.push_back((me, event));
        }
        self.run();
    }

    /// Runs until the routers have discovered each other and claimed the account.
    pub(crate) fn warm_up(&mut self) {
        self.advance(2_000);
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(TICK) {
            self.now += TICK;
            for id in self.routers.iter().map(|r| r.id).collect::<Vec<_>>() {
                let spread = ClockSpread {
                    few_clocks: self.few_clocks,
                    ..ClockSpread::default()
                };
                self.queue.push_back((id, Event::Clocks(spread)));
                if self.store_up {
                    self.queue
                        .push_back((id, Event::StoreSeen(Millis(self.now))));
                }
                self.queue.push_back((id, Event::Tick));
            }
            self.run();
        }
    }

    // Requests

    /// Requests tokens and leaves them reserved.
    pub(crate) fn reserve(&mut self, router: usize, tokens: u64) -> CallId {
        self.reserve_part(router, tokens, 0, None)
    }

    /// Requests tokens of a request that may use `rest` more, and that holds those of `extends`.
    pub(crate) fn reserve_part(
        &mut self,
        router: usize,
        tokens: u64,
        rest: u64,
        extends: Option<CallId>,
    ) -> CallId {
        let call = self.send_part(router, tokens, rest, extends);
        let until = self.now + REQUEST_TIMEOUT;
        while !self.answers.contains_key(&call) && self.now < until {
            self.advance(TICK);
        }
        call
    }

    /// Does the same as `reserve_part`, and does not wait for the answer.
    pub(crate) fn send_part(
        &mut self,
        router: usize,
        tokens: u64,
        rest: u64,
        extends: Option<CallId>,
    ) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let demand = TokenDemand {
            budget: Fleet::budget(),
            tokens,
            rest,
            extends,
        };
        let event = Event::Reserve {
            call,
            demand,
            deadline: Millis(self.now + REQUEST_TIMEOUT),
        };
        self.queue.push_back((self.routers[router].id, event));
        self.run();
        call
    }

    /// Settles a request that used `used` tokens.
    pub(crate) fn end(&mut self, router: usize, call: CallId, used: u64) {
        self.end_now(router, call, used);
        self.advance(400);
    }

    /// Does the same as `end`, and lets no time pass.
    pub(crate) fn end_now(&mut self, router: usize, call: CallId, used: u64) {
        let id = self.routers[router].id;
        self.queue.push_back((id, Event::Settle { call, used }));
        self.run();
    }

    /// Requests tokens and uses all of them.
    pub(crate) fn request(&mut self, router: usize, tokens: u64) -> Result<(), RefusalReason> {
        let call = self.reserve(router, tokens);
        let answer = self
            .answers
            .remove(&call)
            .expect("the request got no answer");
        if answer.is_ok() {
            let id = self.routers[router].id;
            self.queue
                .push_back((id, Event::Settle { call, used: tokens }));
            self.run();
        }
        answer
    }

    /// Requests tokens and uses them, `requests` times and at `routers` in turn. No request may be
    /// refused.
    pub(crate) fn draw(
        &mut self,
        routers: impl IntoIterator<Item = usize, IntoIter: Clone>,
        requests: usize,
        tokens: u64,
        pause: u64,
    ) {
        for router in routers.into_iter().cycle().take(requests) {
            assert_eq!(self.request(router, tokens), Ok(()), "at {}", self.now);
            self.advance(pause);
        }
    }

    /// Returns the answer to a request for tokens, if there is one.
    pub(crate) fn answer(&self, call: CallId) -> Option<Result<(), RefusalReason>> {
        self.answers.get(&call).copied()
    }

    // Failures

    /// Kills a router and starts another one on its host, at the end of the list.
    pub(crate) fn kill(&mut self, router: usize) {
        let host = self.routers.remove(router).host;
        self.start(host);
        self.update_peers();
    }

    /// Cuts the power of all hosts. Routers start on them `outage` milliseconds later and know few
    /// clocks.
    pub(crate) fn lose_power(&mut self, outage: u64) {
        let hosts: Vec<u64> = self.routers.drain(..).map(|r| r.host).collect();
        self.now += outage;
        self.few_clocks = true;
        for host in hosts {
            self.start(host);
        }
        self.update_peers();
    }

    /// Kills a router for good.
    pub(crate) fn remove(&mut self, router: usize) {
        self.routers.remove(router);
        self.update_peers();
    }

    /// Cuts a router off from the others, but not from the store.
    pub(crate) fn isolate(&mut self, router: usize) {
        self.routers[router].isolated = true;
        self.update_peers();
    }

    /// Starts a router on a new host, and returns its index.
    pub(crate) fn add(&mut self) -> usize {
        self.start(self.next_id);
        self.update_peers();
        self.routers.len() - 1
    }

    /// Cuts two routers off from each other.
    pub(crate) fn split(&mut self, a: usize, b: usize) {
        self.split = Some((self.routers[a].id, self.routers[b].id));
        self.update_peers();
    }

    fn is_split(&self, a: Incarnation, b: Incarnation) -> bool {
        self.split == Some((a, b)) || self.split == Some((b, a))
    }

    /// Cuts a router off from the store.
    pub(crate) fn lose_store(&mut self, router: usize) {
        self.routers[router].without_store = true;
        self.update_peers();
    }

    /// Delivers the hand-overs that were held.
    pub(crate) fn deliver_handovers(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.held_handovers) {
            let message = Box::new(message);
            self.queue.push_back((to, Event::Message { from, message }));
        }
        self.run();
    }

    /// Sends a router the fence of another one that claims the account.
    pub(crate) fn fence(&mut self, router: usize) {
        let id = self.routers[router].id;
        let (record, _) = self.routers[router]
            .machine
            .account(Fleet::budget())
            .unwrap();
        let term = Term {
            epoch: record.epoch + 1,
            turn: 0,
        };
        let budget = Fleet::budget();
        let message = Box::new(PrepaidMessage::Fence(FenceAccount { budget, term }));
        let from = Incarnation(u64::MAX);
        self.queue.push_back((id, Event::Message { from, message }));
        self.run();
    }

    /// Drains a router, as for a planned stop.
    pub(crate) fn drain(&mut self, router: usize) {
        self.routers[router].state = MemberState::Leaving;
        self.update_peers();
        let id = self.routers[router].id;
        if !self.store_up {
            // Until a call fails, the router does not know that the store is unavailable.
            self.advance(2_000);
        }
        self.queue.push_back((id, Event::Drain));
        self.run();
        self.advance(500);
    }

    /// Overwrites all records with data that cannot be decoded, as another writer would.
    pub(crate) fn corrupt_records(&mut self) {
        self.store.overwrite(&Bytes::from_static(b"no record"));
    }

    /// Returns a copy of the store.
    pub(crate) fn copy_store(&self) -> MemoryStore {
        self.store.clone()
    }

    /// Brings the store back from a copy.
    pub(crate) fn restore_store(&mut self, copy: MemoryStore) {
        self.store.restore(copy);
    }

    /// Requests tokens until none are left, and returns the number that was granted.
    pub(crate) fn exhaust(&mut self, tokens: u64) -> u64 {
        let mut granted = 0;
        let mut refused = 0;
        while refused < 10 {
            match self.request(0, tokens) {
                Ok(()) => granted += tokens,
                Err(_) => refused += 1,
            }
            self.advance(100);
        }
        granted
    }

    // Inspection

    /// Returns the indexes of the routers that own the account.
    pub(crate) fn owners(&self) -> Vec<usize> {
        let owns = |i: &usize| self.routers[*i].machine.account(Fleet::budget()).is_some();
        (0..self.routers.len()).filter(owns).collect()
    }

    /// Returns the index of the router to which the account was last handed over, if it runs.
    pub(crate) fn receiver(&self) -> Option<usize> {
        let receiver = self.receivers.last()?;
        self.routers.iter().position(|r| r.id == *receiver)
    }

    /// Whether a router is leaving.
    pub(crate) fn is_leaving(&self, router: usize) -> bool {
        self.routers[router].state == MemberState::Leaving
    }

    /// Returns the number of routers.
    pub(crate) fn len(&self) -> usize {
        self.routers.len()
    }

    /// Returns the indexes of the witnesses of the account, the highest first.
    pub(crate) fn witnesses(&self) -> Vec<usize> {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        let quorum = &account.unwrap().0.quorum.witnesses;
        let holds = |i: &usize| quorum.contains(&self.routers[*i].id);
        let mut places: Vec<usize> = (0..self.routers.len()).filter(holds).collect();
        // Removing a router shifts the indexes of those after it.
        places.reverse();
        places
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    /// Returns the pace of the account's ramp, in tokens per second.
    pub(crate) fn pace(&self) -> u64 {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        account.unwrap().0.pace
    }

    /// Returns the most that the record allows to be spent until it is written again or old.
    pub(crate) fn ramp_max(&self) -> u64 {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        let (record, _) = account.unwrap();
        record.drawn - record.late.unwrap_or(0)
    }

    /// Returns the tokens that the owner counts as used or set aside.
    pub(crate) fn used(&self) -> u64 {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        account.unwrap().1
    }

    // Actions

    fn run(&mut self) {
        while let Some((to, event)) = self.queue.pop_front() {
            let Some(router) = self.routers.iter_mut().find(|r| r.id == to) else {
                continue;
            };
            let mut out = Vec::new();
            router.machine.handle(Millis(self.now), event, &mut out);
            for action in out {
                self.perform(to, action);
            }
        }
    }

    fn perform(&mut self, from: Incarnation, action: Action) {
        match action {
            Action::Reserved { call, .. } => drop(self.answers.insert(call, Ok(()))),
            Action::Refused { call, refusal } => {
                self.answers.insert(call, Err(refusal.reason));
            }
            Action::Send { to, message } => self.send(from, to, *message),
            Action::Store(op) => self.call_store(from, &op),
            Action::Log(AccountEvent::Opened { lost, .. }) => {
                self.changes += 1;
                self.lost += lost;
            }
            Action::Log(AccountEvent::Closed { .. }) => self.changes += 1,
            Action::Log(AccountEvent::Unreadable { .. }) => self.unreadable += 1,
            Action::Log(
                AccountEvent::Refused { .. }
                | AccountEvent::RefundLost { .. }
                | AccountEvent::RecordOutdated { .. }
                | AccountEvent::HandedOver { .. },
            )
            | Action::Drained => {}
        }
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, mut message: PrepaidMessage) {
        if let PrepaidMessage::Ask(ask) = &mut message
            && self.asks_of_old_version
        {
            (ask.rest, ask.extends) = (None, None);
        }
        if let PrepaidMessage::Handover(handover) = &mut message
            && self.handovers_of_old_version
        {
            handover.late = None;
        }
        if matches!(message, PrepaidMessage::Handover(_)) {
            self.receivers.push(to);
            if self.handovers != Handovers::Arrive {
                self.held_handovers.push((from, to, message.clone()));
            }
            if self.handovers == Handovers::Held {
                return;
            }
        }
        let isolated = |id| self.routers.iter().any(|r| r.id == id && r.isolated);
        if self.settled_lost && matches!(message, PrepaidMessage::Settled(_)) {
            return;
        }
        if from != to && (isolated(from) || isolated(to)) || self.is_split(from, to) {
            return;
        }
        let message = Box::new(message);
        self.queue.push_back((to, Event::Message { from, message }));
    }

    fn call_store(&mut self, to: Incarnation, op: &StoreOp) {
        let reached = self.routers.iter().any(|r| r.id == to && !r.without_store);
        let result = match self.store_up && reached {
            true => match (self.store.apply(&op.request), self.answers_lost) {
                (_, true) => StoreResult::Unknown,
                (result, false) => result,
            },
            false => StoreResult::Unavailable,
        };
        let op = op.op;
        self.queue
            .push_back((to, Event::StoreEra(self.store.era())));
        self.queue.push_back((to, Event::Store { op, result }));
    }
}

fn host_name(host: u64) -> String {
    format!("host-{host}")
}
