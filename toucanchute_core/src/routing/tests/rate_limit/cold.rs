//! Servers that warm up, to which all routers together may send few requests a second.

use std::collections::BTreeSet;

use toucanchute_proto::{Digest, Millis, RequestRate};
use yare::parameterized;

use super::{
    Trouble,
    fleet::{
        COLD_NEWS_TIME, COLD_OVERSHOOT_PERMILLE, COLD_SLACK_PERMILLE, Fleet, KnownBy, Load,
        Scenario,
    },
    scenario,
};
use crate::routing::{
    AttemptReport, BackendNotice, ColdCause, CrashKind, Event, RefusalReason, RoutingRequest,
    fault::Fault,
    tests::{
        harness::{Harness, request},
        simulation::config,
    },
};

/// Window in which the requests to a cold server are counted.
const WINDOW: Millis = Millis(1_000);

/// Rate of a cold server.
const RATE: RequestRate = RequestRate(10_000);

/// Time for which a simulated fleet runs.
const RUN: Millis = Millis(20_000);

/// Least part of a cold server's rate that has to be used while callers ask for it and nothing fails:
/// what is left if two routers may take themselves for its issuer, less a little for what is denied.
const USED_SHARE: f64 = 0.5;

/// Most requests that a cold server may get in a window.
fn allowed() -> usize {
    let factor = f64::from(COLD_OVERSHOOT_PERMILLE) / 1_000.0;
    (RATE.per_second() * factor) as usize + COLD_SLACK_PERMILLE as usize / 1_000
}

/// Returns a fleet before six servers, of which the first ones turn cold, with a burst of four times the
/// load that they take when cold. News of a router's state is slow.
fn cold_scenario(routers: usize, cold_servers: usize, load: Load) -> Scenario {
    Scenario {
        cold: true,
        limited_servers: cold_servers,
        requests_per_second: 240.0,
        view_time: (300, 3_000),
        ..scenario(routers, RATE.0, load)
    }
}

/// Returns the most requests that a cold server got in a window after all routers knew of it.
fn most_requests(scenario: Scenario) -> usize {
    let mut fleet = Fleet::new(scenario);
    fleet.run(RUN);
    let from = scenario.named_at + COLD_NEWS_TIME;
    let counts = &fleet.counts;
    let most = |server| counts.most_requests(server, from, WINDOW, KnownBy::Nobody);
    (0..scenario.limited_servers).map(most).max().unwrap_or(0)
}

/// Guards against cold servers that end because all routers together send more than they bear, routers
/// that are cut off or not known included (FAILBACK).
#[parameterized(
    calm_7 = { 7, 2, Trouble::None },
    calm_30 = { 30, 2, Trouble::None },
    calm_100 = { 100, 2, Trouble::None },
    calm_300 = { 300, 2, Trouble::None },
    all_cold_30 = { 30, 6, Trouble::None },
    restarts_7 = { 7, 2, Trouble::Restarts },
    restarts_30 = { 30, 2, Trouble::Restarts },
    freezes_7 = { 7, 2, Trouble::Freezes },
    freezes_30 = { 30, 2, Trouble::Freezes },
    leaves_7 = { 7, 2, Trouble::Leaves },
    leaves_30 = { 30, 2, Trouble::Leaves },
    partitions_7 = { 7, 2, Trouble::Partitions },
    partitions_30 = { 30, 2, Trouble::Partitions },
    partitions_all_cold_30 = { 30, 6, Trouble::Partitions },
    all_troubles_7 = { 7, 2, Trouble::All },
    all_troubles_30 = { 30, 3, Trouble::All },
    all_troubles_100 = { 100, 3, Trouble::All },
    all_troubles_300 = { 300, 3, Trouble::All },
)]
fn a_cold_server_gets_what_it_bears(routers: usize, cold_servers: usize, trouble: Trouble) {
    let seeds = if routers > 100 { 1 } else { 4 };
    for load in [Load::Spread, Load::OneRouter] {
        for seed in 1..=seeds {
            let scenario = Scenario {
                seed,
                trouble,
                ..cold_scenario(routers, cold_servers, load)
            };
            let most = most_requests(scenario);
            assert!(most <= allowed(), "{scenario:?}: {most}");
        }
    }
}

/// Shows that the walk above finds routers that keep the sum each for itself.
#[test]
fn permits_of_ones_own_are_detected() {
    let fault = Some(Fault::OwnColdPermits);
    let scenario = Scenario {
        fault,
        ..cold_scenario(30, 2, Load::Spread)
    };
    assert!(most_requests(scenario) > allowed());
}

/// Guards against cold servers that get less than they may have, so that they stay cold.
#[parameterized(
    small = { 7, Load::Spread },
    large = { 100, Load::Spread },
    one_router = { 30, Load::OneRouter },
)]
fn a_cold_server_gets_what_it_may_have(routers: usize, load: Load) {
    let scenario = cold_scenario(routers, 2, load);
    let mut fleet = Fleet::new(scenario);
    fleet.run(RUN);
    let from = scenario.named_at + Millis(2_000);
    let got = fleet.counts.requests_between(0, from, RUN);
    let allowed = RATE.per_second() * RUN.since(from).0 as f64 / 1_000.0;
    assert!(got as f64 >= USED_SHARE * allowed, "{got} of {allowed}");
}

/// Calls that may run at one server at a time.
const CONCURRENCY: usize = 64;

/// A harness whose pool has cold servers of a rate.
fn harness(replicas: usize, rate: u64) -> Harness {
    let mut harness = Harness::new(replicas, CONCURRENCY as u32);
    register(&mut harness, 0, replicas, rate, COLD_SLACK_PERMILLE);
    harness
}

fn register(harness: &mut Harness, now: u64, replicas: usize, rate: u64, slack_permille: u32) {
    let mut config = config(replicas, CONCURRENCY as u32);
    config.pools[0].cold_rate = Some(RequestRate(rate));
    config.pools[0].cold_start_ms = 3_000;
    config.routing.cold_overshoot_permille = COLD_OVERSHOOT_PERMILLE;
    config.routing.cold_slack_permille = slack_permille;
    let (config, withdrawn) = (config.into(), BTreeSet::new());
    harness.handle(now, Event::Configure { config, withdrawn });
}

fn cold(harness: &mut Harness, now: u64, backend: &str, remaining: u64) {
    let notice = BackendNotice::Cold {
        remaining: Millis(remaining),
        cause: ColdCause::Registered,
    };
    let backend = backend.to_owned();
    harness.handle(now, Event::Notice { backend, notice });
}

/// Returns the number of calls that start on a backend server from `from` on, one each 10 ms for a
/// second.
fn started_on(harness: &mut Harness, from: u64, backend: &str) -> usize {
    harness.out.clear();
    for at in (from..from + 1_000).step_by(10) {
        let call = RoutingRequest {
            deadline: Millis(at + 60),
            ..request(at)
        };
        harness.handle(at, Event::Assign(call));
        harness.handle(at, Event::Tick);
    }
    harness.started().iter().filter(|s| s.2 == backend).count()
}

/// Guards against servers that are learnt to be cold in one of the ways, and are sent what warm ones get
/// (FAILBACK).
#[parameterized(
    by_its_registration = { |h: &mut Harness| cold(h, 1_000, "b0", 9_000) },
    before_it_is_configured = { |h: &mut Harness| {
        h.configure(900, 0, 64, &[]);
        cold(h, 950, "b0", 9_000);
        register(h, 1_000, 1, 10_000, COLD_SLACK_PERMILLE);
    } },
    after_its_domain_was_evacuated = { |h: &mut Harness| {
        h.handle(900, Event::Evacuate(["d0".to_owned()].into()));
        h.handle(1_000, Event::Evacuate(BTreeSet::new()));
    } },
    after_its_end = { |h: &mut Harness| {
        let (attempt, _) = h.call(800, request(1)).unwrap();
        h.report(850, attempt, AttemptReport::Gone);
        let (attempt, _) = probe(h);
        h.report(2_000, attempt, AttemptReport::Done { tokens: 1 });
    } },
)]
fn a_server_is_cold(learn: fn(&mut Harness)) {
    let mut harness = harness(1, 10_000);
    learn(&mut harness);
    let started = started_on(&mut harness, 2_100, "b0");
    assert!((1..=10).contains(&started), "{started}");
}

/// Sends calls until one starts at the server that had ended.
fn probe(harness: &mut Harness) -> (toucanchute_proto::AttemptId, String) {
    for at in (900..2_000).step_by(20) {
        if let Some(started) = harness.call(at, request(at)) {
            return started;
        }
        harness.handle(at, Event::Tick);
        if let Some((_, attempt, backend)) = harness.started().pop() {
            return (attempt, backend);
        }
    }
    panic!("the server gets no probe");
}

/// Guards against a server that stays limited when it is warm.
#[test]
fn a_warm_server_gets_all_calls() {
    let mut harness = harness(1, 10_000);
    cold(&mut harness, 1_000, "b0", 900);
    assert_eq!(started_on(&mut harness, 2_000, "b0"), CONCURRENCY);
}

/// Guards against a later, shorter notice that ends the time too early.
#[test]
fn a_shorter_time_does_not_end_a_longer_one() {
    let mut harness = harness(1, 10_000);
    cold(&mut harness, 1_000, "b0", 5_000);
    cold(&mut harness, 1_100, "b0", 100);
    assert!(started_on(&mut harness, 2_100, "b0") <= 10);
}

/// Guards against hedges and suspects that go to a cold server without a permit.
#[test]
fn hedges_leave_cold_servers_out() {
    let mut harness = harness(2, 10_000);
    cold(&mut harness, 1_000, "b0", 9_000);
    let hedge = |call| RoutingRequest {
        attempts: 1,
        exclude: vec!["b1".to_owned()],
        running_on: vec!["b1".to_owned()],
        may_wait: false,
        ..request(call)
    };
    assert_eq!(harness.call(1_500, hedge(1)), None);
    let poison = |call| RoutingRequest {
        digest: Digest(7),
        ..request(call)
    };
    let (attempt, _) = harness.call(1_500, poison(2)).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(1_550, attempt, AttemptReport::Crashed { kind });
    assert_eq!(harness.call(1_560, poison(3)), None);
}

/// Guards against callers who wait while no server may get anything.
#[parameterized(
    at_zero = { 0, COLD_SLACK_PERMILLE },
    where_two_issuers_would_exceed_it = { 2_000, 500 },
)]
fn calls_are_refused_while_nothing_may_be_sent(rate: u64, slack_permille: u32) {
    let mut harness = harness(1, rate);
    register(&mut harness, 500, 1, rate, slack_permille);
    cold(&mut harness, 1_000, "b0", 9_000);
    assert_eq!(started_on(&mut harness, 1_100, "b0"), 0);
    assert_eq!(harness.refused(), Some(RefusalReason::WarmingUp));
}

/// Guards against a limit where a service states none.
#[test]
fn a_pool_without_a_rate_has_no_cold_servers() {
    let mut harness = Harness::new(1, CONCURRENCY as u32);
    cold(&mut harness, 1_000, "b0", 9_000);
    assert_eq!(started_on(&mut harness, 1_100, "b0"), CONCURRENCY);
}
