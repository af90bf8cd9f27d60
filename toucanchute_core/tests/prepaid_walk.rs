//! Random walks of prepaid machines over an unreliable store, unreliable links and routers that
//! die, freeze, leave and come back: no total is ever overspent.

#[path = "support/memory_store.rs"]
mod memory_store;
#[path = "prepaid_walk/world.rs"]
mod world;

use toucanchute_core::prepaid::Fault;
use world::{Tally, Weather, World};

/// Ticks of one walk; 50 ms each.
const TICKS: u64 = 1_200;

/// Ticks before requests begin.
const START_TICKS: u64 = 40;

/// Walks of each kind; more with `PREPAID_WALKS`.
fn walks() -> u64 {
    let walks = std::env::var("PREPAID_WALKS").ok();
    walks.and_then(|n| n.parse().ok()).unwrap_or(40)
}

const CALM: Weather = Weather {
    routers: 7,
    faults: 0.0,
    losses: 0.0,
    rate: 8.0,
};

const ROUGH: Weather = Weather {
    routers: 7,
    faults: 0.01,
    losses: 0.002,
    rate: 20.0,
};

const WILD: Weather = Weather {
    routers: 5,
    faults: 0.04,
    losses: 0.02,
    rate: 20.0,
};

fn walk(seed: u64, weather: Weather, fault: Option<Fault>) -> Result<Tally, String> {
    let mut world = World::new(seed, weather, fault);
    world.run_idle(START_TICKS);
    world.run(TICKS)?;
    Ok(world.tally)
}

macro_rules! never_overspent {
    ($($name:ident: $weather:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..walks() {
                if let Err(e) = walk(seed, $weather, None) {
                    panic!("seed {seed}: {e}");
                }
            }
        }
    )*};
}

never_overspent! {
    nothing_is_overspent_on_a_calm_day: CALM;
    nothing_is_overspent_on_a_rough_day: ROUGH;
    nothing_is_overspent_on_a_wild_day: WILD;
}

macro_rules! fault_is_found {
    ($($name:ident: $fault:ident;)*) => {$(
        #[test]
        fn $name() {
            let found = (0..1_000).any(|seed| walk(seed, ROUGH, Some(Fault::$fault)).is_err());
            assert!(found, "no walk overspends with {:?}", Fault::$fault);
        }
    )*};
}

fault_is_found! {
    a_missing_fence_is_found: SkipFence;
    ignored_marks_are_found: IgnoreMarks;
    a_refund_taken_twice_is_found: RefundTwice;
    a_forgotten_fence_is_found: AcceptFencedMarks;
    ignored_draws_are_found: IgnoreDrawn;
}

#[test]
fn a_calm_day_refuses_almost_nothing_that_is_paid_for() {
    let mut sum = Tally::default();
    for seed in 0..10 {
        let tally = walk(seed, CALM, None).unwrap();
        sum.asked += tally.asked;
        sum.owed += tally.owed;
        sum.lost += tally.lost;
    }
    assert!(sum.owed * 50 < sum.asked, "{sum:?}");
    assert_eq!(sum.lost, 0);
}
