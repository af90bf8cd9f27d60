//! Measures the dispatcher against two baselines on a model of replicas.
//!
//! `cargo run --release -p toucanchute_core --example routing_load -- [SEED]`

mod engine;
mod policy;
mod report;
mod workload;
mod world;

use policy::Kind;
use report::Report;
use workload::Workload;
use world::{Setup, World};

const POLICIES: [Kind; 3] = [Kind::Dispatcher, Kind::RoundRobin, Kind::LeastReported];

/// Duration of a run, in seconds.
const DURATION: u64 = 200;

fn run(seed: u64, kind: Kind, setup: Setup) -> Report {
    World::new(seed, kind, setup).run()
}

fn setup(workload: Workload, slow: Option<f64>) -> Setup {
    Setup {
        workload,
        patience: 10_000_000,
        queue_limit: 256,
        slow,
    }
}

/// Greatest goodput of any policy at any offered rate, in requests a second.
fn capacity(seed: u64) -> f64 {
    let rates = (5..=16).map(|r| f64::from(r) * 10.0);
    let goodputs = rates.flat_map(|rate| {
        let workload = Workload::steady(rate, DURATION);
        POLICIES.map(|kind| run(seed, kind, setup(workload.clone(), None)).goodput())
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
        ("80% of capacity", setup(steady(0.8), None)),
        (
            "60%, one replica 4 times slower",
            setup(steady(0.6), Some(4.0)),
        ),
        ("60%, 10 s at 200%", setup(burst, None)),
        ("200% of capacity", setup(steady(2.0), None)),
    ];
    for (name, setup) in scenarios {
        for kind in POLICIES {
            let report = run(seed, kind, setup.clone());
            println!("{}", report.row(name, kind, capacity));
        }
    }
}
