//! All routers lose power at the same time, with little left of a budget.

use yare::parameterized;

use crate::fleet::Fleet;

/// Tokens drawn in one second before the loss of power.
const DRAW: u64 = 1_000;

/// Tokens spent before the loss of power.
const SPENT: u64 = 20_000;

/// Time without power, in milliseconds.
const OUTAGE: u64 = 3_000;

/// Divisor of the remaining tokens: the most that a loss of all routers may write off, so that most
/// of them serve requests afterwards.
const MAX_LOST_DIVISOR: u64 = 4;

/// Spends [`SPENT`] tokens, cuts the power of all routers, and returns the tokens that count as spent
/// after that though nobody used them.
fn written_off(left: u64) -> u64 {
    let mut fleet = Fleet::new(5, SPENT + left);
    fleet.warm_up();
    fleet.draw(0..5, (SPENT / 100) as usize, 100, 100 * 1_000 / DRAW);
    fleet.lose_power(OUTAGE);
    fleet.advance(800);
    fleet.few_clocks = false;
    fleet.advance(3_000);
    fleet.used() - SPENT
}

// Guards against a takeover after a loss of all routers that writes off much of a nearly spent budget,
// so that requests which are owed are refused.
#[parameterized(
    left_1_000 = { DRAW },
    left_3_000 = { 3 * DRAW },
    left_10_000 = { 10 * DRAW },
    left_60_000 = { 60 * DRAW },
)]
fn a_loss_of_power_writes_off_little_of_what_is_left(left: u64) {
    let lost = written_off(left);
    assert!(lost <= left / MAX_LOST_DIVISOR, "{lost} of {left}");
}

/// Guards against a burst of requests after which the record allows all that is left to be spent at once,
/// so that a loss of power writes all of it off.
#[test]
fn a_loss_of_power_after_a_burst_writes_off_little_of_what_is_left() {
    let left = 10_000;
    let mut fleet = Fleet::new(5, 10 * left);
    fleet.warm_up();
    for i in 0..18 {
        fleet.reserve(i % 5, left / 2);
    }
    fleet.advance(2_000);
    fleet.lose_power(OUTAGE);
    fleet.advance(800);
    fleet.few_clocks = false;
    fleet.advance(3_000);
    let lost = fleet.used() - 9 * left;
    assert!(lost <= left / MAX_LOST_DIVISOR, "{lost} of {left}");
}
