//! Affinity: requests about one subject go to the replica that has cached the shared parts of their
//! prompts, until that replica is much busier than the others.

use std::collections::BTreeMap;

use toucanchute_proto::{Incarnation, Millis, fleet::Load};

use super::simulation::{assign, config};
use crate::routing::{Action, AttemptReport, Dispatcher, Event, RefusalReason, RoutingRequest};

/// A deadline that no test reaches.
const NEVER: Millis = Millis(1_000_000);

fn dispatcher(incarnation: u64, replicas: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Incarnation(incarnation), "d0", incarnation);
    let event = Event::Configure {
        config: config(replicas, 64).into(),
        withdrawn: Default::default(),
    };
    dispatcher.handle(Millis(0), event, &mut Vec::new());
    dispatcher
}

fn request_about(call: u64, subject: u64) -> RoutingRequest {
    RoutingRequest {
        affinity: Some(subject),
        ..assign(call, 1, 1_000, NEVER)
    }
}

fn assigned_backend(dispatcher: &mut Dispatcher, req: RoutingRequest) -> String {
    let mut out = Vec::new();
    dispatcher.handle(Millis(1), Event::Assign(req), &mut out);
    match out.pop() {
        Some(Action::Assigned { backend, .. }) => backend,
        other => panic!("{other:?}"),
    }
}

#[test]
fn all_routers_send_a_subject_to_the_same_replica() {
    for subject in 0..20 {
        let first = assigned_backend(&mut dispatcher(1, 9), request_about(1, subject));
        let second = assigned_backend(&mut dispatcher(2, 9), request_about(1, subject));
        assert_eq!(first, second);
    }
}

#[test]
fn subjects_are_spread_over_the_replicas() {
    let mut dispatcher = dispatcher(1, 9);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for subject in 0..90 {
        *counts
            .entry(assigned_backend(
                &mut dispatcher,
                request_about(subject, subject),
            ))
            .or_default() += 1;
    }
    assert_eq!(counts.len(), 9);
    assert!(counts.values().all(|&n| n < 25), "{counts:?}");
}

/// Returns the event of a load report by a replica.
fn load_event(backend: &str, running: u32) -> Event {
    Event::Load(Load {
        backend: backend.to_owned(),
        running,
        waiting: 0,
        capacity: 64,
        kv_used: 0,
        polled: true,
        pace_percent: None,
        token_time_us: None,
        as_of: Millis(0),
    })
}

// Guards against a subject that leaves its replica without need. In a large fleet a router has
// recent load reports of few replicas. The replicas without a report must not make the one that
// caches the prompt look busy.
#[test]
fn a_busy_fleet_keeps_subjects_where_their_prompts_are() {
    for subject in 0..20 {
        let home = assigned_backend(&mut dispatcher(1, 90), request_about(1, subject));
        let mut router = dispatcher(2, 90);
        let reporting = ["b3", "b14", "b15", "b62", home.as_str()];
        for name in reporting {
            router.handle(Millis(0), load_event(name, 40), &mut Vec::new());
        }
        assert_eq!(
            assigned_backend(&mut router, request_about(1, subject)),
            home
        );
    }
}

#[test]
fn a_subject_leaves_a_replica_that_is_busier_than_those_with_known_load() {
    let home = assigned_backend(&mut dispatcher(1, 90), request_about(1, 7));
    let mut router = dispatcher(2, 90);
    for i in 0..10 {
        let name = format!("b{i}");
        router.handle(Millis(0), load_event(&name, 10), &mut Vec::new());
    }
    router.handle(Millis(0), load_event(&home, 60), &mut Vec::new());
    assert_ne!(assigned_backend(&mut router, request_about(1, 7)), home);
}

#[test]
fn a_hot_subject_spreads_before_its_replica_is_full() {
    let mut dispatcher = dispatcher(1, 9);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for call in 0..120 {
        *counts
            .entry(assigned_backend(&mut dispatcher, request_about(call, 7)))
            .or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap_or_default();
    assert!(counts.len() > 4 && most < 64, "{counts:?}");
}

#[test]
fn a_service_has_a_retry_budget_of_its_own() {
    let mut dispatcher = dispatcher(1, 9);
    let mut refused = 0;
    for call in 0..60 {
        let req = RoutingRequest {
            attempts: 1,
            ..assign(call, 1, 1_000, NEVER)
        };
        let mut out = Vec::new();
        dispatcher.handle(Millis(1), Event::Assign(req), &mut out);
        for action in out {
            match action {
                Action::Refused { reason, .. } => {
                    assert_eq!(reason, RefusalReason::RetriesExhausted);
                    refused += 1;
                }
                Action::Assigned { attempt, .. } => {
                    let report = AttemptReport::Done { tokens: 1 };
                    let event = Event::Report { attempt, report };
                    dispatcher.handle(Millis(2), event, &mut Vec::new());
                }
                Action::Verdict(_)
                | Action::BackendChanged { .. }
                | Action::EvacuationChanged { .. }
                | Action::Hint(_)
                | Action::ShareLoad(_)
                | Action::SendPermitMessage { .. }
                | Action::PermitUnanswered { .. } => {}
            }
        }
    }
    assert!(refused >= 50, "{refused}");
}
