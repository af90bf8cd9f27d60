//! Tests of the retry budget: it allows enough retries at once when a server ends, and never more
//! than the fleet may make in a window.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::Millis;

use crate::routing::retry::RetryBudget;

/// Largest ratio of retries to requests in the fleet, and the ratio that routers use, in percent.
const MAX_RETRY_PERCENT: u32 = 20;
const USED_PERCENT: u32 = MAX_RETRY_PERCENT * 7 / 10;

/// Window in which retries are counted, in milliseconds.
const WINDOW_MS: u64 = 10_000;

// Guards against too few retries in a large fleet, where each router has a small part of the
// allowance, when a server ends with several requests of one router in flight.
#[test]
fn a_router_of_a_large_fleet_can_retry_what_a_server_left_unanswered() {
    let mut budget = RetryBudget::new();
    budget.configure(USED_PERCENT, 1);
    for i in 0..100 {
        budget.record_fresh(Millis(i * 100));
    }
    let retried = (0..10).filter(|_| budget.try_take(Millis(10_000))).count();
    assert!(retried >= 2, "{retried}");
}

// Guards against routers that together make more retries than the fleet may, at any coincidence of
// load and failures.
#[test]
fn no_window_has_more_retries_than_the_fleet_may_make() {
    for seed in 0..200 {
        random_walk(seed);
    }
}

fn random_walk(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let routers = rng.random_range(1..40);
    let allowance = rng.random_range(0..200);
    let burst = allowance * 7 / 10 / routers;
    let mut budgets: Vec<RetryBudget> = (0..routers).map(|_| RetryBudget::new()).collect();
    for budget in &mut budgets {
        budget.configure(USED_PERCENT, burst);
    }
    let (mut fresh, mut retries) = (VecDeque::new(), VecDeque::new());
    // Long times without failures let routers save the largest number of retries.
    let (mut rate, mut failing) = (1.0, false);
    for now in (0..60_000).step_by(50) {
        if rng.random_ratio(1, 60) {
            rate = rng.random_range(0.0..8.0);
        }
        let change = if failing { 20 } else { 300 };
        failing ^= rng.random_ratio(1, change);
        for budget in &mut budgets {
            for _ in 0..rng.random_range(0.0..=rate / 4.0 + 0.6) as u32 {
                budget.record_fresh(Millis(now));
                fresh.push_back(now);
            }
            while failing && budget.try_take(Millis(now)) {
                retries.push_back(now);
            }
        }
        let within = |times: &VecDeque<u64>, from: u64, until: u64| {
            times.iter().filter(|&&t| t >= from && t < until).count()
        };
        if now < WINDOW_MS {
            continue;
        }
        let (from, until) = (now - WINDOW_MS, now);
        let windows = [
            from,
            from.saturating_sub(WINDOW_MS),
            from.saturating_sub(WINDOW_MS / 2),
        ];
        let requests = windows.map(|w| within(&fresh, w, w + WINDOW_MS));
        let most = requests.into_iter().max().unwrap_or(0);
        let bound = most * MAX_RETRY_PERCENT as usize / 100 + allowance as usize;
        let made = within(&retries, from, until);
        assert!(made <= bound, "seed {seed}: {made} of {bound} at {now}");
        while fresh.front().is_some_and(|&t| t + 3 * WINDOW_MS < now) {
            fresh.pop_front();
        }
        while retries.front().is_some_and(|&t| t + 2 * WINDOW_MS < now) {
            retries.pop_front();
        }
    }
}
