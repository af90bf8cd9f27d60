//! A few prepaid machines whose messages arrive at once, and a store that is up or down.

use std::collections::{BTreeMap, VecDeque};

use toucanchute_core::{
    ledger::{StoreOp, StoreResult},
    prepaid::{
        AccountEvent, Action, CallId, ClockSpread, Event, Fault, Peer, PrepaidAccounts,
        RefusalReason, Settings,
    },
};
use toucanchute_proto::{
    BudgetId, Bytes, Incarnation, Millis, config::Ledger, fleet::MemberState,
    prepaid::PrepaidMessage,
};

use crate::memory_store::MemoryStore;

/// Time between two ticks, in milliseconds.
const TICK: u64 = 50;

/// How long a request waits for its answer here.
const PATIENCE: u64 = 1_000;

struct Router {
    id: Incarnation,
    host: u64,
    machine: PrepaidAccounts,
    state: MemberState,
    /// Whether it is cut off from the other routers.
    apart: bool,
    /// Whether it alone does not reach the store.
    without_store: bool,
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
    /// Whether the store's answers are lost.
    pub(crate) answers_lost: bool,
    /// Whether the routers know few clocks of others.
    pub(crate) few_clocks: bool,
    /// How often a router told that the account's record cannot be decoded.
    pub(crate) unreadable: usize,
    /// How often an account was opened or given away.
    pub(crate) changes: usize,
    store: MemoryStore,
    answers: BTreeMap<CallId, Result<(), RefusalReason>>,
    /// Events on their way: receiver, event.
    queue: VecDeque<(Incarnation, Event)>,
    /// Routers that cannot reach each other.
    split: Option<(Incarnation, Incarnation)>,
}

impl Fleet {
    pub(crate) fn new(routers: usize, limit: u64) -> Fleet {
        Fleet::with_quorum(routers, limit, 3, 1)
    }

    /// Starts routers whose accounts have `witnesses`, of which `acks` keep a mark.
    pub(crate) fn with_quorum(routers: usize, limit: u64, witnesses: u8, acks: u8) -> Fleet {
        Fleet::with_fault(routers, limit, (witnesses, acks), None)
    }

    /// Starts routers with a deliberate fault.
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
            few_clocks: false,
            unreadable: 0,
            changes: 0,
            store: MemoryStore::default(),
            answers: BTreeMap::new(),
            queue: VecDeque::new(),
            split: None,
        };
        for host in 0..routers {
            fleet.start(host as u64);
        }
        fleet.tell_peers();
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
            apart: false,
            without_store: false,
        });
        let event = Event::Configure {
            limits: [(Fleet::budget(), self.limit)].into(),
            policy: Ledger {
                witnesses: self.witnesses,
                acks: self.acks,
                ..Ledger::default()
            },
        };
        self.queue.push_back((id, event));
    }

    fn tell_peers(&mut self) {
        let all: Vec<_> = self.routers.iter().map(|r| (r.id, r.apart)).collect();
        for (me, apart) in all {
            let others = self.routers.iter().filter(|r| r.id != me);
            let peer = |r: &Router| Peer {
                incarnation: r.id,
                host: host_name(r.host),
                failure_domain: String::new(),
                capacity: 0,
                state: match apart || r.apart || self.is_split(me, r.id) {
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

    /// Lets the routers meet and claim the account.
    pub(crate) fn settle_in(&mut self) {
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

    /// Asks for tokens and leaves them set aside.
    pub(crate) fn reserve(&mut self, router: usize, tokens: u64) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let event = Event::Reserve {
            call,
            budget: Fleet::budget(),
            tokens,
            deadline: Millis(self.now + PATIENCE),
        };
        self.queue.push_back((self.routers[router].id, event));
        self.run();
        let until = self.now + PATIENCE;
        while !self.answers.contains_key(&call) && self.now < until {
            self.advance(TICK);
        }
        call
    }

    /// Ends a request that used `used` tokens.
    pub(crate) fn end(&mut self, router: usize, call: CallId, used: u64) {
        let id = self.routers[router].id;
        self.queue.push_back((id, Event::Settle { call, used }));
        self.run();
        self.advance(400);
    }

    /// Asks for tokens and uses all of them.
    pub(crate) fn ask(&mut self, router: usize, tokens: u64) -> Result<(), RefusalReason> {
        let call = self.reserve(router, tokens);
        let answer = self.answers.remove(&call).expect("no answer");
        if answer.is_ok() {
            let id = self.routers[router].id;
            self.queue
                .push_back((id, Event::Settle { call, used: tokens }));
            self.run();
        }
        answer
    }

    /// Asks for tokens and uses them, `requests` times and at `routers` in turn; none is refused.
    pub(crate) fn draw(
        &mut self,
        routers: impl IntoIterator<Item = usize, IntoIter: Clone>,
        requests: usize,
        tokens: u64,
        pause: u64,
    ) {
        for router in routers.into_iter().cycle().take(requests) {
            assert_eq!(self.ask(router, tokens), Ok(()), "at {}", self.now);
            self.advance(pause);
        }
    }

    // Losses

    /// Ends a router at once and starts another one in its place.
    pub(crate) fn kill(&mut self, router: usize) {
        let host = self.routers.remove(router).host;
        self.start(host);
        self.tell_peers();
    }

    /// Ends a router at once for good.
    pub(crate) fn remove(&mut self, router: usize) {
        self.routers.remove(router);
        self.tell_peers();
    }

    /// Cuts a router off from the others, but not from the store.
    pub(crate) fn part(&mut self, router: usize) {
        self.routers[router].apart = true;
        self.tell_peers();
    }

    /// Starts a router on a further host.
    pub(crate) fn add(&mut self) -> usize {
        self.start(self.next_id);
        self.tell_peers();
        self.routers.len() - 1
    }

    /// Cuts two routers off from each other.
    pub(crate) fn split(&mut self, a: usize, b: usize) {
        self.split = Some((self.routers[a].id, self.routers[b].id));
        self.tell_peers();
    }

    fn is_split(&self, a: Incarnation, b: Incarnation) -> bool {
        self.split == Some((a, b)) || self.split == Some((b, a))
    }

    /// Cuts a router off from the store.
    pub(crate) fn lose_store(&mut self, router: usize) {
        self.routers[router].without_store = true;
        self.tell_peers();
    }

    /// Lets a router leave as planned.
    pub(crate) fn drain(&mut self, router: usize) {
        self.routers[router].state = MemberState::Leaving;
        self.tell_peers();
        let id = self.routers[router].id;
        if !self.store_up {
            // A call in vain shows that the store is away.
            self.advance(2_000);
        }
        self.queue.push_back((id, Event::Drain));
        self.run();
        self.advance(500);
    }

    /// Lets another writer overwrite all records.
    pub(crate) fn scribble(&mut self) {
        self.store.overwrite(&Bytes::from_static(b"no record"));
    }

    // Looking

    /// Places of the routers that spend from the account.
    pub(crate) fn owners(&self) -> Vec<usize> {
        let owns = |i: &usize| self.routers[*i].machine.owned_count() > 0;
        (0..self.routers.len()).filter(owns).collect()
    }

    /// Places of the witnesses of the account.
    pub(crate) fn witnesses(&self) -> Vec<usize> {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        let quorum = &account.unwrap().0.quorum.witnesses;
        let holds = |i: &usize| quorum.contains(&self.routers[*i].id);
        let mut places: Vec<usize> = (0..self.routers.len()).filter(holds).collect();
        // Routers that are removed move those behind them.
        places.reverse();
        places
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    /// Tokens a second that the account's ramp rises by.
    pub(crate) fn pace(&self) -> u64 {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        account.unwrap().0.pace
    }

    /// Tokens that the owner counts as used or set aside.
    pub(crate) fn used(&self) -> u64 {
        let owner = self.owners()[0];
        let account = self.routers[owner].machine.account(Fleet::budget());
        account.unwrap().1
    }

    // Carrying out

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
            Action::Send { to, message } => self.send(from, to, message),
            Action::Store(op) => self.call_store(from, &op),
            Action::Log(AccountEvent::Opened { .. } | AccountEvent::Closed { .. }) => {
                self.changes += 1;
            }
            Action::Log(AccountEvent::Unreadable { .. }) => self.unreadable += 1,
            Action::Log(AccountEvent::Refused { .. }) | Action::Drained => {}
        }
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, message: PrepaidMessage) {
        let apart = |id| self.routers.iter().any(|r| r.id == id && r.apart);
        if from != to && (apart(from) || apart(to)) || self.is_split(from, to) {
            return;
        }
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
        self.queue.push_back((to, Event::Store { op, result }));
    }
}

fn host_name(host: u64) -> String {
    format!("host-{host}")
}
