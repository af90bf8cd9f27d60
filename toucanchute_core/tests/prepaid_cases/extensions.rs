//! Requests that reserve their tokens in parts.

use serde::{Deserialize, Serialize};
use toucanchute_core::prepaid::{CallId, Fault, RefusalReason};
use toucanchute_proto::{
    BudgetId, from_cbor,
    prepaid::{Ask, OwnerView, Term},
    to_cbor,
};

use crate::{TOTAL, fleet::Fleet};

/// Most tokens of each request.
const BOUND: u64 = 4_600;

/// Tokens that a request reserves first.
const FIRST_PART: u64 = 780;

/// Tokens that each request uses.
const USED: u64 = 660;

/// Requests that have ended when all routers end.
const ENDED: usize = 12;

/// Requests in progress then.
const IN_PROGRESS: usize = 18;

/// Time without routers, in milliseconds.
const OUTAGE: u64 = 1_100;

/// Divisor of the remaining tokens: the most that the loss of all routers may write off, so that most
/// of them serve requests afterwards.
const MAX_LOST_DIVISOR: u64 = 4;

/// Reserves the first part of a request, of which `rest` tokens may follow.
fn begin(fleet: &mut Fleet, router: usize) -> CallId {
    fleet.reserve_part(router, FIRST_PART, BOUND - FIRST_PART, None)
}

/// Guards against a total that is lost with all routers, because the most that the requests in
/// progress might have used counts as spent for ever.
#[test]
fn most_of_a_total_is_left_after_all_routers_ended_amid_requests() {
    let mut fleet = Fleet::new(7, TOTAL);
    fleet.warm_up();
    for i in 0..ENDED {
        let call = begin(&mut fleet, i % 7);
        fleet.end(i % 7, call, USED);
    }
    for i in 0..IN_PROGRESS {
        let call = begin(&mut fleet, i % 7);
        assert_eq!(fleet.answer(call), Some(Ok(())));
    }
    fleet.advance(2_000);
    fleet.lose_power(OUTAGE);
    fleet.advance(800);
    fleet.few_clocks = false;
    fleet.advance(3_000);
    let used_at_most = ENDED as u64 * USED + IN_PROGRESS as u64 * FIRST_PART;
    let most = used_at_most + (TOTAL - used_at_most) / MAX_LOST_DIVISOR;
    let used = fleet.used();
    assert!((used_at_most..=most).contains(&used), "{used} of {most}");
}

/// Returns a fleet, and a request at router 0 that holds 1,000 tokens and may ask for all others but
/// 4,000.
fn fleet_with_a_request(fault: Option<Fault>) -> (Fleet, CallId) {
    let mut fleet = Fleet::with_fault(5, TOTAL, (3, 1), fault);
    fleet.warm_up();
    let first = fleet.reserve_part(0, 1_000, TOTAL - 5_000, None);
    assert_eq!(fleet.answer(first), Some(Ok(())));
    (fleet, first)
}

/// Guards against a stream that is cut because tokens that it may need went to a later request.
#[test]
fn a_request_is_held_while_those_in_progress_may_need_its_tokens() {
    let (mut fleet, first) = fleet_with_a_request(None);
    assert_eq!(fleet.request(1, 4_001), Err(RefusalReason::Held));
    assert_eq!(fleet.request(1, 4_000), Ok(()));
    let second = fleet.reserve_part(0, TOTAL - 5_000, 0, Some(first));
    assert_eq!(fleet.answer(second), Some(Ok(())));
}

#[test]
fn room_for_requests_in_progress_is_needed() {
    let (mut fleet, first) = fleet_with_a_request(Some(Fault::IgnoreRests));
    assert_eq!(fleet.request(1, 4_001), Ok(()));
    let second = fleet.reserve_part(0, TOTAL - 5_000, 0, Some(first));
    assert_ne!(fleet.answer(second), Some(Ok(())));
}

/// The same after the account was handed over.
#[test]
fn room_for_requests_in_progress_is_kept_by_the_next_owner() {
    let (mut fleet, first) = fleet_with_a_request(None);
    let owner = fleet.owners()[0];
    fleet.drain(owner);
    assert_ne!(fleet.owners(), [owner]);
    assert_eq!(fleet.request(1, 4_001), Err(RefusalReason::Held));
    fleet.end(0, first, 500);
    assert_eq!(fleet.request(1, 4_001), Ok(()));
}

/// Guards against a total of which nothing can be used while its owner keeps room for requests of routers
/// that were killed.
#[test]
fn no_room_is_kept_for_requests_of_a_killed_router() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    let router = (owner + 1) % 5;
    let first = fleet.reserve_part(router, 1_000, TOTAL - 5_000, None);
    assert_eq!(fleet.answer(first), Some(Ok(())));
    fleet.kill(router);
    assert_eq!(fleet.request(0, 50_000), Ok(()));
}

/// Guards against a request in progress that can get no further tokens because its owner was lost.
#[test]
fn the_next_owner_extends_a_reservation_of_one_that_was_killed() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    let router = (owner + 1) % 5;
    let first = fleet.reserve_part(router, 1_000, 9_000, None);
    fleet.advance(1_000);
    fleet.kill(owner);
    let router = router - usize::from(router > owner);
    fleet.advance(2_000);
    let before = fleet.used();
    let second = fleet.reserve_part(router, 9_000, 0, Some(first));
    assert_eq!(fleet.answer(second), Some(Ok(())));
    fleet.end(router, first, 1_000);
    fleet.end(router, second, 2_000);
    assert_eq!(fleet.used(), before + 2_000);
}

/// Guards against a stream that waits for tokens behind requests that have not begun.
#[test]
fn an_extension_is_served_before_new_requests() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
    fleet.draw(0..5, 20, 500, 100);
    let rest = 1_000;
    let first = fleet.reserve_part(0, 500, rest, None);
    fleet.store_up = false;
    let most = fleet.ramp_max() - fleet.used() - rest;
    let new = fleet.send_part(1, most, 0, None);
    assert_eq!(fleet.answer(new), None);
    let second = fleet.send_part(0, rest, 0, Some(first));
    assert_eq!(fleet.answer(second), Some(Ok(())));
    assert_eq!(fleet.answer(new), None);
}

/// Guards against requests that are refused in an outage of the store for the sake of tokens that hardly
/// any request in progress will ask for.
#[test]
fn an_outage_of_the_store_needs_no_room_for_what_requests_may_ask_for() {
    let (mut fleet, _) = fleet_with_a_request(None);
    fleet.store_up = false;
    fleet.draw(1..5, 4, 500, 500);
}

/// Guards against streams that get no further tokens while routers of two versions run beside each other:
/// to an owner of the earlier one each part is a request of its own.
#[test]
fn an_owner_of_an_earlier_version_grants_and_settles_each_part() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.asks_of_old_version = true;
    fleet.warm_up();
    let router = (fleet.owners()[0] + 1) % 5;
    let first = fleet.reserve_part(router, 1_000, 3_000, None);
    let second = fleet.reserve_part(router, 1_000, 2_000, Some(first));
    assert_eq!(fleet.answer(second), Some(Ok(())));
    fleet.end(router, first, 1_000);
    fleet.end(router, second, 200);
    assert_eq!(fleet.used(), 1_200);
}

/// An `ask` of routers that reserve all tokens of a request at once.
#[derive(Debug, PartialEq, Deserialize, Serialize)]
struct WholeAsk {
    budget: BudgetId,
    seq: u64,
    tokens: u64,
    term: Term,
}

/// Guards against routers of two versions that do not understand each other's asks.
#[test]
fn asks_of_both_versions_are_decoded_by_both() {
    let term = Term { epoch: 1, turn: 0 };
    let (budget, seq, tokens) = (BudgetId(7), 3, 1_000);
    let whole = WholeAsk {
        budget,
        seq,
        tokens,
        term,
    };
    let mut ask = Ask {
        budget,
        seq,
        tokens,
        term,
        rest: Some(500),
        extends: Some(2),
        view: Some(OwnerView { term, owner: None }),
    };
    assert_eq!(from_cbor::<WholeAsk>(&to_cbor(&ask)).unwrap(), whole);
    (ask.rest, ask.extends, ask.view) = (None, None, None);
    let decoded: Ask = from_cbor(&to_cbor(&whole)).unwrap();
    assert_eq!(to_cbor(&decoded), to_cbor(&ask));
}
