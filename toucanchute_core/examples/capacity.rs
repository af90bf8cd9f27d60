//! Measures what one state machine of a router needs as the number of replicas, budgets or customers
//! grows: memory, as the growth of the process's resident set, and elapsed time per decision.
//!
//! Usage: `scripts/measure-machines`, which runs each size in a process of its own.

use std::{collections::BTreeSet, env, fs, process::ExitCode, sync::Arc, time::Instant};

use toucanchute_core::{
    ledger::ShardState,
    money::{CallId, Event as MoneyEvent, Money, Settings},
    routing::{
        Action, AttemptReport, Dispatcher, Event, RegionNeed, RoutingRequest, SoftwareNeed, Target,
    },
};
use toucanchute_proto::{
    BudgetId, Digest, EntryId, Incarnation, Millis, RequestKey,
    config::{Backend, Budget, Config, Customer, Ledger, Model, Pool, PoolKind, Routing},
    ledger::{Batch, Entry, EntryBody, TopUp},
};

/// Number of models at the target size, served by pools of equal size.
const MODELS: usize = 25;

/// Number of decisions timed in one measurement.
const DECISIONS: u64 = 20_000;

fn main() -> ExitCode {
    let args: Vec<_> = env::args().skip(1).collect();
    let size = args.get(1).and_then(|size| size.parse().ok());
    let (Some(machine), Some(size)) = (args.first(), size) else {
        eprintln!("usage: capacity dispatcher|configuration|shard|holder SIZE");
        return ExitCode::from(2);
    };
    match machine.as_str() {
        "dispatcher" => measure_dispatcher(size),
        "configuration" => measure_configuration(size),
        "shard" => measure_shard(size as u64),
        "holder" => measure_holder(size as u64),
        _ => return ExitCode::from(2),
    }
    ExitCode::SUCCESS
}

fn measure_dispatcher(replicas: usize) {
    let config = Arc::new(config(replicas, 100));
    let before = resident_kb();
    let mut machine = Dispatcher::new(Incarnation(1), "domain-0", 7);
    let mut out = Vec::new();
    let withdrawn = BTreeSet::new();
    machine.handle(Millis(0), Event::Configure { config, withdrawn }, &mut out);
    let configured = resident_kb().saturating_sub(before);
    let start = Instant::now();
    for call in 0..DECISIONS {
        let now = Millis(1_000 + call);
        machine.handle(now, Event::Assign(routing_request(call, now)), &mut out);
        for action in out.split_off(0) {
            if let Action::Assigned { attempt, .. } = action {
                let report = AttemptReport::Done { tokens: 20 };
                machine.handle(now, Event::Report { attempt, report }, &mut out);
            }
        }
    }
    let memory = resident_kb().saturating_sub(before);
    let size = format!("{replicas} replicas ({configured} kB once configured)");
    print_row(
        "dispatcher, assign and report",
        &size,
        memory,
        start,
        DECISIONS,
    );
}

fn routing_request(call: u64, now: Millis) -> RoutingRequest {
    RoutingRequest {
        call,
        target: Target::Model(format!("model-{}", call as usize % MODELS)),
        customer: format!("customer-{}", call % 100),
        weight: 1,
        priority: 0,
        digest: Digest(u128::from(call)),
        parts: Vec::new(),
        prefix: vec![call % 500, call],
        tokens: 200,
        attempts: 0,
        exclude: Vec::new(),
        running_on: Vec::new(),
        software: SoftwareNeed::Any,
        regions: RegionNeed::Any,
        may_wait: true,
        affinity: None,
        deadline: now + Millis(10_000),
    }
}

fn measure_configuration(customers: usize) {
    let before = resident_kb();
    let config = config(1_500, customers);
    let bytes = toucanchute_proto::to_cbor(&config).len();
    let memory = resident_kb().saturating_sub(before);
    let start = Instant::now();
    let copy = config.clone();
    let size = format!("{customers} customers, {} kB of CBOR", bytes / 1_024);
    print_row("configuration, one copy", &size, memory, start, 1);
    drop(copy);
}

fn measure_shard(budgets: u64) {
    let before = resident_kb();
    let mut state = ShardState::default();
    let start = Instant::now();
    for n in 0..budgets {
        let body = EntryBody::TopUp(TopUp {
            top_up: format!("t-{n}"),
            tokens: 1_000_000,
        });
        let id = EntryId(Incarnation(1), n + 1);
        let entry = Entry {
            id,
            budget: BudgetId(n),
            body,
        };
        let batch = Batch {
            position: n,
            batch_id: id,
            at: Millis(n),
            entries: vec![entry],
        };
        assert!(state.apply(&batch).is_ok());
    }
    let memory = resident_kb().saturating_sub(before);
    print_row(
        "ledger writer, top-up",
        &format!("{budgets} budgets"),
        memory,
        start,
        budgets,
    );
}

fn measure_holder(budgets: u64) {
    let before = resident_kb();
    let mut money = Money::new(Settings::new(Incarnation(1), "domain-0", 7));
    let mut out = Vec::new();
    let start = Instant::now();
    for n in 0..budgets {
        let now = Millis(1_000 + n);
        let event = MoneyEvent::Reserve {
            call: CallId(n + 1),
            budget: BudgetId(n),
            key: RequestKey(u128::from(n)),
            digest: Digest(u128::from(n)),
            tokens: 200,
            expires: Millis(90_000_000),
            deadline: now + Millis(60_000),
        };
        money.handle(now, event, &mut out);
        out.clear();
    }
    let memory = resident_kb().saturating_sub(before);
    print_row(
        "grant holder, reserve",
        &format!("{budgets} budgets drawn on"),
        memory,
        start,
        budgets,
    );
}

fn config(replicas: usize, customers: usize) -> Config {
    let pool = |n: usize| format!("pool-{}", n % MODELS);
    let backend = |n: usize| Backend {
        name: format!("replica-{n}"),
        pool: pool(n),
        address: format!("192.0.2.{}:{}", n % 250, 10_000 + n / 250),
        failure_domain: format!("domain-{}", n % 17),
        software: None,
    };
    let customer = |n: usize| Customer {
        name: format!("customer-{n}"),
        budget: format!("budget-{}", n % 26_000),
        token_sha256: format!("{n:064x}"),
        priority: 0,
        weight: 1,
        other_tokens_sha256: Vec::new(),
        route_priority: None,
        regions: Vec::new(),
    };
    Config {
        routes: Vec::new(),
        callers: None,
        version: 1,
        site: "target".to_owned(),
        routing: Routing::default(),
        ledger: Ledger::default(),
        models: (0..MODELS)
            .map(|n| Model {
                name: format!("model-{n}"),
                pool: pool(n),
            })
            .collect(),
        services: Vec::new(),
        pools: (0..MODELS).map(engine_pool).collect(),
        backends: (0..replicas).map(backend).collect(),
        budgets: (0..customers.min(26_000))
            .map(|n| Budget {
                name: format!("budget-{n}"),
                prepaid: None,
            })
            .collect(),
        customers: (0..customers).map(customer).collect(),
        evacuated_domains: Vec::new(),
        failure_domains: Vec::new(),
    }
}

fn engine_pool(n: usize) -> Pool {
    Pool {
        tokens_per_event: 1,
        cold_rate: None,
        cold_start_ms: 0,
        name: format!("pool-{n}"),
        kind: PoolKind::Engine,
        fencing: None,
        max_concurrency: 64,
    }
}

fn print_row(machine: &str, size: &str, memory_kb: u64, start: Instant, decisions: u64) {
    let micros = start.elapsed().as_micros() as f64 / decisions as f64;
    println!("| {machine} | {size} | {memory_kb} | {micros:.1} |");
}

/// Returns the size of this process's resident set, in kB; 0 if it cannot be read.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|kb| kb.parse().ok()).unwrap_or(0)
}
