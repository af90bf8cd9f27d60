//! Random walks of prepaid machines with an unreliable store, unreliable links and routers that
//! die, freeze, leave and restart. No total may ever be overspent.

#[path = "support/memory_store.rs"]
mod memory_store;
#[path = "prepaid_walk/simulation.rs"]
mod simulation;

use simulation::{Conditions, Simulation, WalkCounts};
use toucanchute_core::prepaid::Fault;

/// Ticks of one walk, of 50 ms each.
const TICKS: u64 = 1_200;

/// Ticks before requests begin.
const START_TICKS: u64 = 40;

/// Time after the last disruption within which each budget that is asked for has one owner, in
/// milliseconds.
const RECOVERY_TIME: u64 = 6_000;

/// The same where the store may have come back from an older copy: an owner that cannot prove itself
/// gives its account up after 5 s, and a stale record has to stay unchanged for 3 s.
const RESTORE_RECOVERY_TIME: u64 = 12_000;

/// Walks of each kind: 40, or the number in `PREPAID_WALKS`.
fn walks() -> u64 {
    let walks = std::env::var("PREPAID_WALKS").ok();
    walks.and_then(|n| n.parse().ok()).unwrap_or(40)
}

const NO_FAULTS: Conditions = Conditions {
    routers: 7,
    fault_chance: 0.0,
    message_loss: 0.0,
    requests_per_second: 8.0,
    restore_chance: 0.0,
    part_chance: 0.5,
    lost_answers: true,
    silent_end_chance: 0.0,
    unused_budgets: 0,
};

const SOME_FAULTS: Conditions = Conditions {
    routers: 7,
    fault_chance: 0.01,
    message_loss: 0.002,
    requests_per_second: 20.0,
    restore_chance: 0.0,
    part_chance: 0.5,
    lost_answers: true,
    silent_end_chance: 0.0,
    unused_budgets: 0,
};

const MANY_FAULTS: Conditions = Conditions {
    routers: 5,
    fault_chance: 0.04,
    message_loss: 0.02,
    requests_per_second: 20.0,
    restore_chance: 0.0,
    part_chance: 0.5,
    lost_answers: true,
    silent_end_chance: 0.0,
    unused_budgets: 0,
};

/// As [`MANY_FAULTS`], and each request reserves all its tokens at once.
const MANY_FAULTS_WITHOUT_PARTS: Conditions = Conditions {
    part_chance: 0.0,
    ..MANY_FAULTS
};

/// Conditions in which little is written off or kept for requests in progress, which would hide tokens
/// that are returned twice.
const FAULTS_WITH_LITTLE_LOSS: Conditions = Conditions {
    fault_chance: 0.02,
    ..MANY_FAULTS_WITHOUT_PARTS
};

/// As [`SOME_FAULTS`], and each request reserves all its tokens at once.
const SOME_FAULTS_WITHOUT_PARTS: Conditions = Conditions {
    part_chance: 0.0,
    ..SOME_FAULTS
};

/// As [`SOME_FAULTS`], and the store comes back from an older copy about every 5 s.
const RESTORES: Conditions = Conditions {
    restore_chance: 0.01,
    ..SOME_FAULTS
};

/// As [`MANY_FAULTS`], and the store comes back from an older copy about every 15 s.
const RESTORES_AND_MANY_FAULTS: Conditions = Conditions {
    restore_chance: 0.003,
    ..MANY_FAULTS
};

/// As [`SOME_FAULTS`], and routers end unnoticed while others hand accounts over.
const SILENT_ENDS: Conditions = Conditions {
    silent_end_chance: 0.02,
    ..SOME_FAULTS
};

/// As [`SILENT_ENDS`], and no account is claimed before it is needed.
const SILENT_ENDS_AND_MANY_BUDGETS: Conditions = Conditions {
    unused_budgets: 300,
    ..SILENT_ENDS
};

/// As [`SILENT_ENDS`], without other faults.
const ONLY_SILENT_ENDS: Conditions = Conditions {
    silent_end_chance: 0.04,
    ..NO_FAULTS
};

fn walk(seed: u64, conditions: Conditions, fault: Option<Fault>) -> Result<WalkCounts, String> {
    let mut simulation = Simulation::new(seed, conditions, fault);
    simulation.run_idle(START_TICKS);
    simulation.run(TICKS)?;
    Ok(simulation.counts)
}

macro_rules! never_overspent {
    ($($name:ident: $conditions:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..walks() {
                if let Err(e) = walk(seed, $conditions, None) {
                    panic!("seed {seed}: {e}");
                }
            }
        }
    )*};
}

never_overspent! {
    nothing_is_overspent_without_faults: NO_FAULTS;
    nothing_is_overspent_with_some_faults: SOME_FAULTS;
    nothing_is_overspent_with_many_faults: MANY_FAULTS;
    nothing_is_overspent_by_whole_requests_with_many_faults: MANY_FAULTS_WITHOUT_PARTS;
    // Guards against takeovers that count on a record of an older copy of the store.
    nothing_is_overspent_when_the_store_goes_back: RESTORES;
    nothing_is_overspent_when_the_store_goes_back_among_many_faults: RESTORES_AND_MANY_FAULTS;
}

macro_rules! one_owner_is_left {
    ($($name:ident: $conditions:expr, $recovery_time:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..walks() {
                let mut simulation = Simulation::new(seed, $conditions, None);
                simulation.run_idle(START_TICKS);
                let result = simulation.run(TICKS).and_then(|()| simulation.recover($recovery_time));
                if let Err(e) = result {
                    panic!("seed {seed}: {e}");
                }
            }
        }
    )*};
}

// Guards against accounts that no router claims, or that two spend from, after routers learned different
// things of their owner (`review/8`).
one_owner_is_left! {
    one_owner_is_left_after_silent_ends: ONLY_SILENT_ENDS, RECOVERY_TIME;
    one_owner_is_left_after_silent_ends_and_faults: SILENT_ENDS, RECOVERY_TIME;
    one_owner_is_left_after_silent_ends_with_many_budgets: SILENT_ENDS_AND_MANY_BUDGETS, RECOVERY_TIME;
    one_owner_is_left_after_many_faults: MANY_FAULTS, RECOVERY_TIME;
    one_owner_is_left_when_the_store_goes_back: RESTORES, RESTORE_RECOVERY_TIME;
}

macro_rules! fault_is_found {
    ($($name:ident: $fault:ident, $conditions:expr;)*) => {$(
        #[test]
        fn $name() {
            let found =
                (0..1_000).any(|seed| walk(seed, $conditions, Some(Fault::$fault)).is_err());
            assert!(found, "no walk overspends with {:?}", Fault::$fault);
        }
    )*};
}

// What requests in progress may still ask for is not spent, which would hide most faults.
fault_is_found! {
    a_missing_fence_is_found: SkipFence, SOME_FAULTS_WITHOUT_PARTS;
    ignored_marks_are_found: IgnoreMarks, SOME_FAULTS_WITHOUT_PARTS;
    a_refund_applied_twice_is_found: RefundTwice, SOME_FAULTS_WITHOUT_PARTS;
    accepted_fenced_marks_are_found: AcceptFencedMarks, FAULTS_WITH_LITTLE_LOSS;
    ignored_draws_are_found: IgnoreDrawn, SOME_FAULTS_WITHOUT_PARTS;
    refunds_of_earlier_epochs_applied_twice_are_found: RefundEarlierTwice, FAULTS_WITH_LITTLE_LOSS;
    refunds_sent_to_owners_of_two_epochs_are_found: ReaddressRefunds, FAULTS_WITH_LITTLE_LOSS;
    trusted_records_of_older_copies_are_found: TrustOldEras, RESTORES;
    extensions_that_are_not_counted_are_found: UncountedExtensions, SOME_FAULTS;
}

#[test]
fn without_faults_almost_no_covered_request_is_refused() {
    let mut sum = WalkCounts::default();
    for seed in 0..10 {
        let counts = walk(seed, NO_FAULTS, None).unwrap();
        sum.requested += counts.requested;
        sum.wrongly_refused += counts.wrongly_refused;
        sum.lost += counts.lost;
    }
    assert!(sum.wrongly_refused * 50 < sum.requested, "{sum:?}");
    assert_eq!(sum.lost, 0);
}
