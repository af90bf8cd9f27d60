//! How a shard's state applies each kind of entry.

use toucanchute_core::ledger::{MAX_CLOCK_SKEW, MAX_RERUNS, ShardState};
use toucanchute_proto::{
    AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{
        Answer, Backing, Batch, Bill, Entry, EntryBody, EntryRefusal, EntryResult, GrantRequest,
        GrantReturn, Intent, IntentOutcome, Reclaim, TopUp, Transfer,
    },
};
use yare::parameterized;

const HOLDER: Incarnation = Incarnation(1);
const KEY: RequestKey = RequestKey(7);
const EXPIRES: Millis = Millis(1_000);

/// A shard with one budget of 100 tokens, 60 of them in grant 1.
struct Shard {
    state: ShardState,
    now: Millis,
    next_entry: u64,
}

impl Shard {
    fn new() -> Shard {
        let mut shard = Shard {
            state: ShardState::default(),
            now: Millis(1),
            next_entry: 0,
        };
        let top_up = TopUp {
            top_up: "t".to_owned(),
            tokens: 100,
        };
        assert_eq!(shard.apply(EntryBody::TopUp(top_up)), EntryResult::Done);
        assert_eq!(shard.open_grant(1, 60), EntryResult::Granted(60));
        shard
    }

    fn apply(&mut self, body: EntryBody) -> EntryResult {
        self.next_entry += 1;
        self.apply_with_id(self.next_entry, body)
    }

    fn apply_with_id(&mut self, id: u64, body: EntryBody) -> EntryResult {
        let id = EntryId(HOLDER, id);
        let position = self.state.position();
        let entries = vec![Entry {
            id,
            budget: BudgetId(1),
            body,
        }];
        let batch = Batch {
            position,
            batch_id: id,
            at: self.now,
            entries,
        };
        self.state.apply(&batch).expect("parts add up").remove(0)
    }

    fn open_grant(&mut self, number: u64, tokens: u64) -> EntryResult {
        self.apply(EntryBody::Grant(GrantRequest {
            grant: GrantId(HOLDER, number),
            want: tokens,
            min: tokens,
            least: tokens,
            floor_divisor: 0,
            divisor: 1,
            backing: backing(),
        }))
    }

    fn settle(&mut self, grant: u64, key: RequestKey) -> EntryResult {
        self.apply(settle_body(grant, key))
    }

    fn announce(&mut self, attempt: u64) -> EntryResult {
        self.apply(EntryBody::Intent(Intent {
            key: KEY,
            digest: Digest(1),
            attempt: AttemptId(HOLDER, attempt),
            grant: GrantId(HOLDER, 1),
            tokens: 10,
            expires: EXPIRES,
        }))
    }

    fn record_outcome(&mut self, attempt: u64, answer: Answer) -> EntryResult {
        let attempt = AttemptId(HOLDER, attempt);
        self.apply(EntryBody::Outcome(IntentOutcome {
            key: KEY,
            attempt,
            expires: EXPIRES,
            answer,
        }))
    }

    fn return_tokens(&mut self, sequence: u64, tokens: u64) -> EntryResult {
        let grant = GrantId(HOLDER, 1);
        self.apply(EntryBody::Return(GrantReturn {
            grant,
            sequence,
            tokens,
        }))
    }

    fn reclaim(&mut self, fenced: &[u64]) -> EntryResult {
        let (grant, fenced) = (
            GrantId(HOLDER, 1),
            fenced.iter().map(|&w| Incarnation(w)).collect(),
        );
        self.apply(EntryBody::Reclaim(Reclaim {
            grant,
            debits: Vec::new(),
            fenced,
        }))
    }

    fn free(&self) -> u64 {
        self.state.statement(BudgetId(1)).free
    }
}

fn backing() -> Backing {
    Backing {
        witnesses: [11, 12, 13].map(Incarnation).to_vec(),
        acks: 2,
    }
}

fn settle_body(grant: u64, key: RequestKey) -> EntryBody {
    let grant = GrantId(HOLDER, grant);
    EntryBody::Settle(Bill {
        key,
        digest: Digest(1),
        grant,
        tokens: 10,
        expires: EXPIRES,
    })
}

fn refused(reason: EntryRefusal) -> EntryResult {
    EntryResult::Refused(reason)
}

#[test]
fn a_bill_proposed_again_is_not_a_rerun() {
    let mut shard = Shard::new();
    for _ in 0..2 * MAX_RERUNS {
        assert_eq!(
            shard.apply_with_id(50, settle_body(1, KEY)),
            EntryResult::Billed
        );
    }
    assert_eq!(shard.settle(1, KEY), EntryResult::Duplicate);
}

#[test]
fn reruns_are_bounded() {
    let mut shard = Shard::new();
    let results: Vec<_> = (0..=MAX_RERUNS + 1).map(|_| shard.settle(1, KEY)).collect();
    assert_eq!(results[MAX_RERUNS], EntryResult::Duplicate);
    assert_eq!(
        results[MAX_RERUNS + 1],
        refused(EntryRefusal::TooManyReruns)
    );
}

#[test]
fn a_key_is_kept_while_a_grant_from_before_its_expiry_is_open() {
    let mut shard = Shard::new();
    assert_eq!(shard.settle(1, KEY), EntryResult::Billed);
    shard.now = EXPIRES + MAX_CLOCK_SKEW + Millis(1);
    assert_eq!(shard.open_grant(2, 20), EntryResult::Granted(20));
    assert!(shard.state.key(KEY).is_some());
    assert_eq!(shard.return_tokens(0, 50), EntryResult::Done);
    assert!(shard.state.key(KEY).is_none());
    // A late copy of the bill is refused for both grants.
    assert_eq!(shard.settle(1, KEY), refused(EntryRefusal::GrantClosed));
    assert_eq!(shard.settle(2, KEY), refused(EntryRefusal::KeyExpired));
}

#[test]
fn a_closed_grant_is_not_opened_again() {
    let mut shard = Shard::new();
    assert_eq!(shard.return_tokens(0, 60), EntryResult::Done);
    assert_eq!(shard.open_grant(1, 60), refused(EntryRefusal::StaleGrant));
    assert_eq!(shard.free(), 100);
}

#[test]
fn a_return_counts_once() {
    let mut shard = Shard::new();
    assert_eq!(shard.return_tokens(0, 20), EntryResult::Done);
    assert_eq!(shard.return_tokens(0, 20), EntryResult::Done);
    assert_eq!(shard.free(), 60);
}

#[test]
fn a_transfer_counts_once() {
    let mut shard = Shard::new();
    let (from, grant) = (GrantId(HOLDER, 1), GrantId(Incarnation(2), 1));
    let transfer = Transfer {
        from,
        grant,
        tokens: 25,
        backing: backing(),
    };
    for _ in 0..2 {
        let result = shard.apply(EntryBody::Transfer(transfer.clone()));
        assert_eq!(result, EntryResult::Granted(25));
    }
    assert_eq!(shard.state.grant(from).map(|g| g.remainder), Some(35));
}

#[parameterized(
    one_fence_forfeits = { &[11], EntryResult::Forfeited, 40 },
    two_fences_close = { &[11, 13], EntryResult::Reclaimed, 100 },
    fences_of_other_routers_do_not_count = { &[11, 21, 22], EntryResult::Forfeited, 40 },
)]
fn reclaim(fenced: &[u64], result: EntryResult, free: u64) {
    let mut shard = Shard::new();
    assert_eq!(shard.reclaim(fenced), result);
    assert_eq!(shard.free(), free);
}

#[test]
fn a_forfeited_grant_accepts_late_bills_and_can_be_written_off() {
    let mut shard = Shard::new();
    assert_eq!(shard.reclaim(&[]), EntryResult::Forfeited);
    assert_eq!(shard.settle(1, KEY), EntryResult::Billed);
    assert_eq!(
        shard.apply(EntryBody::WriteOff(GrantId(HOLDER, 1))),
        EntryResult::Done
    );
    let statement = shard.state.statement(BudgetId(1));
    assert_eq!((statement.spent, statement.written_off), (60, 50));
}

#[test]
fn an_intent_ordered_after_its_refund_is_refused() {
    let mut shard = Shard::new();
    assert_eq!(shard.record_outcome(5, Answer::NotRun), EntryResult::Done);
    assert_eq!(shard.announce(5), refused(EntryRefusal::AttemptEnded));
    assert_eq!(shard.announce(6), EntryResult::Accepted);
}

#[test]
fn a_pending_attempt_is_not_accepted_later() {
    let mut shard = Shard::new();
    assert_eq!(shard.announce(5), EntryResult::Accepted);
    assert_eq!(
        shard.announce(6),
        EntryResult::Pending(AttemptId(HOLDER, 5))
    );
    assert_eq!(shard.record_outcome(5, Answer::NotRun), EntryResult::Done);
    assert_eq!(shard.announce(6), refused(EntryRefusal::AttemptEnded));
}

#[test]
fn an_outcome_is_recorded_once() {
    let mut shard = Shard::new();
    assert_eq!(shard.announce(5), EntryResult::Accepted);
    assert_eq!(shard.record_outcome(5, Answer::Unknown), EntryResult::Done);
    assert_eq!(shard.record_outcome(5, Answer::NotRun), EntryResult::Done);
    assert_eq!(shard.announce(6), EntryResult::Recorded(Answer::Unknown));
}

#[test]
fn an_abandoned_attempt_ends_with_its_recorded_outcome() {
    let mut shard = Shard::new();
    assert_eq!(shard.announce(5), EntryResult::Accepted);
    assert_eq!(shard.record_outcome(5, Answer::Unknown), EntryResult::Done);
    assert_eq!(shard.announce(5), EntryResult::Ended(Answer::Unknown));
}

#[test]
fn a_snapshot_holds_all_of_the_state() {
    let mut shard = Shard::new();
    assert_eq!(shard.settle(1, KEY), EntryResult::Billed);
    let copy = ShardState::from_snapshot(shard.state.snapshot());
    assert_eq!(copy, shard.state);
}
