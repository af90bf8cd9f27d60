//! Random walks of several routers under load and faults, checked by an oracle.
//!
//! `TOUCANCHUTE_FUZZ_RUNS` sets the number of walks, `TOUCANCHUTE_FUZZ_STEPS` the steps of each and
//! `TOUCANCHUTE_FUZZ_SEED` the first seed.

use std::{collections::BTreeMap, env};

use toucanchute_core::ledger::Fault;

#[path = "money_fuzz/inject.rs"]
mod inject;
#[path = "support/memory_store.rs"]
mod memory_store;
#[path = "money_fuzz/oracle.rs"]
mod oracle;
#[path = "support/sim.rs"]
mod sim;
#[path = "money_fuzz/summary.rs"]
mod summary;
#[path = "money_fuzz/walk.rs"]
mod walk;
#[path = "money_fuzz/work.rs"]
mod work;

use summary::Summary;
use walk::{Walk, backing};

/// First seed of the walks.
const SEED: u64 = 20_261_204;

fn env_setting(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

#[test]
fn money_is_kept_under_faults() {
    let runs = env_setting("TOUCANCHUTE_FUZZ_RUNS", 40);
    let steps = env_setting("TOUCANCHUTE_FUZZ_STEPS", 400) as u32;
    let first = env_setting("TOUCANCHUTE_FUZZ_SEED", SEED);
    let mut sum = Summary::default();
    let mut by_backing: BTreeMap<(u8, u8), Summary> = BTreeMap::new();
    for seed in first..first + runs {
        let mut walk = Walk::new(seed, None);
        if let Err(found) = walk.run(steps) {
            panic!("seed {seed}, {steps} steps: {found}");
        }
        sum.add(&walk.summary);
        by_backing
            .entry(backing(seed))
            .or_default()
            .add(&walk.summary);
    }
    for ((witnesses, acks), part) in by_backing {
        println!("{acks} of {witnesses} witnesses: {part:?}");
    }
    println!("seeds {first}.. {runs} runs of {steps} steps: {sum:?}");
    // The bounds hold for sums over many walks only: a single walk may have no transfer.
    let enough = [
        sum.complete > runs * 20,
        sum.transfers > runs,
        sum.chunks > runs,
    ];
    assert!(
        runs < 10 || enough == [true; 3],
        "too few complete answers, transfers or chunks: {sum:?}"
    );
}

/// Returns the first seed at which the oracle detects a fault, and what it reports.
fn first_caught(fault: Fault) -> Option<(u64, String)> {
    (SEED..SEED + 200).find_map(|seed| {
        let found = Walk::new(seed, Some(fault)).run(400).err()?;
        Some((seed, found))
    })
}

macro_rules! caught {
    ($($name:ident: $fault:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            let found = first_caught(Fault::$fault);
            println!("{}: {found:?}", stringify!($name));
            assert!(found.is_some(), "the oracle did not detect the fault");
        }
    )*};
}

caught! {
    catches_a_skipped_ring_check: SkipRingCheck,
    catches_skipped_deduplication: SkipDeduplication,
    catches_a_top_up_credited_again: RecreditTopUp,
    catches_a_reclaim_without_fence: ReclaimWithoutFence,
    catches_a_forgotten_witness_incarnation: ForgetWitnessIncarnation,
    catches_an_early_end_mark: ReleaseBeforeCommit,
    catches_a_call_sent_before_its_intent_is_committed: SendBeforeCommit,
    catches_a_transfer_credited_twice: CreditTransferTwice,
}
