//! Random sequences of faults in fleets of several sizes, in which few routers read the store.
//! Every router with access to the store and its peers learns in time of each removed backend
//! server, and never uses it again, and of each failure domain that is evacuated or taken back.
//!
//! `READER_FLEET=1000 READER_WALKS=5 cargo test --release -p toucanchute_core --test store_readers`

#[path = "store_readers/world.rs"]
mod world;

use std::env;

use world::{Tally, World};

/// Simulated time of one walk, in milliseconds.
const SPAN: u64 = 40_000;

fn env_number(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn walk(seed: u64, routers: usize, faults: bool) -> Tally {
    let mut world = World::new(seed, routers);
    world.run(SPAN, faults);
    assert!(
        world.violations.is_empty(),
        "seed {seed}: {:#?}",
        world.violations
    );
    world.tally
}

macro_rules! changes_are_known_in_time {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..env_number("READER_WALKS", 3) {
                walk(seed, $routers, true);
            }
        }
    )*};
}

changes_are_known_in_time! {
    in_a_fleet_of_7: 7;
    in_a_fleet_of_30: 30;
    in_a_fleet_of_100: 100;
}

/// One walk, since a fleet of this size takes as long as all others together.
#[test]
fn in_a_fleet_of_300() {
    walk(0, 300, true);
}

/// Runs manually with a fleet of the size in `READER_FLEET`.
#[test]
fn in_a_fleet_of_the_requested_size() {
    let routers = env_number("READER_FLEET", 0) as usize;
    for seed in 0..env_number("READER_WALKS", 3) {
        if routers > 0 {
            println!("seed {seed}: {:?}", walk(seed, routers, true));
        }
    }
}

/// The number of calls to the store depends on the changes, not on the number of routers.
#[test]
fn a_fleet_without_faults_makes_few_store_calls() {
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
