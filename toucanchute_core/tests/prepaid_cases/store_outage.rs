//! The store is away for some seconds, with little left of a budget.

use toucanchute_core::prepaid::{Fault, RefusalReason};
use yare::parameterized;

use crate::fleet::Fleet;

/// Tokens spent before the outage.
const SPENT: u64 = 20_000;

/// Tokens left when the outage begins: the draw of ten seconds.
const LEFT: u64 = 10_000;

/// Tokens of one request.
const REQUEST: u64 = 100;

/// Time between two requests, in milliseconds.
const PAUSE: u64 = 100;

/// Time without power, in milliseconds.
const POWER_OUTAGE: u64 = 1_100;

/// Divisor of the remaining tokens: the most that an outage may use up or a loss of all routers may
/// write off, both together.
const MAX_GONE_DIVISOR: u64 = 2;

/// Starts routers of which one has spent [`SPENT`] tokens when the store goes away.
fn fleet_in_outage(fault: Option<Fault>) -> Fleet {
    let mut fleet = Fleet::with_fault(5, SPENT + LEFT, (3, 1), fault);
    fleet.warm_up();
    fleet.draw(0..5, (SPENT / REQUEST) as usize, REQUEST, PAUSE);
    fleet.store_up = false;
    fleet
}

/// Requests tokens at all routers in turn for `ms` milliseconds, and returns the tokens granted.
fn granted(fleet: &mut Fleet, routers: usize, ms: u64) -> u64 {
    let mut calls = Vec::new();
    for i in 0..ms / PAUSE {
        calls.push(fleet.send_part(i as usize % routers, REQUEST, 0, None));
        fleet.advance(PAUSE);
    }
    let granted = calls
        .into_iter()
        .filter(|&call| fleet.answer(call) == Some(Ok(())));
    granted.count() as u64 * REQUEST
}

/// Cuts the power of all routers and returns the tokens that the next owner counts as spent.
fn counted_after_loss_of_power(fleet: &mut Fleet) -> u64 {
    fleet.store_up = true;
    fleet.lose_power(POWER_OUTAGE);
    fleet.advance(1_200);
    fleet.few_clocks = false;
    fleet.advance(4_000);
    fleet.used()
}

/// Guards against callers that are refused in an outage of the store although more may be written off.
#[parameterized(
    of_7_s = { 7_000 },
    of_9_s = { 9_000 },
)]
fn most_of_half_of_what_is_left_is_served_in_an_outage(ms: u64) {
    let mut fleet = fleet_in_outage(None);
    let granted = granted(&mut fleet, 5, ms);
    assert!(granted >= LEFT * 2 / 5, "{granted} of {LEFT}");
    assert!(granted <= LEFT / MAX_GONE_DIVISOR, "{granted} of {LEFT}");
}

#[parameterized(
    after_1_s = { 1_000 },
    after_5_s = { 5_000 },
    after_7_s = { 7_000 },
    after_9_s = { 9_000 },
)]
fn half_of_what_is_left_remains_after_a_loss_of_power_in_an_outage(ms: u64) {
    let mut fleet = fleet_in_outage(None);
    let granted = granted(&mut fleet, 5, ms);
    let gone = counted_after_loss_of_power(&mut fleet) - SPENT;
    assert!(granted <= gone, "{granted} granted, {gone} counted");
    assert!(gone <= LEFT / MAX_GONE_DIVISOR, "{gone} of {LEFT}");
}

/// An owner that spends the late part of its ramp early is found: less is counted than was granted.
#[test]
fn a_late_part_that_is_spent_early_is_found() {
    let mut fleet = fleet_in_outage(Some(Fault::SpendLateAtOnce));
    let granted = granted(&mut fleet, 5, 4_000);
    fleet.store_up = true;
    fleet.lose_power(0);
    fleet.few_clocks = false;
    fleet.advance(1_000);
    let gone = fleet.used() - SPENT;
    assert!(granted > gone, "{granted} granted, {gone} counted");
}

/// Guards against requests that wait for a part of the ramp which does not become available in time.
#[test]
fn a_request_before_the_late_part_is_refused_at_once() {
    let mut fleet = fleet_in_outage(None);
    granted(&mut fleet, 5, 4_000);
    let owner = fleet.owners()[0];
    let start = fleet.now();
    assert_eq!(
        fleet.request(owner, REQUEST),
        Err(RefusalReason::Unavailable)
    );
    assert!(fleet.now() - start <= 50, "{}", fleet.now() - start);
}

/// A router of an earlier version would spend the late part of a ramp at once, and is not told of it.
#[parameterized(
    to_this_version = { false, 2 },
    to_an_earlier_version = { true, 4 },
)]
fn a_hand_over_in_an_outage_keeps_the_late_part(old_version: bool, divisor: u64) {
    let mut fleet = fleet_in_outage(None);
    fleet.handovers_of_old_version = old_version;
    let before = granted(&mut fleet, 5, 1_000);
    let owner = fleet.owners()[0];
    fleet.drain(owner);
    fleet.remove(owner);
    let after = granted(&mut fleet, 4, 6_000);
    let gone = before + after;
    assert!(gone <= LEFT / divisor, "{gone} of {LEFT}");
    assert!(gone >= LEFT * 3 / 4 / divisor, "{gone} of {LEFT}");
}
