//! Random orders of faults in fleets of several sizes in which few routers read the store: what leaves
//! is known in time to every router that is in touch with the store, and never comes back.
//!
//! `READER_FLEET=1000 READER_WALKS=5 cargo test --release -p toucanchute_core --test store_readers`

#[path = "store_readers/world.rs"]
mod world;

use std::env;

use world::{Tally, World};

/// Simulated time of one walk, in milliseconds.
const SPAN: u64 = 40_000;

fn number(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn walk(seed: u64, routers: usize, faults: bool) -> Tally {
    let mut world = World::new(seed, routers);
    world.run(SPAN, faults);
    assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    world.tally
}

macro_rules! what_leaves_is_known_in_time {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..number("READER_WALKS", 3) {
                walk(seed, $routers, true);
            }
        }
    )*};
}

what_leaves_is_known_in_time! {
    in_a_fleet_of_7: 7;
    in_a_fleet_of_30: 30;
    in_a_fleet_of_100: 100;
}

/// A fleet of any size, by hand.
#[test]
fn in_a_fleet_of_the_size_asked_for() {
    let routers = number("READER_FLEET", 0) as usize;
    for seed in 0..number("READER_WALKS", 3) {
        if routers > 0 {
            println!("seed {seed}: {:?}", walk(seed, routers, true));
        }
    }
}

/// Calls follow changes, not the number of routers.
#[test]
fn a_calm_day_takes_few_calls() {
    for routers in [7, 30, 100] {
        let tally = walk(1, routers, false);
        let watches = 2 * 2 * SPAN / world::WATCH_WAIT;
        let start = 2 * routers as u64;
        assert!(
            tally.calls <= start + watches + 4 * tally.changes,
            "{routers}: {tally:?}"
        );
    }
}
