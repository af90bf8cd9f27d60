//! The dispatcher and the baseline policies under one interface.

use std::collections::BTreeSet;

use toucanchute_core::routing::{Action, Dispatcher, Event};
use toucanchute_proto::{AttemptId, Incarnation, Millis, config::Config, fleet::Load};

use crate::engine::SLOTS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    Dispatcher,
    RoundRobin,
    LeastReported,
}

/// Policy by which one router chooses replicas.
pub(crate) enum Policy {
    Dispatcher(Box<Dispatcher>),
    RoundRobin { next: usize, replicas: usize },
    LeastReported { reported: Vec<u32> },
}

impl Policy {
    pub(crate) fn new(
        kind: PolicyKind,
        router: usize,
        replicas: usize,
        limit: u32,
        seed: u64,
    ) -> Policy {
        match kind {
            PolicyKind::RoundRobin => Policy::RoundRobin {
                next: router * 5,
                replicas,
            },
            PolicyKind::LeastReported => Policy::LeastReported {
                reported: vec![0; replicas],
            },
            PolicyKind::Dispatcher => {
                let id = Incarnation(router as u64 + 1);
                let domain = format!("d{}", router % 3);
                let mut d = Dispatcher::new(id, &domain, seed + router as u64);
                let config = config(replicas, limit).into();
                let withdrawn = BTreeSet::new();
                let event = Event::Configure { config, withdrawn };
                d.handle(Millis(0), event, &mut Vec::new());
                Policy::Dispatcher(Box::new(d))
            }
        }
    }

    pub(crate) fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match self {
            Policy::Dispatcher(d) => d.handle(now, event, out),
            Policy::RoundRobin { next, replicas } => {
                if let Event::Assign(req) = event {
                    *next += 1;
                    out.push(assigned(req.call, *next % *replicas));
                }
            }
            Policy::LeastReported { reported } => match event {
                Event::Load(Load {
                    backend,
                    running,
                    waiting,
                    ..
                }) => {
                    let at: usize = backend[1..].parse().unwrap_or(0);
                    reported[at] = running + waiting;
                }
                Event::Assign(req) => {
                    let least = (0..reported.len()).min_by_key(|&i| reported[i]);
                    out.push(assigned(req.call, least.unwrap_or(0)));
                }
                _ => {}
            },
        }
    }
}

fn assigned(call: u64, replica: usize) -> Action {
    Action::Assigned {
        call,
        attempt: AttemptId(Incarnation(0), call),
        backend: format!("b{replica}"),
        address: ([192, 0, 2, 1], 80).into(),
        rate_limited: false,
        software: None,
    }
}

fn config(replicas: usize, limit: u32) -> Config {
    let backend = |i| {
        format!(
            r#"{{"name":"b{i}","pool":"p","address":"192.0.2.1:{i}","failure_domain":"d{}"}}"#,
            i % 3
        )
    };
    let backends: Vec<String> = (0..replicas).map(backend).collect();
    let text = format!(
        r#"{{"version":1,"site":"s","routing":{{"queue_limit":{limit}}},"ledger":{{}},
        "models":[{{"name":"m","pool":"p"}}],
        "pools":[{{"name":"p","kind":"engine","max_concurrency":{}}}],
        "backends":[{}]}}"#,
        SLOTS * 2,
        backends.join(",")
    );
    serde_json::from_str(&text).expect("a valid configuration")
}
