//! Failure domains that are evacuated: replicas b0, b2 and b4 are in d0, b1 and b3 in d1.

use std::collections::BTreeSet;

use toucanchute_proto::{Digest, RequestRate};
use yare::parameterized;

use super::{
    harness::{Harness, request},
    simulation::config,
};
use crate::routing::{
    Action, AttemptReport, BackendNotice, CrashKind, Event, RefusalReason, RoutingRequest,
    SoftwareNeed,
};

/// Version that the servers run.
const SOFTWARE: &str = "v1";

fn evacuate(harness: &mut Harness, now: u64, domains: &[&str]) {
    let domains: BTreeSet<String> = domains.iter().map(|&d| d.to_owned()).collect();
    harness.handle(now, Event::Evacuate(domains));
}

fn retry(call: u64) -> RoutingRequest {
    RoutingRequest {
        attempts: 1,
        exclude: vec!["b1".to_owned(), "b3".to_owned()],
        ..request(call)
    }
}

fn hedge(call: u64) -> RoutingRequest {
    RoutingRequest {
        running_on: vec!["b1".to_owned()],
        may_wait: false,
        ..retry(call)
    }
}

fn resumption(call: u64) -> RoutingRequest {
    RoutingRequest {
        software: SoftwareNeed::of_stream(Some(SOFTWARE)),
        ..retry(call)
    }
}

/// Returns a harness whose servers all run [`SOFTWARE`].
fn harness(replicas: usize, concurrency: u32) -> Harness {
    let mut harness = Harness::new(replicas, concurrency);
    let mut config = config(replicas, concurrency);
    for backend in &mut config.backends {
        backend.software = Some(SOFTWARE.to_owned());
    }
    let (config, withdrawn) = (config.into(), BTreeSet::new());
    harness.handle(0, Event::Configure { config, withdrawn });
    harness
}

fn with_affinity(call: u64) -> RoutingRequest {
    RoutingRequest {
        affinity: Some(call),
        ..request(call)
    }
}

/// Guards against a way to a replica that does not ask whether its domain is evacuated (EVAC).
#[parameterized(
    first_attempts = { request },
    affinity = { with_affinity },
    retries = { retry },
    hedges = { hedge },
    resumptions = { resumption },
)]
fn an_evacuated_domain_gets_no(kind: fn(u64) -> RoutingRequest) {
    let mut harness = harness(5, 64);
    evacuate(&mut harness, 1, &["d0"]);
    let calls = 0..40;
    let started: Vec<_> = calls.filter_map(|c| harness.call(2 + c, kind(c))).collect();
    assert!(!started.is_empty());
    for (_, backend) in started {
        assert!(["b1", "b3"].contains(&backend.as_str()), "{backend}");
    }
}

/// Guards against calls that wait and start on a replica whose domain was evacuated meanwhile (EVAC).
#[test]
fn a_waiting_call_starts_in_another_domain() {
    let mut harness = Harness::new(2, 1);
    let (first, a) = harness.call(1, request(1)).unwrap();
    let (second, b) = harness.call(1, request(2)).unwrap();
    let (in_d0, in_d1) = if a == "b0" {
        (first, second)
    } else {
        (second, first)
    };
    assert_ne!(a, b);
    assert_eq!(harness.call(1, request(3)), None);
    evacuate(&mut harness, 2, &["d0"]);
    harness.report(3, in_d0, AttemptReport::Done { tokens: 1 });
    assert_eq!(harness.started(), []);
    harness.report(4, in_d1, AttemptReport::Done { tokens: 1 });
    let started: Vec<String> = harness.started().into_iter().map(|s| s.2).collect();
    assert_eq!(started, ["b1"]);
}

/// Guards against a permit that was granted before the evacuation and is used after it (EVAC). The permits
/// lie at one of the two servers.
#[parameterized(
    first = { "d0", "b0" },
    second = { "d1", "b1" },
)]
fn a_permit_is_not_used_in_an_evacuated_domain(domain: &str, evacuated: &str) {
    let mut harness = Harness::new(2, 64);
    let rate = RequestRate::from_per_second(2.0).unwrap();
    for call in 0..2 {
        let (attempt, _) = harness.call(1, request(call)).unwrap();
        let backend = format!("b{call}");
        let notice = BackendNotice::RateLimit { rate, attempt };
        harness.handle(2, Event::Notice { backend, notice });
    }
    for call in 2..8 {
        harness.call(900, request(call));
    }
    assert!(harness.dispatcher.waiting() >= 2);
    evacuate(&mut harness, 910, &[domain]);
    harness.out.clear();
    for now in (950..4_000).step_by(50) {
        harness.handle(now, Event::Tick);
    }
    assert!(harness.started().iter().all(|(_, _, b)| b != evacuated));
}

/// Guards against a suspect that runs on the replica that was claimed for it although the replica's domain
/// has been evacuated since (EVAC).
#[test]
fn a_claim_does_not_outlast_an_evacuation() {
    let mut harness = Harness::new(4, 4);
    let poison = |call| RoutingRequest {
        digest: Digest(7),
        ..request(call)
    };
    let (attempt, _) = harness.call(1, poison(1)).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(20, attempt, AttemptReport::Crashed { kind });
    assert_eq!(harness.call(22, poison(2)), None);
    let claimed = harness.out.iter().find_map(|a| match a {
        Action::Verdict(v) => v.claim.as_ref().map(|c| c.replica.clone()),
        _ => None,
    });
    let claimed = claimed.unwrap();
    let domain = if claimed == "b1" || claimed == "b3" {
        "d1"
    } else {
        "d0"
    };
    evacuate(&mut harness, 23, &[domain]);
    harness.out.clear();
    for now in (50..5_000).step_by(50) {
        harness.handle(now, Event::Tick);
    }
    let started: Vec<String> = harness.started().into_iter().map(|s| s.2).collect();
    assert!(started.len() == 1 && started[0] != claimed, "{started:?}");
}

/// Guards against calls that wait for an operator when all domains are evacuated.
#[test]
fn calls_are_refused_at_once_when_all_domains_are_evacuated() {
    let mut harness = Harness::new(2, 1);
    harness.call(1, request(1)).unwrap();
    harness.call(1, request(2)).unwrap();
    assert_eq!(harness.call(1, request(3)), None);
    assert_eq!(harness.refused(), None);
    evacuate(&mut harness, 2, &["d0", "d1"]);
    assert_eq!(harness.refused(), Some(RefusalReason::Evacuated));
    assert_eq!(harness.call(3, request(4)), None);
    assert_eq!(harness.refused(), Some(RefusalReason::Evacuated));
}

/// Guards against a server that registers in an evacuated domain and gets work (EVAC).
#[test]
fn a_server_that_registers_during_an_evacuation_gets_no_work() {
    let mut harness = Harness::new(1, 64);
    evacuate(&mut harness, 1, &["d1"]);
    harness.configure(2, 4, 64, &[]);
    for call in 0..40 {
        let (_, backend) = harness.call(3 + call, request(call)).unwrap();
        assert!(["b0", "b2"].contains(&backend.as_str()), "{backend}");
    }
}

/// Guards against a domain that gets no work, or all of it at once, after it was taken back.
#[test]
fn work_returns_slowly_to_a_domain_that_was_taken_back() {
    let mut harness = Harness::new(2, 40);
    evacuate(&mut harness, 1, &["d1"]);
    evacuate(&mut harness, 2, &[]);
    let mut in_d1 = 0;
    for call in 0..40 {
        let (_, backend) = harness.call(3, request(call)).unwrap();
        in_d1 += u32::from(backend == "b1");
    }
    assert!((1..=4).contains(&in_d1), "{in_d1}");
}

/// Guards against an order of one source that ends that of the other, and against reports that operators
/// cannot follow.
#[test]
fn orders_of_the_configuration_and_beside_it_hold_together() {
    let mut harness = Harness::new(4, 64);
    let configure = |harness: &mut Harness, now, domains: &[&str]| {
        let mut config = config(4, 64);
        config.evacuated_domains = domains.iter().map(|&d| d.to_owned()).collect();
        let (config, withdrawn) = (config.into(), BTreeSet::new());
        harness.handle(now, Event::Configure { config, withdrawn });
    };
    configure(&mut harness, 1, &["d1"]);
    evacuate(&mut harness, 2, &["d1"]);
    evacuate(&mut harness, 3, &[]);
    for call in 0..20 {
        let (_, backend) = harness.call(4, request(call)).unwrap();
        assert!(["b0", "b2"].contains(&backend.as_str()), "{backend}");
    }
    harness.out.clear();
    configure(&mut harness, 5, &[]);
    let reported = Action::EvacuationChanged {
        failure_domain: "d1".to_owned(),
        evacuated: false,
        backends: 2,
    };
    assert_eq!(harness.out, [reported]);
}
