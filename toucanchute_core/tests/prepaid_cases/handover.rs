//! Hand-overs that are lost, late or repeated. The account has one owner again a short time later, and its
//! total is not overspent.

use toucanchute_core::prepaid::RefusalReason;
use yare::parameterized;

use crate::{
    TOTAL,
    fleet::{Fleet, Handovers},
};

/// Time after the last disruption within which each account has an owner, in milliseconds.
const RECOVERY_TIME: u64 = 6_000;

/// Number of budgets above which no account is claimed before it is needed.
const MANY_BUDGETS: usize = 300;

/// Starts routers of which one has spent from the account, and hands it over because it has lost the
/// store.
fn fleet_with_handover(handovers: Handovers, unused_budgets: usize) -> Fleet {
    let mut fleet = Fleet::with_quorum(5, TOTAL, 4, 2);
    fleet.add_unused_budgets(unused_budgets);
    fleet.warm_up();
    fleet.draw(0..5, 30, 200, 50);
    fleet.handovers = handovers;
    let owner = fleet.owners()[0];
    fleet.lose_store(owner);
    let tokens = 200;
    for _ in 0..60 {
        if fleet.receiver().is_some() {
            return fleet;
        }
        fleet.send_part(owner, tokens, 0, None);
        fleet.advance(50);
    }
    panic!("the owner handed nothing over");
}

/// Requests tokens at each router. Each of them must be served, by the one owner.
fn assert_all_are_served_by_one_owner(fleet: &mut Fleet) {
    for i in 0..fleet.len() {
        assert_eq!(fleet.request(i, 100), Ok(()), "router {i}");
    }
    assert_eq!(fleet.owners().len(), 1, "{:?}", fleet.owners());
}

/// Guards against an account that nobody claims because its record names a router that has handed it over
/// to one that had just ended (`review/8`).
#[parameterized(
    few_budgets = { 0 },
    many_budgets = { MANY_BUDGETS },
)]
fn an_account_handed_to_a_router_that_has_ended_is_claimed(unused_budgets: usize) {
    let mut fleet = fleet_with_handover(Handovers::Held, unused_budgets);
    let receiver = fleet.receiver().unwrap();
    fleet.kill(receiver);
    let _ = fleet.request(0, 100);
    fleet.advance(RECOVERY_TIME);
    assert_all_are_served_by_one_owner(&mut fleet);
}

/// Guards against an account whose hand-over is lost on the way to a router that lives on.
#[parameterized(
    few_budgets = { 0 },
    many_budgets = { MANY_BUDGETS },
)]
fn an_account_whose_hand_over_is_lost_is_claimed(unused_budgets: usize) {
    let mut fleet = fleet_with_handover(Handovers::Held, unused_budgets);
    let _ = fleet.request(0, 100);
    fleet.advance(RECOVERY_TIME);
    assert_all_are_served_by_one_owner(&mut fleet);
}

/// Guards against the same after a planned stop, whose router is gone when the loss shows.
#[parameterized(
    the_receiver_ends = { true },
    the_receiver_lives = { false },
)]
fn an_account_handed_over_by_a_router_that_leaves_is_claimed(receiver_ends: bool) {
    let mut fleet = Fleet::with_quorum(5, TOTAL, 4, 2);
    fleet.warm_up();
    fleet.draw(0..5, 30, 200, 50);
    fleet.handovers = Handovers::Held;
    let owner = fleet.owners()[0];
    fleet.drain(owner);
    if receiver_ends {
        fleet.kill(fleet.receiver().unwrap());
    }
    for i in 0..4 {
        let _ = fleet.request(i, 100);
    }
    fleet.advance(RECOVERY_TIME);
    let staying: Vec<usize> = (0..fleet.len()).filter(|&i| !fleet.is_leaving(i)).collect();
    for i in staying {
        assert_eq!(fleet.request(i, 100), Ok(()), "router {i}");
    }
    assert_eq!(fleet.owners().len(), 1, "{:?}", fleet.owners());
}

/// Guards against two owners that spend the same tokens: one that claimed the account, and the receiver of
/// a hand-over that arrives after the claim.
#[test]
fn a_late_hand_over_is_refused_after_a_claim() {
    let mut fleet = fleet_with_handover(Handovers::Held, 0);
    let _ = fleet.request(0, 100);
    fleet.advance(RECOVERY_TIME);
    assert_all_are_served_by_one_owner(&mut fleet);
    let used = fleet.used();
    fleet.deliver_handovers();
    fleet.advance(1_000);
    assert_all_are_served_by_one_owner(&mut fleet);
    assert!(fleet.used() >= used, "{} after {used}", fleet.used());
}

/// Guards against a hand-over that arrives twice and lets its receiver spend the same tokens twice.
#[test]
fn a_repeated_hand_over_is_refused_after_a_fence() {
    let mut fleet = fleet_with_handover(Handovers::Repeated, 0);
    let receiver = fleet.receiver().unwrap();
    assert_eq!(fleet.owners(), [receiver]);
    fleet.fence(receiver);
    assert!(fleet.owners().is_empty(), "{:?}", fleet.owners());
    fleet.deliver_handovers();
    assert!(fleet.owners().is_empty(), "{:?}", fleet.owners());
}

/// A router that is named before the hand-over arrives waits for it, so that nothing is written off.
#[test]
fn a_hand_over_that_arrives_shortly_after_a_request_is_accepted() {
    let mut fleet = fleet_with_handover(Handovers::Held, 0);
    let receiver = fleet.receiver().unwrap();
    let other = (0..5).find(|&i| i != receiver).unwrap();
    let changes = fleet.changes;
    let call = fleet.send_part(other, 100, 0, None);
    fleet.advance(100);
    fleet.deliver_handovers();
    fleet.advance(100);
    assert_eq!(fleet.owners(), [receiver]);
    assert_eq!(fleet.answer(call), Some(Ok(())));
    assert_eq!(fleet.changes, changes, "the account was claimed");
    assert_eq!(fleet.lost, 0);
}

/// Nobody may spend more than the total, however hand-overs are lost, late and repeated.
#[parameterized(
    held = { Handovers::Held },
    repeated = { Handovers::Repeated },
)]
fn the_total_is_kept_beside_late_hand_overs(handovers: Handovers) {
    let mut fleet = fleet_with_handover(handovers, 0);
    let mut granted = 0;
    for round in 0..200 {
        for i in 0..fleet.len() {
            match fleet.request(i, 400) {
                Ok(()) => granted += 400,
                Err(RefusalReason::Unknown) => panic!("the budget is configured"),
                Err(_) => {}
            }
        }
        if round % 20 == 7 {
            fleet.deliver_handovers();
        }
        fleet.advance(50);
    }
    assert!(granted + 30 * 200 <= TOTAL, "{granted}");
}
