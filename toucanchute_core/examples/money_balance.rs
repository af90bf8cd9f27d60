//! Measures overspent tokens and false refusals while a budget is used up, and the cost of the
//! ledger in store calls, bytes and time.
//!
//! `cargo run --release -p toucanchute_core --example money_balance [SEED]`

use std::{env, time::Instant};

use toucanchute_core::ledger::ShardState;
use toucanchute_proto::{
    BudgetId, Digest, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Backing, Batch, Bill, Entry, EntryBody, GrantRequest, TopUp},
    to_cbor,
};

#[path = "money_balance/baseline.rs"]
mod baseline;
#[path = "money_balance/load.rs"]
mod load;
#[path = "../tests/support/memory_store.rs"]
mod memory_store;
#[path = "money_balance/run.rs"]
mod run;
#[path = "../tests/support/sim.rs"]
mod sim;

use baseline::Baseline;
use load::{Load, Scenario, Tally};
use run::{Policy, run};

const SEED: u64 = 20_261_204;

fn main() {
    let seed = env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(SEED);
    println!("seed {seed}\n");
    compare_policies(seed);
    measure_store_calls(seed);
    measure_replay();
}

fn compare_policies(seed: u64) {
    println!("| policy | scenario | {} |", Tally::HEADER);
    println!("|---|---|{}", "---|".repeat(Tally::COLUMNS));
    for scenario in Scenario::ALL {
        let load = Load::new(seed, 7, 20.0, scenario);
        for baseline in [Baseline::EqualSlices, Baseline::CentralDraw] {
            let tally = baseline.run(&load);
            println!("| {baseline:?} | {scenario:?} | {tally} |");
        }
        for policy in Policy::ALL {
            let outcome = run(&load, policy);
            println!("| {policy} | {scenario:?} | {} |", outcome.tally);
        }
    }
}

fn measure_store_calls(seed: u64) {
    println!(
        "\n| routers | requests/s | writes/s | reads/s | ledger bytes/request | commit wait, p50 and p99, ms |"
    );
    println!("|---|---|---|---|---|---|");
    for (routers, rate) in [
        (3, 20.0),
        (7, 5.0),
        (7, 20.0),
        (7, 80.0),
        (7, 320.0),
        (14, 20.0),
    ] {
        let load = Load::new(seed, routers, rate, Scenario::Healthy);
        let outcome = run(&load, Policy::DEFAULT);
        let seconds = outcome.seconds;
        let requests = outcome.tally.requests as f64;
        println!(
            "| {routers} | {rate} | {:.1} | {:.1} | {:.0} | {}, {} |",
            outcome.writes as f64 / seconds,
            outcome.reads as f64 / seconds,
            outcome.bytes as f64 / requests,
            outcome.wait_percentile(50),
            outcome.wait_percentile(99),
        );
    }
}

/// Measures the replay of one shard's log, with one bill per entry and 20 entries per batch, and
/// the size of snapshots.
fn measure_replay() {
    const BATCHES: u64 = 2_500;
    const PER_BATCH: u64 = 20;
    let (budget, id) = (BudgetId(1), |n| EntryId(Incarnation(1), n));
    let backing = Backing {
        witnesses: vec![Incarnation(2), Incarnation(3), Incarnation(4)],
        acks: 2,
    };
    let grant = GrantId(Incarnation(1), 1);
    let tokens = u64::from(u32::MAX);
    let request = GrantRequest {
        grant,
        want: tokens,
        min: tokens,
        least: 1,
        floor_divisor: 0,
        divisor: 1,
        backing: backing.clone(),
    };
    let opening = [
        EntryBody::TopUp(TopUp {
            top_up: "t".to_owned(),
            tokens,
        }),
        EntryBody::Grant(request),
    ];
    let opening = opening.into_iter().zip(0..);
    let mut entries: Vec<_> = opening
        .map(|(body, n)| Entry {
            id: id(n),
            budget,
            body,
        })
        .collect();
    let mut batches = Vec::new();
    for position in 0..BATCHES {
        batches.push(Batch {
            position,
            batch_id: id(position),
            at: Millis(position),
            entries,
        });
        let bill = |n: u64| Bill {
            key: RequestKey(u128::from(n) << 64 | 0x5eed),
            digest: Digest(u128::from(n) << 64 | 0xd16e),
            grant,
            tokens: 1,
            expires: Millis(100_000_000),
        };
        let first = 10 + position * PER_BATCH;
        let entry = |n| Entry {
            id: id(n),
            budget,
            body: EntryBody::Settle(bill(n)),
        };
        entries = (first..first + PER_BATCH).map(entry).collect();
    }
    let started = Instant::now();
    let mut state = ShardState::default();
    for batch in &batches {
        state
            .apply(batch)
            .expect("the batch applies to the shard state");
    }
    let applied = started.elapsed();
    let keys = state.keys().count();
    let snapshot = to_cbor(&state.snapshot());
    println!("\nreplay: {BATCHES} batches with {keys} bills in {applied:?}");
    println!(
        "snapshot: {} bytes, {} per remembered key",
        snapshot.len(),
        snapshot.len() / keys
    );
    let snapshot_bytes = |n: u64| {
        let mut state = ShardState::default();
        let grants = (1..=n).map(|holder| {
            EntryBody::Grant(GrantRequest {
                grant: GrantId(Incarnation(u64::MAX - holder), 1),
                want: 1_000_000,
                min: 1_000_000,
                least: 1,
                floor_divisor: 0,
                divisor: 1,
                backing: backing.clone(),
            })
        });
        let top_up = EntryBody::TopUp(TopUp {
            top_up: "2026-12-04".to_owned(),
            tokens,
        });
        let bodies = [top_up].into_iter().chain(grants);
        let entries = bodies
            .zip(0..)
            .map(|(body, n)| Entry {
                id: id(n),
                budget,
                body,
            })
            .collect();
        let batch = Batch {
            position: 0,
            batch_id: id(0),
            at: Millis(1 << 40),
            entries,
        };
        state
            .apply(&batch)
            .expect("the batch applies to the shard state");
        to_cbor(&state.snapshot()).len()
    };
    println!(
        "snapshot of one budget: {} bytes without grants, {} with 7 grants",
        snapshot_bytes(0),
        snapshot_bytes(7)
    );
}
