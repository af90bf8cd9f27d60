//! A store that comes back from an older copy, with and without the loss of routers.

use crate::fleet::Fleet;

/// Total of the budget in these cases.
const TOTAL: u64 = 40_000;

/// Number of draws before and after the copy, and the tokens of each.
const DRAWS: usize = 100;
const TOKENS: u64 = 100;

/// Pause between two draws, in milliseconds.
const PAUSE: u64 = 100;

/// Starts routers, draws, copies the store and draws on. Returns the fleet and the tokens drawn.
fn fleet_after_copy() -> (Fleet, crate::memory_store::MemoryStore, u64) {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    fleet.warm_up();
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    let copy = fleet.copy_store();
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    (fleet, copy, 2 * DRAWS as u64 * TOKENS)
}

/// Lets routers that have just started find each other and take accounts over.
fn settle_restart(fleet: &mut Fleet) {
    fleet.advance(2_000);
    fleet.few_clocks = false;
    fleet.advance(6_000);
}

// Guards against a customer that gets more than it paid for because a takeover counts on the record of an
// older copy (BUDGET).
#[test]
fn nothing_is_overspent_after_a_restore_and_a_loss_of_power() {
    let (mut fleet, copy, drawn) = fleet_after_copy();
    fleet.restore_store(copy);
    fleet.lose_power(2_000);
    settle_restart(&mut fleet);
    let granted = fleet.exhaust(TOKENS);
    assert!(drawn + granted <= TOTAL, "{drawn} and {granted}");
}

#[test]
fn nothing_is_overspent_if_the_copy_has_no_record() {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    let copy = fleet.copy_store();
    fleet.warm_up();
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    fleet.restore_store(copy);
    fleet.lose_power(2_000);
    settle_restart(&mut fleet);
    let granted = fleet.exhaust(TOKENS);
    let drawn = DRAWS as u64 * TOKENS;
    assert!(drawn + granted <= TOTAL, "{drawn} and {granted}");
}

#[test]
fn an_owner_that_lives_goes_on_and_loses_nothing() {
    let (mut fleet, copy, drawn) = fleet_after_copy();
    fleet.restore_store(copy);
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    assert_eq!(fleet.used(), drawn + DRAWS as u64 * TOKENS);
}

// Guards against a loss of all tokens in the moment after a restore: by then the owner has written its
// record again.
#[test]
fn a_loss_of_power_some_time_after_a_restore_writes_off_only_the_ramp() {
    let (mut fleet, copy, drawn) = fleet_after_copy();
    fleet.restore_store(copy);
    fleet.advance(500);
    fleet.lose_power(2_000);
    settle_restart(&mut fleet);
    let granted = fleet.exhaust(TOKENS);
    assert!(drawn + granted <= TOTAL, "{drawn} and {granted}");
    assert!(granted >= (TOTAL - drawn) / 3, "{granted} left");
}

#[test]
fn an_owner_of_a_later_epoch_than_the_copy_goes_on() {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    fleet.warm_up();
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    let copy = fleet.copy_store();
    let owner = fleet.owners()[0];
    fleet.kill(owner);
    fleet.advance(2_000);
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    let used = fleet.used();
    fleet.restore_store(copy);
    fleet.draw(0..7, 20, TOKENS, PAUSE);
    assert_eq!(fleet.used(), used + 20 * TOKENS);
}

#[test]
fn two_restores_in_a_row_lose_nothing() {
    let (mut fleet, copy, drawn) = fleet_after_copy();
    fleet.restore_store(copy.clone());
    fleet.draw(0..7, 3, TOKENS, PAUSE);
    fleet.restore_store(copy);
    fleet.draw(0..7, 20, TOKENS, PAUSE);
    assert_eq!(fleet.used(), drawn + 23 * TOKENS);
}

// Guards against an owner that was cut off and superseded before a restore, which makes the store forget
// its successor.
#[test]
fn an_owner_that_was_superseded_before_a_restore_does_not_spend() {
    let mut fleet = Fleet::with_quorum(7, TOTAL, 5, 3);
    fleet.warm_up();
    fleet.draw(0..7, DRAWS, TOKENS, PAUSE);
    let copy = fleet.copy_store();
    let old = fleet.owners()[0];
    fleet.isolate(old);
    fleet.lose_store(old);
    let asked = usize::from(old == 0);
    fleet.advance(6_000);
    let mut granted = 0;
    for _ in 0..DRAWS {
        granted += u64::from(fleet.request(asked, TOKENS).is_ok()) * TOKENS;
        fleet.advance(PAUSE);
    }
    fleet.restore_store(copy);
    granted += fleet.exhaust(TOKENS);
    let drawn = DRAWS as u64 * TOKENS;
    assert!(drawn + granted <= TOTAL, "{drawn} and {granted}");
}
