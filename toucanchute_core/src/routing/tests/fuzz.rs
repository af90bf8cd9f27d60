//! Fuzz test of three dispatchers against the oracle.

use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use yare::parameterized;

use super::{
    simulation::Simulation,
    steps::{Step, steps, steps_with_evacuations},
};
use crate::routing::{Dispatcher, fault::Fault};

/// Number of cases without a fault, none of which may violate an invariant.
const CASES: u32 = 400;

/// Number of cases per seed in which a deliberate fault has to be detected.
const FAULT_CASES: u32 = 2_000;

/// Interval between two ticks where a test does not set another one, in milliseconds.
const TICK_INTERVAL: u64 = 20;

fn fuzz(
    seed: u64,
    tick_interval: u64,
    cases: u32,
    fault: Option<Fault>,
) -> Result<(), TestError<Vec<Step>>> {
    println!("seed={seed} tick_interval={tick_interval} cases={cases} fault={fault:?}");
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 4_096,
        ..Config::default()
    };
    TestRunner::new(config).run(&steps(), |steps| {
        let result = Simulation::new(seed, tick_interval, fault).run(&steps);
        result.map(drop).map_err(TestCaseError::fail)
    })
}

/// Runs steps among which failure domains are evacuated.
fn fuzz_evacuations(seed: u64, fault: Option<Fault>) -> Result<(), TestError<Vec<Step>>> {
    println!("seed={seed} cases={CASES} fault={fault:?}");
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config).run(&steps_with_evacuations(), |steps| {
        let result = Simulation::new(seed, TICK_INTERVAL, fault).run(&steps);
        result.map(drop).map_err(TestCaseError::fail)
    })
}

/// Guards against work for a replica of an evacuated failure domain, on any way to it, and against calls
/// that are forgotten in an evacuation.
#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
)]
fn invariants_hold_while_domains_are_evacuated(seed: u64) {
    if let Err(e) = fuzz_evacuations(seed, None) {
        panic!("seed {seed}: {e}");
    }
}

#[test]
fn ignored_evacuations_are_detected() {
    let found = match fuzz_evacuations(1, Some(Fault::IgnoreEvacuations)) {
        Err(TestError::Fail(reason, _)) => reason.message().to_owned(),
        _ => String::new(),
    };
    assert_eq!(found, "a replica of an evacuated domain gets no work");
}

#[parameterized(
    seed_1 = { 1, TICK_INTERVAL },
    seed_2 = { 2, TICK_INTERVAL },
    seed_3 = { 3, TICK_INTERVAL },
    longest_ticks_seed_1 = { 1, Dispatcher::MAX_TICK_INTERVAL.0 },
    longest_ticks_seed_2 = { 2, Dispatcher::MAX_TICK_INTERVAL.0 },
    longest_ticks_seed_3 = { 3, Dispatcher::MAX_TICK_INTERVAL.0 },
)]
fn invariants_hold(seed: u64, tick_interval: u64) {
    if let Err(e) = fuzz(seed, tick_interval, CASES, None) {
        panic!("seed {seed}: {e}");
    }
}

#[parameterized(
    use_withdrawn = { Fault::UseWithdrawn, "a withdrawn replica gets no work" },
    exceed_concurrency = { Fault::ExceedConcurrency, "concurrency stays within its limit" },
    start_late = { Fault::StartLate, "no call starts after its deadline" },
    drop_late = { Fault::DropLate, "every call is answered" },
    hide_claims = { Fault::HideClaims, "no two suspects run on one replica" },
    never_quarantine = { Fault::NeverQuarantine, "a poison request crashes at most two replicas" },
    drop_verdicts = { Fault::DropVerdicts, "a poison request crashes at most two replicas" },
    uncounted_retries = { Fault::UncountedRetries, "retries stay within their budget" },
    never_eject = { Fault::NeverEject, "an unreachable replica gets no work during its ejection" },
)]
fn a_deliberate_fault_is_detected(fault: Fault, invariant: &str) {
    let found = (0..4).any(
        |seed| match fuzz(seed, TICK_INTERVAL, FAULT_CASES, Some(fault)) {
            Err(TestError::Fail(reason, _)) => {
                println!("violated invariant: {reason}");
                reason.message() == invariant
            }
            _ => false,
        },
    );
    assert!(
        found,
        "{fault:?} does not violate the invariant \"{invariant}\""
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let step = |i: u64| Step::Call {
        router: 0,
        customer: (i % 3) as u8,
        tokens: i * 7 % 300,
        timeout: 500,
    };
    let steps: Vec<Step> = (0..200)
        .flat_map(|i| [step(i), Step::Advance(i % 11)])
        .collect();
    let run = || Simulation::new(5, TICK_INTERVAL, None).run(&steps).unwrap();
    assert_eq!(run(), run());
}
