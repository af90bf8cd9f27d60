//! A single router without peers: the path of a request from top-up to statement.

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

/// A router without peers, and a store that answers each call at once or after a set delay.
struct SingleRouter {
    money: Money,
    now: Millis,
    store: MemoryStore,
    next_call: u64,
    /// Time that passes before the store answers a call.
    store_delay: Millis,
    /// Whether the store is unavailable.
    store_down: bool,
}

impl SingleRouter {
    fn new() -> SingleRouter {
        SingleRouter {
            money: Money::new(Settings::new(Incarnation(1), "bilbao", 7)),
            now: Millis(1_000),
            store: MemoryStore::default(),
            next_call: 0,
            store_delay: Millis(0),
            store_down: false,
        }
    }

    fn funded() -> SingleRouter {
        let mut router = SingleRouter::new();
        let budget = budget();
        let top_up = |call| Event::TopUp {
            call,
            id: "t-1".to_owned(),
            budget,
            tokens: 100,
        };
        assert!(matches!(router.call(top_up), Action::ToppedUp { .. }));
        router
    }

    /// Makes a call and returns its answer. Advances time until there is one, by at most 10 s.
    fn call(&mut self, event: impl Fn(CallId) -> Event) -> Action {
        self.next_call += 1;
        let mut answers = self.handle_event(event(CallId(self.next_call)));
        for _ in 0..1_000 {
            if let Some(answer) = answers.pop() {
                return answer;
            }
            self.now = self.now + Millis(10);
            answers = self.handle_event(Event::Tick);
        }
        panic!("the router did not answer within 10 s");
    }

    /// Advances time far enough for one batch to start.
    fn advance_batch(&mut self) {
        self.now = self.now + Millis(10);
        self.handle_event(Event::Tick);
    }

    /// Handles an event and all calls to the store that follow from it. Returns the other actions.
    fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let (mut answers, mut events) = (Vec::new(), VecDeque::from([event]));
        while let Some(event) = events.pop_front() {
            let mut out = Vec::new();
            self.money.handle(self.now, event, &mut out);
            for action in out {
                match action {
                    Action::Store(op) => events.push_back(self.apply_store_op(&op)),
                    answer => answers.push(answer),
                }
            }
        }
        answers
    }

    fn apply_store_op(&mut self, op: &StoreOp) -> Event {
        self.now = self.now + self.store_delay;
        let result = match self.store_down {
            true => StoreResult::Unavailable,
            false => self.store.apply(&op.request),
        };
        // No other router writes to the store.
        assert_ne!(result, StoreResult::Conflict, "{:?}", op.request);
        Event::Store { op: op.op, result }
    }

    fn reserve(&mut self, key: u128, tokens: u64) -> Action {
        let (key, digest) = (RequestKey(key), Digest(key));
        let (budget, expires, deadline) = (budget(), Millis(90_000), self.now + Millis(5_000));
        self.call(|call| Event::Reserve {
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
        self.call(|call| Event::CommitIntent {
            call,
            budget,
            key,
            digest,
            tokens,
            expires,
            deadline,
        })
    }

    /// Reserves and settles tokens, and returns how the request was billed.
    fn reserve_and_settle(&mut self, key: u128, tokens: u64) -> Billing {
        let Action::Reserved { call, .. } = self.reserve(key, tokens) else {
            panic!("the tokens were not reserved");
        };
        match self.call(|_| Event::Settle { call, tokens }) {
            Action::Settled { billing, .. } => billing,
            other => panic!("{other:?}"),
        }
    }

    fn spent(&mut self) -> u64 {
        let budget = budget();
        match self.call(|call| Event::Statement { call, budget }) {
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
    let mut router = SingleRouter::funded();
    assert_eq!(router.reserve_and_settle(1, 30), Billing::Billed);
    assert_eq!(router.reserve_and_settle(1, 30), Billing::Duplicate);
    assert_eq!(router.spent(), 30);
}

#[test]
fn a_top_up_counts_once() {
    let mut router = SingleRouter::funded();
    let budget = budget();
    let again = |call| Event::TopUp {
        call,
        id: "t-1".to_owned(),
        budget,
        tokens: 100,
    };
    assert!(matches!(router.call(again), Action::ToppedUp { .. }));
    let other = |call| Event::TopUp {
        call,
        id: "t-1".to_owned(),
        budget,
        tokens: 7,
    };
    let reason = RefusalReason::KeyReused;
    assert!(matches!(router.call(other), Action::Refused { reason: r, .. } if r == reason));
    assert_eq!(router.reserve_and_settle(1, 100), Billing::Billed);
}

#[test]
fn a_reservation_is_cut_to_the_last_tokens() {
    let mut router = SingleRouter::funded();
    assert_eq!(router.reserve_and_settle(1, 70), Billing::Billed);
    assert!(matches!(
        router.reserve(2, 40),
        Action::Reserved { tokens: 30, .. }
    ));
    let refused = router.reserve(3, 40);
    assert!(matches!(
        refused,
        Action::Refused {
            reason: RefusalReason::BudgetExhausted,
            ..
        }
    ));
}

#[test]
fn released_tokens_are_available_again() {
    let mut router = SingleRouter::funded();
    let Action::Reserved { call, .. } = router.reserve(1, 100) else {
        panic!("the tokens were not reserved");
    };
    router.handle_event(Event::Release { call });
    assert_eq!(router.reserve_and_settle(2, 100), Billing::Billed);
}

#[test]
fn a_recorded_call_is_not_run_again() {
    let mut router = SingleRouter::funded();
    assert!(matches!(router.intend(1, 20), Action::Accepted { .. }));
    let pending = router.intend(1, 20);
    assert!(matches!(
        pending,
        Action::Refused {
            reason: RefusalReason::InProgress,
            ..
        }
    ));
    router.handle_event(Event::RecordOutcome {
        key: RequestKey(1),
        answer: answer(),
    });
    assert!(matches!(router.intend(1, 20), Action::Recorded { answer: a, .. } if a == answer()));
    assert_eq!(router.spent(), 20);
}

#[test]
fn a_call_that_did_not_run_is_refunded_and_may_run_again() {
    let mut router = SingleRouter::funded();
    assert!(matches!(router.intend(1, 20), Action::Accepted { .. }));
    router.handle_event(Event::RecordOutcome {
        key: RequestKey(1),
        answer: Answer::NotRun,
    });
    router.advance_batch();
    assert_eq!(router.spent(), 0);
    assert!(matches!(router.intend(1, 20), Action::Accepted { .. }));
}

#[test]
fn a_call_whose_intent_is_committed_too_late_is_not_sent() {
    let mut router = SingleRouter::funded();
    assert_eq!(router.reserve_and_settle(1, 10), Billing::Billed);
    router.store_delay = Millis(6_000);
    let late = router.intend(2, 20);
    let reason = RefusalReason::LedgerUnavailable;
    assert!(matches!(late, Action::Refused { reason: r, .. } if r == reason));
    router.store_delay = Millis(0);
    router.advance_batch();
    assert_eq!(router.spent(), 10);
}

#[test]
fn an_idle_router_drains_at_once() {
    let mut router = SingleRouter::funded();
    assert_eq!(router.reserve_and_settle(1, 30), Billing::Billed);
    assert_eq!(router.call(|_| Event::Drain), Action::Drained);
}

/// Advances time by 20 s and returns the router's actions except messages to other routers.
fn advance_20_s(router: &mut SingleRouter) -> Vec<Action> {
    let mut answers = Vec::new();
    for _ in 0..2_000 {
        router.now = router.now + Millis(10);
        answers.extend(router.handle_event(Event::Tick));
    }
    answers.retain(|action| !matches!(action, Action::Send { .. }));
    answers
}

#[test]
fn unreturned_grants_do_not_block_a_drain_in_an_outage() {
    let mut router = SingleRouter::funded();
    assert_eq!(router.reserve_and_settle(1, 30), Billing::Billed);
    router.store_down = true;
    assert_eq!(router.handle_event(Event::Drain), []);
    assert_eq!(advance_20_s(&mut router), [Action::Drained]);
}

#[test]
fn an_uncommitted_bill_blocks_a_drain_in_an_outage() {
    let mut router = SingleRouter::funded();
    let Action::Reserved { call, .. } = router.reserve(1, 30) else {
        panic!("the tokens were not reserved");
    };
    router.store_down = true;
    assert_eq!(router.handle_event(Event::Settle { call, tokens: 30 }), []);
    assert_eq!(router.handle_event(Event::Drain), []);
    assert_eq!(advance_20_s(&mut router), []);
    router.store_down = false;
    let billing = Billing::Billed;
    assert_eq!(
        advance_20_s(&mut router),
        [Action::Settled { call, billing }, Action::Drained]
    );
}

/// A configuration that is applied while the router runs counts for the next grant: a shorter
/// horizon gives a smaller one.
#[test]
fn policy_of_a_new_configuration_applies_at_once() {
    let granted = |horizon_ms| {
        let mut router = SingleRouter::funded();
        let ledger = Ledger {
            grant_horizon_ms: horizon_ms,
            ..Ledger::default()
        };
        router.handle_event(Event::Configure(ledger));
        assert_eq!(router.reserve_and_settle(1, 2), Billing::Billed);
        assert_eq!(router.reserve_and_settle(2, 2), Billing::Billed);
        router
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
