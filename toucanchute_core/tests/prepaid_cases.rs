//! Single cases of prepaid accounts: which router may spend how much after which loss.

#[path = "prepaid_cases/contested.rs"]
mod contested;
#[path = "prepaid_cases/extensions.rs"]
mod extensions;
#[path = "prepaid_cases/fleet.rs"]
mod fleet;
#[path = "prepaid_cases/handover.rs"]
mod handover;
#[path = "support/memory_store.rs"]
mod memory_store;
#[path = "prepaid_cases/owner_loss.rs"]
mod owner_loss;
#[path = "prepaid_cases/power_loss.rs"]
mod power_loss;
#[path = "prepaid_cases/restore.rs"]
mod restore;
#[path = "prepaid_cases/store_outage.rs"]
mod store_outage;

use fleet::Fleet;
use toucanchute_core::prepaid::RefusalReason;

/// Total of the budget in these cases.
const TOTAL: u64 = 100_000;

#[test]
fn every_router_spends_through_the_one_owner() {
    let mut fleet = Fleet::new(4, TOTAL);
    fleet.warm_up();
    let owners = fleet.owners();
    assert_eq!(owners.len(), 1);
    for i in 0..4 {
        assert_eq!(fleet.request(i, 1_000), Ok(()));
    }
    assert_eq!(fleet.used(), 4_000);
}

#[test]
fn unused_tokens_are_available_to_other_requests() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.warm_up();
    let call = fleet.reserve(0, 90_000);
    assert_eq!(fleet.request(1, 50_000), Err(RefusalReason::Held));
    fleet.end(0, call, 10_000);
    assert_eq!(fleet.request(1, 50_000), Ok(()));
}

#[test]
fn a_used_up_total_is_reported_as_exhausted() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.warm_up();
    let call = fleet.reserve(0, 99_000);
    fleet.end(0, call, 99_000);
    assert_eq!(fleet.request(1, 2_000), Err(RefusalReason::Exhausted));
}

// Guards against callers who are told that their total is used up because the router that owns the account
// does not have the configuration with it yet.
#[test]
fn a_budget_that_the_owner_does_not_know_yet_is_not_reported_as_exhausted() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    fleet.remove_budgets(owner);
    let other = (0..3).find(|&i| i != owner).unwrap();
    assert_eq!(fleet.request(other, 100), Err(RefusalReason::Unavailable));
}

#[test]
fn a_planned_stop_keeps_reservations_and_loses_nothing() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.warm_up();
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
    fleet.warm_up();
    fleet.store_up = false;
    let owner = fleet.owners()[0];
    fleet.drain(owner);
    let left = (0..3).find(|&i| i != owner).unwrap();
    assert_eq!(fleet.request(left, 500), Ok(()));
}

#[test]
fn marks_of_witnesses_bound_what_a_killed_owner_spent() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
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
    fleet.warm_up();
    // 1,000 tokens per second for 20 s.
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
    fleet.warm_up();
    fleet.draw(0..5, 100, 100, 100);
    fleet.store_up = false;
    let refused = (0..80).filter(|i| {
        fleet.advance(100);
        fleet.request(i % 5, 100).is_err()
    });
    assert_eq!(refused.count(), 0);
}

/// Routers that each take the others to reach the store do not pass an account around among them.
/// Each handover is a message, and its loss leaves the account without an owner until the store is
/// available again.
#[test]
fn an_account_rarely_moves_while_no_router_reaches_the_store() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
    fleet.draw(0..5, 20, 100, 100);
    fleet.store_up = false;
    let before = fleet.changes;
    for i in 0..80 {
        fleet.advance(100);
        _ = fleet.request(i % 5, 100);
    }
    assert!(fleet.changes - before <= 4, "{}", fleet.changes - before);
}

/// Routers that were all restarted during an outage of the store discover each other only after it.
#[test]
fn restarted_routers_write_off_no_more_than_the_ramp() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
    fleet.draw(0..5, 200, 100, 100);
    for _ in 0..5 {
        fleet.kill(0);
    }
    fleet.few_clocks = true;
    fleet.advance(800);
    fleet.few_clocks = false;
    fleet.advance(2_000);
    let used = fleet.used();
    // A twentieth of the remaining tokens ahead, and 1.2 times the draw since the last checkpoint
    // (800 ms) until the clocks are known (850 ms), with their error (300 ms).
    assert!((20_000..26_400).contains(&used), "{used}");
}

#[test]
fn a_single_router_claims_accounts() {
    let mut fleet = Fleet::new(1, TOTAL);
    fleet.few_clocks = true;
    fleet.warm_up();
    assert_eq!(fleet.request(0, 1_000), Ok(()));
}

/// The draw drops during an outage of the store, and all routers end before it is over, so none of
/// them knows of the drop.
#[test]
fn a_ramp_rises_to_at_most_half_of_what_is_left() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
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
fn a_budget_can_be_spent_completely() {
    let mut fleet = Fleet::new(5, 10_000);
    fleet.warm_up();
    fleet.draw(0..5, 100, 100, 100);
    assert_eq!(fleet.request(0, 100), Err(RefusalReason::Exhausted));
}

/// Seven routers in three failure domains. One domain and one more host are lost within a second.
#[test]
fn an_account_survives_the_loss_of_its_owner_and_two_witnesses() {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    fleet.warm_up();
    fleet.draw(0..7, 200, 100, 100);
    for witness in fleet.witnesses().into_iter().take(2) {
        fleet.kill(witness);
    }
    fleet.kill(fleet.owners()[0]);
    fleet.advance(2_000);
    // Marks are 500 ms ahead of a draw of 1,000 tokens per second.
    let used = fleet.used();
    assert!((20_000..21_000).contains(&used), "{used}");
}

#[test]
fn half_of_few_witnesses_are_enough_to_spend() {
    let mut fleet = Fleet::with_quorum(4, TOTAL, 5, 3);
    fleet.warm_up();
    let witness = fleet.witnesses()[0];
    fleet.store_up = false;
    fleet.kill(witness);
    fleet.draw(0..3, 20, 100, 100);
}

/// Without the store a ramp that is used up rises no further, so waiting does not help.
#[test]
fn a_request_beyond_the_maximum_of_the_ramp_is_refused_at_once() {
    let mut fleet = Fleet::new(5, TOTAL);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    fleet.store_up = false;
    fleet.advance(2_500);
    let start = fleet.now();
    assert_eq!(
        fleet.request(owner, 60_000),
        Err(RefusalReason::Unavailable)
    );
    assert!(fleet.now() - start <= 50, "{}", fleet.now() - start);
}

/// Requests reserve ten times what they use: 2,500 tokens per second, of which 250 are used.
#[test]
fn the_pace_of_a_ramp_follows_the_tokens_used() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.warm_up();
    for i in 0..50 {
        let call = fleet.reserve(i % 3, 1_000);
        fleet.end(i % 3, call, 100);
    }
    let pace = fleet.pace();
    assert!((200..=400).contains(&pace), "{pace}");
}

/// No router can find out how much is spent, so waiting does not help.
#[test]
fn an_unreadable_record_is_reported_once_and_requests_are_refused_at_once() {
    let mut fleet = Fleet::new(3, TOTAL);
    fleet.warm_up();
    let owner = fleet.owners()[0];
    fleet.corrupt_records();
    fleet.kill(owner);
    fleet.advance(2_000);
    let reported = fleet.unreadable;
    assert!(reported > 0);
    for i in 0..10 {
        let start = fleet.now();
        assert_eq!(fleet.request(i % 3, 100), Err(RefusalReason::Unavailable));
        assert!(fleet.now() - start <= 50, "{}", fleet.now() - start);
        fleet.advance(200);
    }
    assert_eq!(fleet.unreadable, reported);
}

/// The owner finds out when its write conflicts.
#[test]
fn an_owner_reports_that_its_record_was_overwritten() {
    let mut fleet = Fleet::new(1, TOTAL);
    fleet.warm_up();
    assert_eq!(fleet.request(0, 100), Ok(()));
    fleet.corrupt_records();
    fleet.advance(2_000);
    assert!(fleet.unreadable > 0);
}
