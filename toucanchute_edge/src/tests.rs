//! Property tests of the parsers at the edges; the seed is fixed.

mod answers;
mod parsers;
mod reply;

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
