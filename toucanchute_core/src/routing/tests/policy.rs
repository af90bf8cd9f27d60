//! Tests of single decisions of one dispatcher.

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{Claim, Crash, Scope, Standing, Verdict},
};
use yare::parameterized;

use super::harness::{Harness, request};
use crate::routing::{
    Action, AttemptReport, CacheChange, CacheEvent, CrashKind, Event, RefusalReason,
    RoutingRequest, suspects::SuspectKey,
};

#[test]
fn own_work_corrects_the_reported_load() {
    let mut harness = Harness::new(2, 16);
    harness.load(0, "b0", 6);
    harness.load(0, "b1", 10);
    let chosen: Vec<_> = (0..8)
        .map(|n| harness.call(1, request(n)).unwrap().1)
        .collect();
    let first = chosen.iter().filter(|b| *b == "b0").count();
    assert!((5..=7).contains(&first), "{chosen:?}");
}

#[test]
fn an_idle_replica_in_the_same_failure_domain_is_preferred() {
    let mut harness = Harness::new(2, 16);
    assert_eq!(harness.call(1, request(1)).unwrap().1, "b0");
}

#[parameterized(
    stored = { &[CacheChange::Stored], "b1" },
    evicted = { &[CacheChange::Stored, CacheChange::Evicted], "b0" },
)]
fn a_long_cached_prefix_outweighs_the_failure_domain(changes: &[CacheChange], chosen: &str) {
    let mut harness = Harness::new(2, 16);
    let prefix: Vec<u64> = (1..=16).collect();
    for &change in changes {
        let events = prefix
            .iter()
            .map(|&prefix| CacheEvent { prefix, change })
            .collect();
        let (backend, gap) = ("b1".to_owned(), false);
        harness.handle(
            1,
            Event::CacheEvents {
                backend,
                events,
                gap,
            },
        );
    }
    let req = RoutingRequest {
        prefix,
        ..request(1)
    };
    assert_eq!(harness.call(2, req).unwrap().1, chosen);
}

#[test]
fn higher_priority_goes_first() {
    let mut harness = Harness::new(1, 1);
    let (attempt, _) = harness.call(1, request(1)).unwrap();
    for (call, priority) in [(2, 0), (3, 9), (4, 5)] {
        assert!(
            harness
                .call(
                    1,
                    RoutingRequest {
                        priority,
                        ..request(call)
                    }
                )
                .is_none()
        );
    }
    harness.report(2, attempt, AttemptReport::Done { tokens: 1 });
    assert_eq!(harness.started()[0].0, 3);
}

#[test]
fn a_joining_replica_starts_slowly() {
    let mut harness = Harness::new(1, 20);
    harness.configure(1_000, 2, 20, &["b0"]);
    let at = |harness: &mut Harness, now: u64, base: u64| {
        (0..30)
            .filter(|n| harness.call(now, request(base + n)).is_some())
            .count()
    };
    assert_eq!(at(&mut harness, 1_001, 0), 2);
    harness.handle(11_000, Event::Tick);
    assert_eq!(harness.dispatcher.in_flight(), 20);
}

#[test]
fn an_ejected_replica_is_probed_with_one_request() {
    let mut harness = Harness::new(1, 8);
    let (attempt, _) = harness.call(1, request(1)).unwrap();
    harness.report(2, attempt, AttemptReport::Unsent);
    for call in 2..6 {
        assert!(harness.call(3, request(call)).is_none());
    }
    harness.out.clear();
    harness.handle(1_002, Event::Tick);
    let probes = harness.started();
    assert_eq!(probes.len(), 1);
    harness.report(1_010, probes[0].1, AttemptReport::Done { tokens: 1 });
    assert!(harness.started().len() > 1);
}

/// Guards against a sound replica that is ejected because a caller left before its request was sent.
#[test]
fn an_attempt_that_is_not_tried_does_not_eject_its_replica() {
    let mut harness = Harness::new(1, 8);
    for call in 1..6 {
        let (attempt, _) = harness.call(call, request(call)).unwrap();
        harness.report(call, attempt, AttemptReport::NotTried);
    }
    assert!(harness.call(6, request(6)).is_some());
}

/// Guards against a sound replica that is ejected for longer and longer because it opens no connection
/// for a moment.
#[test]
fn a_replica_that_opens_no_connection_in_time_is_soon_tried_again() {
    let mut harness = Harness::new(1, 8);
    let (mut attempt, _) = harness.call(0, request(1)).unwrap();
    for call in 2..6 {
        let now = call * 800;
        harness.report(now, attempt, AttemptReport::Unreached);
        assert!(harness.call(now, request(call)).is_none());
        harness.out.clear();
        harness.handle(now + 399, Event::Tick);
        assert!(harness.started().is_empty());
        harness.handle(now + 400, Event::Tick);
        attempt = harness.started()[0].1;
    }
}

/// Guards against a request that was never sent and becomes a suspect when the replica ends.
#[test]
fn a_request_that_was_not_tried_is_no_suspect_when_its_replica_ends() {
    let mut harness = Harness::new(1, 8);
    let (attempt, _) = harness.call(1, request(1)).unwrap();
    harness.report(2, attempt, AttemptReport::NotTried);
    harness.out.clear();
    let backend = "b0".to_owned();
    harness.handle(3, Event::RegistrationLapsed { backend });
    let verdicts = harness.out.iter();
    let verdicts = verdicts.filter(|a| matches!(a, Action::Verdict(_)));
    assert_eq!(verdicts.count(), 0, "{:?}", harness.out);
}

#[test]
fn attempts_on_a_withdrawn_replica_continue() {
    let mut harness = Harness::new(1, 4);
    let (attempt, _) = harness.call(1, request(1)).unwrap();
    harness.configure(2, 1, 4, &["b0"]);
    assert!(harness.call(3, request(2)).is_none());
    assert_eq!(harness.refused(), Some(RefusalReason::NoBackend));
    assert_eq!(harness.dispatcher.in_flight(), 1);
    harness.report(4, attempt, AttemptReport::Done { tokens: 1 });
    assert_eq!(harness.dispatcher.in_flight(), 0);
}

#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let mut harness = Harness::new(1, 1);
    let mut running = harness.call(0, request(0)).unwrap().0;
    (1..40).for_each(|call| assert!(harness.call(0, request(call)).is_none()));
    for n in 1..=20 {
        harness.out.clear();
        harness.report(n * 100, running, AttemptReport::Done { tokens: 1 });
        running = harness.started()[0].1;
    }
    let deadline = Millis(2_500);
    assert!(
        harness
            .call(
                2_001,
                RoutingRequest {
                    deadline,
                    ..request(99)
                }
            )
            .is_none()
    );
    assert_eq!(harness.refused(), Some(RefusalReason::Overloaded));
}

/// Returns another router's verdict that a request was in flight on b0 when b0 crashed at `at`.
fn suspect_verdict(digest: Digest, at: u64) -> Verdict {
    let replica = "b0".to_owned();
    Verdict {
        digest,
        scope: Scope::Request,
        crashes: 0,
        candidates: Vec::new(),
        named: false,
        trial_at: None,
        standing: Standing::Suspect,
        router: Incarnation(2),
        crash: Some(Crash {
            replica,
            at: Millis(at),
        }),
        claim: None,
        until: Millis(at + 60_000),
    }
}

// Guards against quarantine of a good request because two routers recorded one crash by different
// clocks.
#[parameterized(
    same_time = { 10_000 },
    behind = { 5_000 },
    ahead = { 16_000 },
)]
fn one_crash_reported_by_two_routers_counts_once(at: u64) {
    let mut harness = Harness::new(1, 1);
    let (attempt, _) = harness.call(9_900, request(1)).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(10_000, attempt, AttemptReport::Crashed { kind });
    harness.handle(
        10_001,
        Event::Verdict(suspect_verdict(SuspectKey::request(&request(1)).digest, at)),
    );
    harness.call(10_002, request(1));
    assert_eq!(harness.refused(), None);
}

// Guards against a crash without a response that is forgotten when the server's host is up again
// and resets the connections that were still open.
#[test]
fn a_silent_crash_counts_although_other_connections_break_later() {
    let mut harness = Harness::new(1, 2);
    let (silent, _) = harness.call(1_000, request(1)).unwrap();
    let (other, _) = harness.call(1_001, request(2)).unwrap();
    let timed_out = CrashKind::TimedOut;
    harness.report(2_000, silent, AttemptReport::Crashed { kind: timed_out });
    let broken = CrashKind::Disconnected;
    harness.report(4_500, other, AttemptReport::Crashed { kind: broken });
    harness.out.clear();
    let backend = "b0".to_owned();
    harness.handle(4_600, Event::RegistrationLapsed { backend });
    let suspect = |a: &Action| matches!(a, Action::Verdict(v) if v.digest == SuspectKey::request(&request(1)).digest);
    assert!(harness.out.iter().any(suspect), "{:?}", harness.out);
}

// Guards against retries beyond the budget after many servers ended at once.
#[test]
fn retries_of_suspects_draw_on_the_retry_budget() {
    let mut harness = Harness::new(40, 1);
    let calls: Vec<_> = (0..40)
        .map(|n| harness.call(1, request(n)).unwrap())
        .collect();
    let kind = CrashKind::Disconnected;
    for (attempt, _) in calls {
        harness.report(2, attempt, AttemptReport::Crashed { kind });
    }
    harness.out.clear();
    let mut refused = 0;
    for call in 0..40 {
        let attempts = 1;
        let req = RoutingRequest {
            attempts,
            ..request(call)
        };
        harness.call(3, req);
        refused += usize::from(harness.refused() == Some(RefusalReason::RetriesExhausted));
    }
    assert!(refused > 0);
}

// Guards against claims that all routers ignore because the clock of one router is ahead: verdicts
// with an earlier expiry are dropped as old.
#[test]
fn a_claim_outranks_the_verdict_of_a_router_whose_clock_is_ahead() {
    let mut harness = Harness::new(2, 1);
    let (attempt, replica) = harness.call(9_900, request(1)).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(10_000, attempt, AttemptReport::Crashed { kind });
    let mut received = suspect_verdict(SuspectKey::request(&request(1)).digest, 14_000);
    received.crash = received.crash.map(|c| Crash { replica, ..c });
    harness.handle(10_001, Event::Verdict(received.clone()));
    harness.call(10_002, request(1));
    let claimed = harness.out.iter().find_map(|a| match a {
        Action::Verdict(v) if v.claim.is_some() => Some(v.until),
        _ => None,
    });
    assert!(
        claimed.is_some_and(|until| until > received.until),
        "{claimed:?}"
    );
}

#[test]
fn another_routers_quarantine_refuses_queued_calls() {
    let mut harness = Harness::new(1, 1);
    assert!(harness.call(1, request(1)).is_some());
    let req = request(2);
    let digest = SuspectKey::request(&req).digest;
    assert!(harness.call(1, req).is_none());
    let verdict = Verdict {
        digest,
        scope: Scope::Request,
        crashes: 0,
        candidates: Vec::new(),
        named: false,
        trial_at: None,
        standing: Standing::Quarantined,
        router: Incarnation(2),
        crash: None,
        claim: None,
        until: Millis(10_000),
    };
    harness.handle(2, Event::Verdict(verdict));
    assert_eq!(harness.refused(), Some(RefusalReason::Quarantined));
}

/// Number of the call in the tests of suspects.
const SUSPECT_CALL: u64 = 1;

/// Returns a dispatcher at which a call of a suspect request has waited since 10 002.
fn harness_with_waiting_suspect() -> Harness {
    let mut harness = Harness::new(4, 4);
    let (attempt, _) = harness.call(9_900, request(SUSPECT_CALL)).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(10_000, attempt, AttemptReport::Crashed { kind });
    assert!(harness.call(10_002, request(SUSPECT_CALL)).is_none());
    harness
}

// Guards against a suspect that never runs on a router whose only events are its ticks.
#[parameterized(
    ticks_of_20_ms = { 20 },
    ticks_of_50_ms = { 50 },
    late_ticks = { 65 },
)]
fn a_suspect_runs_on_its_claimed_replica_although_nothing_but_ticks_happens(interval: usize) {
    let mut harness = harness_with_waiting_suspect();
    for now in (10_002..10_400).step_by(interval) {
        harness.handle(now, Event::Tick);
    }
    assert_eq!(harness.started().len(), 1);
}

// Guards against a claim that outlives its call while events are rare, so that no router uses the
// replica and none runs the request.
#[test]
fn an_unused_claim_is_released_although_events_are_rare() {
    let mut harness = harness_with_waiting_suspect();
    let call = SUSPECT_CALL;
    harness.handle(10_003, Event::Abandon { call });
    harness.out.clear();
    for now in (10_003..12_000).step_by(250) {
        harness.handle(now, Event::Tick);
    }
    let released = |a: &Action| matches!(a, Action::Verdict(v) if v.claim.is_none());
    assert!(harness.out.iter().any(released), "{:?}", harness.out);
}

// Guards against a request that never runs where another router claimed a replica for it and fell
// silent.
#[test]
fn a_request_that_waits_for_another_routers_run_runs_although_events_are_rare() {
    let mut harness = Harness::new(4, 4);
    let req = request(SUSPECT_CALL);
    let mut verdict = suspect_verdict(SuspectKey::request(&req).digest, 10_000);
    verdict.claim = Some(Claim {
        replica: "b1".to_owned(),
        at: Millis(10_000),
    });
    harness.handle(10_001, Event::Verdict(verdict));
    assert!(harness.call(10_002, req).is_none());
    for now in (10_002..16_000).step_by(50) {
        harness.handle(now, Event::Tick);
    }
    assert_eq!(harness.started().len(), 1);
}

// Guards against a part that two routers try at the same time, because the claim of one that has ended
// keeps them from learning of each other's.
#[test]
fn a_claim_of_a_router_that_has_ended_gives_way_to_a_later_one() {
    let mut harness = Harness::new(4, 4);
    let mut req = request(SUSPECT_CALL);
    req.parts = vec![Digest(7)];
    let claim_by = |router: u64, at: u64| Verdict {
        scope: Scope::Part,
        crashes: 1,
        router: Incarnation(router),
        claim: Some(Claim {
            replica: "b1".to_owned(),
            at: Millis(at),
        }),
        ..suspect_verdict(Digest(7), at)
    };
    harness.handle(10_000, Event::Verdict(claim_by(2, 10_000)));
    harness.handle(15_500, Event::Verdict(claim_by(9, 15_500)));
    harness.out.clear();
    assert!(harness.call(15_600, req).is_none());
    let is_claim = |a: &Action| matches!(a, Action::Verdict(v) if v.claim.is_some());
    assert!(!harness.out.iter().any(is_claim), "{:?}", harness.out);
}

// Guards against one more crash under a part that is named by elimination, by a request without the part
// that was blamed with it and has been cleared since.
#[parameterized(
    the_rival_is_blamed = { true, None },
    the_rival_is_cleared = { false, Some(RefusalReason::Quarantined) },
)]
fn a_part_is_refused_once_its_rivals_are_cleared(blamed: bool, refused: Option<RefusalReason>) {
    let mut harness = Harness::new(4, 4);
    let quarantine = |part: u128| Verdict {
        scope: Scope::Part,
        standing: Standing::Quarantined,
        crashes: 3,
        candidates: vec![Digest(7), Digest(8)],
        trial_at: Some(Millis(40_000)),
        ..suspect_verdict(Digest(part), 10_000)
    };
    harness.handle(10_000, Event::Verdict(quarantine(8)));
    if blamed {
        harness.handle(10_000, Event::Verdict(quarantine(7)));
    }
    let mut req = request(SUSPECT_CALL);
    req.parts = vec![Digest(9), Digest(8)];
    assert!(harness.call(10_200, req).is_none());
    assert_eq!(harness.refused(), refused);
}

// Guards against runs that cannot tell which of several parts is bad while a request waits that can.
#[test]
fn the_request_with_the_fewest_suspects_is_tried_first() {
    let mut harness = Harness::new(4, 4);
    for part in [7, 8] {
        let verdict = Verdict {
            scope: Scope::Part,
            crashes: 1,
            ..suspect_verdict(Digest(part), 10_000)
        };
        harness.handle(10_000, Event::Verdict(verdict));
    }
    for (call, parts) in [(1, vec![7, 8]), (2, vec![7])] {
        let mut req = request(call);
        req.parts = parts.into_iter().map(Digest).collect();
        assert!(harness.call(10_001, req).is_none());
    }
    harness.out.clear();
    for now in (10_010..10_300).step_by(10) {
        harness.handle(now, Event::Tick);
    }
    assert_eq!(harness.started()[0].0, 2);
}

/// Calls of a customer that the queue considers at a time.
const CONSIDERED_CALLS: usize = 4;

/// Guards against sound calls that wait, or are refused as overloaded, while servers are free, because calls
/// of their customer wait as suspects.
#[test]
fn suspects_that_wait_do_not_refuse_sound_calls_while_servers_are_free() {
    let mut harness = Harness::new(4, 64);
    let suspect = |call| RoutingRequest {
        digest: Digest(7),
        ..request(call)
    };
    let (attempt, _) = harness.call(1, suspect(1)).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(20, attempt, AttemptReport::Crashed { kind });
    for call in 0..40 {
        let now = 100 + call * 100;
        harness.call(now, suspect(1_000 + call));
        let (attempt, _) = harness
            .call(now + 20, request(2_000 + call))
            .unwrap_or_else(|| panic!("refused at {now}: {:?}", harness.refused()));
        harness.report(now + 60, attempt, AttemptReport::Done { tokens: 1 });
    }
    let waiting = harness.dispatcher.waiting();
    assert!(waiting > 2 * CONSIDERED_CALLS, "{waiting}");
}
