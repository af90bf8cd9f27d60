//! Backend servers that are silent, and second servers for their requests.

use toucanchute_proto::AttemptId;

use super::harness::{Harness, request};
use crate::routing::{AttemptReport, Event, RefusalReason, RoutingRequest};

/// Number of silences in a row after which a server gets no new work.
const SILENCES_TO_PAUSE: u64 = 3;

/// Returns a request that also runs on the silent servers `silent`.
fn hedge(call: u64, silent: &[&str]) -> RoutingRequest {
    RoutingRequest {
        attempts: 1,
        exclude: silent.iter().map(|&s| s.to_owned()).collect(),
        running_on: silent.iter().map(|&s| s.to_owned()).collect(),
        may_wait: false,
        ..request(call)
    }
}

/// Starts calls on the only server, which is silent, and returns their attempts.
fn silence_only_server(harness: &mut Harness) -> Vec<AttemptId> {
    let calls = 0..SILENCES_TO_PAUSE;
    let attempts: Vec<AttemptId> = calls
        .map(|call| harness.call(1, request(call)).unwrap().0)
        .collect();
    for &attempt in &attempts {
        harness.report(1_200, attempt, AttemptReport::Silent);
    }
    attempts
}

/// Guards against new work for a server that is silent.
#[test]
fn a_silent_server_gets_no_new_work() {
    let mut harness = Harness::new(1, 16);
    silence_only_server(&mut harness);
    assert_eq!(harness.call(1_300, request(9)), None);
    assert_eq!(harness.refused(), None);
}

/// Guards against a sound server that stays without work after a silence.
#[test]
fn a_server_that_speaks_again_gets_work_at_once() {
    let mut harness = Harness::new(1, 16);
    let attempts = silence_only_server(&mut harness);
    harness.call(1_300, request(9));
    harness.report(1_500, attempts[0], AttemptReport::Resumed);
    let resumed: Vec<u64> = harness.started().iter().map(|s| s.0).collect();
    assert_eq!(resumed, [9]);
    let further = (10..15).filter_map(|call| harness.call(1_501, request(call)));
    assert_eq!(further.count(), 5);
}

/// Guards against a second send to the server that is silent, where it is the only one with room.
#[test]
fn a_hedge_never_goes_to_the_silent_server() {
    let mut harness = Harness::new(1, 16);
    harness.call(1, request(1));
    assert_eq!(harness.call(1_200, hedge(1, &["b0"])), None);
    assert_eq!(harness.refused(), Some(RefusalReason::Overloaded));
}

/// Guards against hedges that wait and then take the room of requests that run nowhere.
#[test]
fn hedges_do_not_wait_for_room() {
    let mut harness = Harness::new(2, 1);
    harness.call(1, request(1));
    harness.call(1, request(2));
    assert_eq!(harness.call(1_200, hedge(1, &["b0"])), None);
    assert_eq!(harness.refused(), Some(RefusalReason::Overloaded));
    assert_eq!(harness.dispatcher.waiting(), 0);
}

/// Guards against a hedge that overtakes a request that runs nowhere.
#[test]
fn a_hedge_is_refused_while_requests_wait() {
    let mut harness = Harness::new(2, 1);
    let (first, _) = harness.call(1, request(1)).unwrap();
    harness.call(1, request(2));
    harness.call(1, request(3));
    assert_eq!(harness.dispatcher.waiting(), 1);
    assert_eq!(harness.call(1_200, hedge(2, &["b1"])), None);
    assert_eq!(harness.refused(), Some(RefusalReason::Overloaded));
    harness.report(1_300, first, AttemptReport::Done { tokens: 1 });
    assert_eq!(harness.started().last().unwrap().0, 3);
}

/// Guards against refused hedges that use up the budget of retries.
#[test]
fn refused_hedges_take_nothing_from_the_retry_budget() {
    let mut harness = Harness::new(2, 1);
    harness.call(1, request(1));
    let (second, _) = harness.call(1, request(2)).unwrap();
    for _ in 0..1_000 {
        harness.call(1_200, hedge(1, &["b0"]));
        assert_eq!(harness.refused(), Some(RefusalReason::Overloaded));
    }
    harness.report(1_300, second, AttemptReport::Done { tokens: 1 });
    let backend = harness.call(1_301, hedge(1, &["b0"])).map(|(_, b)| b);
    assert_eq!(backend.as_deref(), Some("b1"));
}

/// Guards against hedges beyond the budget of retries.
#[test]
fn hedges_are_retries() {
    let mut harness = Harness::new(2, 1_000);
    let hedges = (0..1_000).filter_map(|call| harness.call(1, hedge(call, &["b0"])));
    let started = hedges.count();
    assert_eq!(harness.refused(), Some(RefusalReason::RetriesExhausted));
    assert!((1..100).contains(&started), "{started}");
}

/// Guards against a request that waits for a second server and gets the silent one.
#[test]
fn a_waiting_hedge_never_goes_to_the_silent_server() {
    let mut harness = Harness::new(2, 1);
    let first = harness.call(1, request(1)).unwrap();
    let second = harness.call(1, request(2)).unwrap();
    let waiting = RoutingRequest {
        may_wait: true,
        ..hedge(3, &[&first.1])
    };
    assert_eq!(harness.call(1_200, waiting), None);
    harness.report(1_300, first.0, AttemptReport::Done { tokens: 1 });
    assert_eq!(harness.dispatcher.waiting(), 1);
    harness.report(1_400, second.0, AttemptReport::Done { tokens: 1 });
    assert_eq!(harness.started().last().unwrap().2, second.1);
}

/// Guards against a sound server that keeps its pause because it has long answers in progress.
#[test]
fn a_server_that_speaks_again_after_its_pause_gets_work() {
    let mut harness = Harness::new(1, 16);
    let attempts = silence_only_server(&mut harness);
    harness.handle(3_300, Event::Tick);
    harness.report(3_400, attempts[0], AttemptReport::Resumed);
    let further = (10..15).filter_map(|call| harness.call(3_401, request(call)));
    assert_eq!(further.count(), 5);
}
