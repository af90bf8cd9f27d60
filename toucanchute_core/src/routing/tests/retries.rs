//! How many retries routers allow: enough at once for a server that ends, and never more than the
//! fleet may make in a window.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::Millis;

use crate::routing::retry::RetryBudget;

/// Ratio of retries to requests that the fleet may make, in percent, and the part that is used.
const RATIO: u32 = 20;
const PERCENT: u32 = RATIO * 7 / 10;

/// Window in which retries are counted, in milliseconds.
const WINDOW: u64 = 10_000;

// Pattern: a server ends with several requests of one router in flight; a large fleet leaves each
// router a small part of the allowance.
#[test]
fn a_router_of_a_large_fleet_repeats_what_a_server_left() {
    let mut budget = RetryBudget::new();
    budget.configure(PERCENT, 1);
    for i in 0..100 {
        budget.fresh(Millis(i * 100));
    }
    let repeated = (0..10).filter(|_| budget.take(Millis(10_000))).count();
    assert!(repeated >= 2, "{repeated}");
}

// Guards against routers that together repeat more than the fleet may, however load and failures
// fall together.
#[test]
fn no_window_has_more_retries_than_the_fleet_may_make() {
    for seed in 0..200 {
        walk(seed);
    }
}

fn walk(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let routers = rng.random_range(1..40);
    let allowance = rng.random_range(0..200);
    let burst = allowance * 7 / 10 / routers;
    let mut budgets: Vec<RetryBudget> = (0..routers).map(|_| RetryBudget::new()).collect();
    for budget in &mut budgets {
        budget.configure(PERCENT, burst);
    }
    let (mut fresh, mut retries) = (VecDeque::new(), VecDeque::new());
    // Long times without failures let routers save up all they may.
    let (mut rate, mut failing) = (1.0, false);
    for now in (0..60_000).step_by(50) {
        if rng.random_ratio(1, 60) {
            rate = rng.random_range(0.0..8.0);
        }
        let change = if failing { 20 } else { 300 };
        failing ^= rng.random_ratio(1, change);
        for budget in &mut budgets {
            for _ in 0..rng.random_range(0.0..=rate / 4.0 + 0.6) as u32 {
                budget.fresh(Millis(now));
                fresh.push_back(now);
            }
            while failing && budget.take(Millis(now)) {
                retries.push_back(now);
            }
        }
        let within = |times: &VecDeque<u64>, from: u64, until: u64| {
            times.iter().filter(|&&t| t >= from && t < until).count()
        };
        if now < WINDOW {
            continue;
        }
        let (from, until) = (now - WINDOW, now);
        let windows = [
            from,
            from.saturating_sub(WINDOW),
            from.saturating_sub(WINDOW / 2),
        ];
        let requests = windows.map(|w| within(&fresh, w, w + WINDOW));
        let most = requests.into_iter().max().unwrap_or(0);
        let bound = most * RATIO as usize / 100 + allowance as usize;
        let made = within(&retries, from, until);
        assert!(made <= bound, "seed {seed}: {made} of {bound} at {now}");
        while fresh.front().is_some_and(|&t| t + 3 * WINDOW < now) {
            fresh.pop_front();
        }
        while retries.front().is_some_and(|&t| t + 2 * WINDOW < now) {
            retries.pop_front();
        }
    }
}
