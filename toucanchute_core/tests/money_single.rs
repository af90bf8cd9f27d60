//! One router alone: the path of a request from top-up to statement.

#[path = "support/memory_store.rs"]
mod memory_store;

use std::collections::VecDeque;

use memory_store::MemoryStore;

use toucanchute_core::{
    ledger::{StoreOp, StoreResult},
    money::{Action, Billing, CallId, Event, Money, RefusalReason, Settings},
};
use toucanchute_proto::{
    BudgetId, Bytes, Digest, Incarnation, Millis, RequestKey,
    config::Ledger,
    ledger::{Answer, RecordedAnswer},
};

/// A router and a store that always answers.
struct Alone {
    money: Money,
    now: Millis,
    store: MemoryStore,
    next_call: u64,
    /// Time that passes before a call to the store is answered.
    slow: Millis,
    /// Whether the store cannot be reached.
    out: bool,
}

impl Alone {
    fn new() -> Alone {
        Alone {
            money: Money::new(Settings::new(Incarnation(1), "bilbao", 7)),
            now: Millis(1_000),
            store: MemoryStore::default(),
            next_call: 0,
            slow: Millis(0),
            out: false,
        }
    }

    fn funded() -> Alone {
        let mut alone = Alone::new();
        let budget = budget();
        let top_up = |call| Event::TopUp {
            call,
            id: "t-1".to_owned(),
            budget,
            tokens: 100,
        };
        assert!(matches!(alone.ask(top_up), Action::ToppedUp { .. }));
        alone
    }

    /// Makes a call and returns its answer, letting time pass while there is none.
    fn ask(&mut self, event: impl Fn(CallId) -> Event) -> Action {
        self.next_call += 1;
        let mut answers = self.tell(event(CallId(self.next_call)));
        for _ in 0..1_000 {
            if let Some(answer) = answers.pop() {
                return answer;
            }
            self.now = self.now + Millis(10);
            answers = self.tell(Event::Tick);
        }
        panic!("no answer");
    }

    /// Lets time pass for one batch.
    fn pass(&mut self) {
        self.now = self.now + Millis(10);
        self.tell(Event::Tick);
    }

    /// Handles an event and all calls to the store that follow; returns the other actions.
    fn tell(&mut self, event: Event) -> Vec<Action> {
        let (mut answers, mut events) = (Vec::new(), VecDeque::from([event]));
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            self.money.handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Store(op) => events.push_back(self.store(&op)),
                    answer => answers.push(answer),
                }
            }
        }
        answers
    }

    fn store(&mut self, op: &StoreOp) -> Event {
        self.now = self.now + self.slow;
        let result = match self.out {
            true => StoreResult::Unavailable,
            false => self.store.apply(&op.request),
        };
        // Nobody else writes.
        assert_ne!(result, StoreResult::Conflict, "{:?}", op.request);
        Event::Store { op: op.op, result }
    }

    fn reserve(&mut self, key: u128, tokens: u64) -> Action {
        let (key, digest) = (RequestKey(key), Digest(key));
        let (budget, expires, deadline) = (budget(), Millis(90_000), self.now + Millis(5_000));
        self.ask(|call| Event::Reserve {
            call,
            budget,
            key,
            digest,
            tokens,
            expires,
            deadline,
        })
    }

    fn intend(&mut self, key: u128, tokens: u64) -> Action {
        let (key, digest) = (RequestKey(key), Digest(key));
        let (budget, expires, deadline) = (budget(), Millis(90_000), self.now + Millis(5_000));
        self.ask(|call| Event::CommitIntent {
            call,
            budget,
            key,
            digest,
            tokens,
            expires,
            deadline,
        })
    }

    /// Reserves, settles and returns how the request was billed.
    fn run(&mut self, key: u128, tokens: u64) -> Billing {
        let Action::Reserved { call, .. } = self.reserve(key, tokens) else {
            panic!("not reserved");
        };
        match self.ask(|_| Event::Settle { call, tokens }) {
            Action::Settled { billing, .. } => billing,
            other => panic!("{other:?}"),
        }
    }

    fn spent(&mut self) -> u64 {
        let budget = budget();
        match self.ask(|call| Event::Statement { call, budget }) {
            Action::Statement { statement, .. } => statement.spent,
            other => panic!("{other:?}"),
        }
    }
}

fn budget() -> BudgetId {
    BudgetId::from_name("north")
}

fn answer() -> Answer {
    let body = Bytes::from_static(b"van 7");
    Answer::Recorded(RecordedAnswer {
        status: 201,
        content_type: String::new(),
        body,
    })
}

#[test]
fn a_request_is_billed_once() {
    let mut alone = Alone::funded();
    assert_eq!(alone.run(1, 30), Billing::Billed);
    assert_eq!(alone.run(1, 30), Billing::Duplicate);
    assert_eq!(alone.spent(), 30);
}

#[test]
fn a_top_up_counts_once() {
    let mut alone = Alone::funded();
    let budget = budget();
    let again = |call| Event::TopUp {
        call,
        id: "t-1".to_owned(),
        budget,
        tokens: 100,
    };
    assert!(matches!(alone.ask(again), Action::ToppedUp { .. }));
    let other = |call| Event::TopUp {
        call,
        id: "t-1".to_owned(),
        budget,
        tokens: 7,
    };
    let reason = RefusalReason::KeyReused;
    assert!(matches!(alone.ask(other), Action::Refused { reason: r, .. } if r == reason));
    assert_eq!(alone.run(1, 100), Billing::Billed);
}

#[test]
fn the_last_tokens_are_reserved_in_part() {
    let mut alone = Alone::funded();
    assert_eq!(alone.run(1, 70), Billing::Billed);
    assert!(matches!(
        alone.reserve(2, 40),
        Action::Reserved { tokens: 30, .. }
    ));
    let refused = alone.reserve(3, 40);
    assert!(matches!(
        refused,
        Action::Refused {
            reason: RefusalReason::BudgetExhausted,
            ..
        }
    ));
}

#[test]
fn a_released_reservation_is_free_again() {
    let mut alone = Alone::funded();
    let Action::Reserved { call, .. } = alone.reserve(1, 100) else {
        panic!("not reserved");
    };
    alone.tell(Event::Release { call });
    assert_eq!(alone.run(2, 100), Billing::Billed);
}

#[test]
fn a_recorded_call_is_not_run_again() {
    let mut alone = Alone::funded();
    assert!(matches!(alone.intend(1, 20), Action::Accepted { .. }));
    let pending = alone.intend(1, 20);
    assert!(matches!(
        pending,
        Action::Refused {
            reason: RefusalReason::InProgress,
            ..
        }
    ));
    alone.tell(Event::RecordOutcome {
        key: RequestKey(1),
        answer: answer(),
    });
    assert!(matches!(alone.intend(1, 20), Action::Recorded { answer: a, .. } if a == answer()));
    assert_eq!(alone.spent(), 20);
}

#[test]
fn a_call_that_did_not_run_is_refunded_and_may_run_again() {
    let mut alone = Alone::funded();
    assert!(matches!(alone.intend(1, 20), Action::Accepted { .. }));
    alone.tell(Event::RecordOutcome {
        key: RequestKey(1),
        answer: Answer::NotRun,
    });
    alone.pass();
    assert_eq!(alone.spent(), 0);
    assert!(matches!(alone.intend(1, 20), Action::Accepted { .. }));
}

#[test]
fn a_call_whose_intent_is_committed_too_late_is_not_sent() {
    let mut alone = Alone::funded();
    assert_eq!(alone.run(1, 10), Billing::Billed);
    alone.slow = Millis(6_000);
    let late = alone.intend(2, 20);
    let reason = RefusalReason::LedgerUnavailable;
    assert!(matches!(late, Action::Refused { reason: r, .. } if r == reason));
    alone.slow = Millis(0);
    alone.pass();
    assert_eq!(alone.spent(), 10);
}

#[test]
fn a_drained_router_has_nothing_left() {
    let mut alone = Alone::funded();
    assert_eq!(alone.run(1, 30), Billing::Billed);
    assert_eq!(alone.ask(|_| Event::Drain), Action::Drained);
}

/// Lets 20 s pass and returns what the router answered, without its messages to routers.
fn wait(alone: &mut Alone) -> Vec<Action> {
    let mut answers = Vec::new();
    for _ in 0..2_000 {
        alone.now = alone.now + Millis(10);
        answers.extend(alone.tell(Event::Tick));
    }
    answers.retain(|action| !matches!(action, Action::Send { .. }));
    answers
}

#[test]
fn grants_do_not_keep_a_router_from_leaving_in_an_outage() {
    let mut alone = Alone::funded();
    assert_eq!(alone.run(1, 30), Billing::Billed);
    alone.out = true;
    assert_eq!(alone.tell(Event::Drain), []);
    assert_eq!(wait(&mut alone), [Action::Drained]);
}

#[test]
fn a_bill_keeps_a_router_from_leaving_in_an_outage() {
    let mut alone = Alone::funded();
    let Action::Reserved { call, .. } = alone.reserve(1, 30) else {
        panic!("not reserved");
    };
    alone.out = true;
    assert_eq!(alone.tell(Event::Settle { call, tokens: 30 }), []);
    assert_eq!(alone.tell(Event::Drain), []);
    assert_eq!(wait(&mut alone), []);
    alone.out = false;
    let billing = Billing::Billed;
    assert_eq!(
        wait(&mut alone),
        [Action::Settled { call, billing }, Action::Drained]
    );
}

/// A shorter horizon comes into force while the router runs: the next grant is smaller.
#[test]
fn policy_of_a_new_configuration_is_in_force_at_once() {
    let granted = |horizon_ms| {
        let mut alone = Alone::funded();
        let ledger = Ledger {
            grant_horizon_ms: horizon_ms,
            ..Ledger::default()
        };
        alone.tell(Event::Configure(ledger));
        assert_eq!(alone.run(1, 2), Billing::Billed);
        assert_eq!(alone.run(2, 2), Billing::Billed);
        alone
            .money
            .status()
            .available
            .iter()
            .map(|(_, tokens)| tokens)
            .sum::<u64>()
    };
    assert!(
        granted(1) < granted(600_000),
        "{} and {}",
        granted(1),
        granted(600_000)
    );
}
