//! Fuzz test of five routers, checked by the oracle.

use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use yare::parameterized;

use super::{
    oracle::{Oracle, Violation},
    steps::{Listed, Step, steps},
    world::World,
};
use crate::fleet::fault::Fault;

/// Number of cases in a run that must find no violation.
const CASES: u32 = 150;

/// Number of cases in which a deliberate fault must be detected.
const FAULT_CASES: u32 = 300;

fn run(world: &mut World, steps: &[Step]) -> Result<(), Violation> {
    world.advance(3_000)?;
    for step in steps {
        world.step(step)?;
    }
    settle(world)
}

/// Ends all faults. Then withdraws a backend server and applies a configuration while one router is
/// cut off from the platform.
fn settle(world: &mut World) -> Result<(), Violation> {
    world.heal();
    world.advance(12_000)?;
    world.step(&Step::CutPlatform {
        router: 0,
        cut: true,
    })?;
    let (backend, listed) = (0, Listed::Leaving);
    world.step(&Step::List { backend, listed })?;
    world.step(&Step::Apply)?;
    world.advance(3_000)?;
    Oracle::check_settled(world)
}

fn fuzz(seed: u64, cases: u32, fault: Option<Fault>) -> Result<(), TestError<Vec<Step>>> {
    println!("seed={seed} cases={cases} fault={fault:?}");
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 128,
        ..Config::default()
    };
    TestRunner::new(config).run(&steps(), |steps| {
        let mut world = World::new(seed, fault);
        run(&mut world, &steps).map_err(TestCaseError::fail)
    })
}

#[parameterized(
    seed_1 = { 1 },
    seed_2 = { 2 },
    seed_3 = { 3 },
)]
fn holds_all_guarantees(seed: u64) {
    if let Err(e) = fuzz(seed, CASES, None) {
        panic!("seed {seed}: {e}");
    }
}

#[parameterized(
    accept_older = { Fault::AcceptOlder, "versions in force rise" },
    ignore_age = { Fault::IgnoreAge, "is in force within" },
    trust_any_peer = { Fault::TrustAnyPeer, "is in force within" },
    count_from_receipt = { Fault::CountFromReceipt, "is in force within" },
    outage_alone = { Fault::OutageAlone, "is in force within" },
    forget_unlisted = { Fault::ForgetUnlisted, "a withdrawal is in force within 3 s" },
    refuse_early = { Fault::RefuseEarly, "a leaving router accepts until lists expire" },
    exit_busy = { Fault::ExitBusy, "a leaving router finishes its requests" },
    stay_listed = { Fault::StayListed, "a leaving router lists itself no more" },
    never_refute = { Fault::NeverRefute, "without faults every router is listed" },
)]
fn a_fault_is_detected(fault: Fault, guarantee: &str) {
    let found = (0..4).any(|seed| match fuzz(seed, FAULT_CASES, Some(fault)) {
        Err(TestError::Fail(reason, _)) => {
            println!("broken guarantee: {reason}");
            reason.message().contains(guarantee)
        }
        _ => false,
    });
    assert!(
        found,
        "{fault:?} does not break the guarantee \"{guarantee}\""
    );
}
