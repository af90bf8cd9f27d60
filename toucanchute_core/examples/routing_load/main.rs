//! Compares the dispatcher with two baseline policies on a model of replicas.
//!
//! `cargo run --release -p toucanchute_core --example routing_load -- [SEED]`

mod engine;
mod policy;
mod report;
mod simulation;
mod workload;

use policy::PolicyKind;
use report::Report;
use simulation::{Scenario, Simulation};
use workload::Workload;

const POLICIES: [PolicyKind; 3] = [
    PolicyKind::Dispatcher,
    PolicyKind::RoundRobin,
    PolicyKind::LeastReported,
];

/// Duration of a run, in seconds.
const DURATION: u64 = 200;

fn run(seed: u64, kind: PolicyKind, scenario: Scenario) -> Report {
    Simulation::new(seed, kind, scenario).run()
}

fn scenario(workload: Workload, slowdown: Option<f64>) -> Scenario {
    Scenario {
        workload,
        timeout: 10_000_000,
        queue_limit: 256,
        slowdown,
    }
}

/// Returns the largest goodput of any policy at any offered rate, in requests per second.
fn capacity(seed: u64) -> f64 {
    let rates = (5..=16).map(|r| f64::from(r) * 10.0);
    let goodputs = rates.flat_map(|rate| {
        let workload = Workload::steady(rate, DURATION);
        POLICIES.map(|kind| run(seed, kind, scenario(workload.clone(), None)).goodput())
    });
    goodputs.fold(0.0, f64::max)
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let capacity = capacity(seed);
    println!("seed={seed} capacity={capacity:.1} requests/s\n");
    println!("{}", Report::HEADER);
    let steady = |share: f64| Workload::steady(capacity * share, DURATION);
    let burst = Workload::burst(capacity * 0.6, capacity * 2.0, DURATION);
    let scenarios = [
        ("80% of capacity", scenario(steady(0.8), None)),
        (
            "60%, one replica 4 times slower",
            scenario(steady(0.6), Some(4.0)),
        ),
        ("60%, 10 s at 200%", scenario(burst, None)),
        ("200% of capacity", scenario(steady(2.0), None)),
    ];
    for (name, scenario) in scenarios {
        for kind in POLICIES {
            let report = run(seed, kind, scenario.clone());
            println!("{}", report.row(name, kind, capacity));
        }
    }
}
