//! Single situations of prepaid accounts: who may spend what after which loss.

#[path = "prepaid_cases/contested.rs"]
mod contested;
#[path = "prepaid_cases/fleet.rs"]
mod fleet;
#[path = "support/memory_store.rs"]
mod memory_store;

use fleet::Fleet;
use toucanchute_core::prepaid::RefusalReason;

/// Total of the budget in these cases.
const TOTAL: u64 = 100_000;

#[test]
fn every_router_spends_from_the_one_owner() {
    let mut fleet = Fleet::new(4, TOTAL);
    fleet.settle_in();
    let owners = fleet.owners();
    assert_eq!(owners.len(), 1);
    for i in 0..4 {
        assert_eq!(fleet.ask(i, 1_000), Ok(()));
    }
    assert_eq!(fleet.used(), 4_000);
}

#[test]
fn what_was_not_used_is_there_for_others() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.settle_in();
    let call = fleet.reserve(0, 90_000);
    assert_eq!(fleet.ask(1, 50_000), Err(RefusalReason::Held));
    fleet.end(0, call, 10_000);
    assert_eq!(fleet.ask(1, 50_000), Ok(()));
}

#[test]
fn a_total_that_is_used_up_is_told_as_exhausted() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.settle_in();
    let call = fleet.reserve(0, 99_000);
    fleet.end(0, call, 99_000);
    assert_eq!(fleet.ask(1, 2_000), Err(RefusalReason::Exhausted));
}

#[test]
fn a_planned_stop_keeps_reservations_and_loses_nothing() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.settle_in();
    let owner = fleet.owners()[0];
    let other = (owner + 1) % 3;
    let call = fleet.reserve(other, 60_000);
    fleet.drain(owner);
    assert_ne!(fleet.owners(), [owner]);
    fleet.end(other, call, 5_000);
    assert_eq!(fleet.used(), 5_000);
}

#[test]
fn a_planned_stop_needs_no_store() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.settle_in();
    fleet.store_up = false;
    let owner = fleet.owners()[0];
    fleet.drain(owner);
    let left = (0..3).find(|&i| i != owner).unwrap();
    assert_eq!(fleet.ask(left, 500), Ok(()));
}

#[test]
fn witnesses_tell_what_a_killed_owner_spent() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    let owner = fleet.owners()[0];
    fleet.draw([owner], 20, 1_000, 50);
    fleet.kill(owner);
    fleet.advance(2_000);
    let used = fleet.used();
    assert!((20_000..26_000).contains(&used), "{used}");
}

#[test]
fn with_all_routers_gone_only_the_ramp_is_written_off() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    // 1,000 tokens a second for 20 s.
    fleet.draw(0..5, 200, 100, 100);
    for _ in 0..5 {
        fleet.kill(0);
    }
    fleet.advance(2_000);
    let used = fleet.used();
    assert!((20_000..32_000).contains(&used), "{used}");
}

#[test]
fn an_outage_of_the_store_stops_no_steady_draw() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    fleet.draw(0..5, 100, 100, 100);
    fleet.store_up = false;
    let refused = (0..80).filter(|i| {
        fleet.advance(100);
        fleet.ask(i % 5, 100).is_err()
    });
    assert_eq!(refused.count(), 0);
}

/// Routers that think of each other that they reach the store do not hand an account round: each
/// handover is a message whose loss leaves the account without an owner until the store is back.
#[test]
fn an_outage_of_the_store_for_all_moves_an_account_seldom() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    fleet.draw(0..5, 20, 100, 100);
    fleet.store_up = false;
    let before = fleet.changes;
    for i in 0..80 {
        fleet.advance(100);
        _ = fleet.ask(i % 5, 100);
    }
    assert!(fleet.changes - before <= 4, "{}", fleet.changes - before);
}

/// Routers that were all restarted in an outage of the store meet each other only after it.
#[test]
fn routers_that_are_about_to_meet_write_off_no_more_than_the_ramp() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    fleet.draw(0..5, 200, 100, 100);
    for _ in 0..5 {
        fleet.kill(0);
    }
    fleet.few_clocks = true;
    fleet.advance(800);
    fleet.few_clocks = false;
    fleet.advance(2_000);
    let used = fleet.used();
    // A twentieth of what is left ahead, and 1.2 times the draw since the last checkpoint (800 ms),
    // until the clocks are known (850 ms), with their error (300 ms).
    assert!((20_000..26_400).contains(&used), "{used}");
}

#[test]
fn a_router_without_others_claims_accounts_all_the_same() {
    let mut fleet = Fleet::new(1, TOTAL);
    fleet.few_clocks = true;
    fleet.settle_in();
    assert_eq!(fleet.ask(0, 1_000), Ok(()));
}

/// The draw falls in an outage of the store, and all routers end in it: nobody knows that it fell.
#[test]
fn a_ramp_reaches_no_further_than_half_of_what_is_left() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    fleet.draw(0..5, 100, 100, 100);
    let before = fleet.used();
    fleet.store_up = false;
    fleet.advance(90_000);
    for _ in 0..5 {
        fleet.kill(0);
    }
    fleet.store_up = true;
    fleet.advance(2_000);
    let lost = fleet.used() - before;
    assert!(lost <= (TOTAL - before) / 2 + 1_000, "{lost}");
}

#[test]
fn a_budget_is_spent_to_its_end() {
    let mut fleet = Fleet::new(5, 10_000);
    fleet.settle_in();
    fleet.draw(0..5, 100, 100, 100);
    assert_eq!(fleet.ask(0, 100), Err(RefusalReason::Exhausted));
}

/// Seven routers in three failure domains: a domain and one more host are lost within a second.
#[test]
fn an_account_outlives_its_owner_and_two_witnesses() {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    fleet.settle_in();
    fleet.draw(0..7, 200, 100, 100);
    for witness in fleet.witnesses().into_iter().take(2) {
        fleet.kill(witness);
    }
    fleet.kill(fleet.owners()[0]);
    fleet.advance(2_000);
    // Marks run 500 ms ahead of 1,000 tokens a second.
    let used = fleet.used();
    assert!((20_000..21_000).contains(&used), "{used}");
}

#[test]
fn half_of_few_witnesses_are_enough_to_spend() {
    let mut fleet = Fleet::with_quorum(4, TOTAL, 5, 3);
    fleet.settle_in();
    let witness = fleet.witnesses()[0];
    fleet.store_up = false;
    fleet.kill(witness);
    fleet.draw(0..3, 20, 100, 100);
}

/// Without the store a ramp that is used up grows no more: waiting is in vain.
#[test]
fn a_request_beyond_the_ramps_top_is_refused_at_once() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.settle_in();
    let owner = fleet.owners()[0];
    fleet.store_up = false;
    fleet.advance(2_500);
    let asked = fleet.now();
    assert_eq!(fleet.ask(owner, 60_000), Err(RefusalReason::Unavailable));
    assert!(fleet.now() - asked <= 50, "{}", fleet.now() - asked);
}

/// Requests set aside ten times what they use: 2,500 tokens a second, of which 250 are used.
#[test]
fn the_pace_of_a_ramp_is_that_of_what_is_used() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.settle_in();
    for i in 0..50 {
        let call = fleet.reserve(i % 3, 1_000);
        fleet.end(i % 3, call, 100);
    }
    let pace = fleet.pace();
    assert!((200..=400).contains(&pace), "{pace}");
}

/// Nobody can tell what is spent, so waiting is in vain.
#[test]
fn a_record_that_cannot_be_decoded_is_told_once_and_its_requests_are_refused_at_once() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.settle_in();
    let owner = fleet.owners()[0];
    fleet.scribble();
    fleet.kill(owner);
    fleet.advance(2_000);
    let told = fleet.unreadable;
    assert!(told > 0);
    for i in 0..10 {
        let asked = fleet.now();
        assert_eq!(fleet.ask(i % 3, 100), Err(RefusalReason::Unavailable));
        assert!(fleet.now() - asked <= 50, "{}", fleet.now() - asked);
        fleet.advance(200);
    }
    assert_eq!(fleet.unreadable, told);
}

/// The owner finds out by a write that conflicts.
#[test]
fn an_owner_whose_record_was_overwritten_tells_so() {
    let mut fleet = Fleet::new(1, TOTAL);
    fleet.settle_in();
    assert_eq!(fleet.ask(0, 100), Ok(()));
    fleet.scribble();
    fleet.advance(2_000);
    assert!(fleet.unreadable > 0);
}
