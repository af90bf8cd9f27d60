//! Requests that may run in some regions only: replicas b0, b2 and b4 are in d0, b1 and b3 in d1.

use std::collections::BTreeSet;

use toucanchute_proto::config::FailureDomain;
use yare::parameterized;

use super::{
    harness::{Harness, request},
    simulation::config,
};
use crate::routing::{AttemptReport, CrashKind, Event, RefusalReason, RegionNeed, RoutingRequest};

/// Returns a harness whose domains are in these regions.
fn harness(replicas: usize, concurrency: u32, regions: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new(replicas, concurrency);
    let mut config = config(replicas, concurrency);
    let domain = |(name, region): &(&str, &str)| FailureDomain {
        name: (*name).to_owned(),
        region: (*region).to_owned(),
    };
    config.failure_domains = regions.iter().map(domain).collect();
    let (config, withdrawn) = (config.into(), BTreeSet::new());
    harness.handle(0, Event::Configure { config, withdrawn });
    harness
}

const REGIONS: [(&str, &str); 2] = [("d0", "north"), ("d1", "south")];

fn within(regions: &[&str], req: RoutingRequest) -> RoutingRequest {
    let regions: Vec<String> = regions.iter().map(|&r| r.to_owned()).collect();
    RoutingRequest {
        regions: RegionNeed::of(&regions, &[]),
        ..req
    }
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

/// Guards against a way to a server of another region (HOME).
#[parameterized(
    first_attempts = { request },
    retries = { retry },
    hedges = { hedge },
)]
fn a_request_stays_in_its_regions(kind: fn(u64) -> RoutingRequest) {
    let mut harness = harness(5, 64, &REGIONS);
    for call in 0..40 {
        if let Some((_, backend)) = harness.call(1 + call, within(&["south"], kind(call))) {
            assert!(["b1", "b3"].contains(&backend.as_str()), "{backend}");
        }
    }
}

/// Guards against a suspect that runs in another region because a server there is free for it (HOME).
#[test]
fn a_suspect_stays_in_its_regions() {
    let mut harness = harness(2, 4, &REGIONS);
    let (attempt, _) = harness.call(1, within(&["south"], request(1))).unwrap();
    let kind = CrashKind::Disconnected;
    harness.report(20, attempt, AttemptReport::Crashed { kind });
    let again = RoutingRequest {
        digest: request(1).digest,
        ..within(&["south"], request(2))
    };
    assert_eq!(harness.call(30, again), None);
    for now in (50..3_000).step_by(50) {
        harness.handle(now, Event::Tick);
        assert!(harness.started().iter().all(|(_, _, b)| b == "b1"));
    }
}

/// Guards against requests that wait for a region without servers, and servers of unknown regions.
#[parameterized(
    another_region = { &["west"], &REGIONS },
    no_region_in_common = { &[""], &REGIONS },
    unknown_regions_of_servers = { &["north"], &[] },
)]
fn a_request_without_servers_in_its_regions_is_refused_at_once(
    regions: &[&str],
    domains: &[(&str, &str)],
) {
    let mut harness = harness(4, 64, domains);
    assert_eq!(harness.call(1, within(regions, request(1))), None);
    assert_eq!(harness.refused(), Some(RefusalReason::OutsideRegions));
}

/// Guards against requests that wait for their region and keep others from free servers.
#[test]
fn requests_that_wait_for_their_region_do_not_hold_up_others() {
    let mut harness = harness(2, 1, &REGIONS);
    harness.call(1, within(&["south"], request(1))).unwrap();
    for call in 2..10 {
        assert_eq!(harness.call(2, within(&["south"], request(call))), None);
    }
    let other = harness.call(3, request(20));
    assert_eq!(other.map(|(_, backend)| backend).as_deref(), Some("b0"));
}

/// Guards against homes of which only one of two lists binds.
#[parameterized(
    neither = { &[], &[], true, true },
    route = { &["north"], &[], true, false },
    customer = { &[], &["south"], false, true },
    both = { &["north", "south"], &["south"], false, true },
    nothing_in_common = { &["north"], &["south"], false, false },
)]
fn both_lists_bind(route: &[&str], customer: &[&str], north: bool, south: bool) {
    let owned = |list: &[&str]| list.iter().map(|&r| r.to_owned()).collect::<Vec<String>>();
    let need = RegionNeed::of(&owned(route), &owned(customer));
    assert_eq!(
        (need.admits(Some("north")), need.admits(Some("south"))),
        (north, south)
    );
}
