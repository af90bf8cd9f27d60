//! Unit and property tests of the edge's parsers, problems and replies, with a fixed seed.

mod answers;
mod parsers;
mod reply;
mod run_record;

use proptest::test_runner::{Config, RngSeed};

/// Seed of all property tests.
const SEED: u64 = 20_261_204;

fn config() -> Config {
    println!("seed {SEED}");
    Config {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
