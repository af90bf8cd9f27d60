//! Tests of the addresses that callers get.

use std::net::SocketAddr;

use yare::parameterized;

use toucanchute_core::{
    fleet::MemberView,
    placement::{CallerDomain, FULL_SHARE, HostCapacity, PlacedHost},
};
use toucanchute_proto::{
    Incarnation,
    fleet::MemberState::{self, Alive, Gone, Suspect},
};

use super::{ListedRouter, choose, listed_states};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([192, 0, 2, host], 80))
}

/// Routers 1 to 3 in region north, two of them in failure domain a, and router 4 in region south.
fn routers() -> Vec<ListedRouter<'static>> {
    let places = [
        ("north", "a"),
        ("north", "a"),
        ("north", "b"),
        ("south", "c"),
    ];
    let router = |(i, (region, failure_domain))| ListedRouter {
        host: PlacedHost {
            region,
            failure_domain,
            capacity: HostCapacity::default(),
            share: FULL_SHARE,
        },
        address: address(i as u8 + 1),
    };
    places.into_iter().enumerate().map(router).collect()
}

/// Guards against callers who are sent to another region while theirs has routers (HOME).
#[parameterized(
    own_domain_is_enough = { "north", "a", &[1, 2] },
    others_of_the_region_are_added = { "north", "b", &[3, 1] },
    never_of_another_region = { "south", "c", &[4] },
    unknown_domain_of_a_region = { "north", "x", &[1, 2] },
    a_region_without_routers = { "west", "w", &[1, 2] },
)]
fn addresses_stay_in_the_region(region: &str, failure_domain: &str, hosts: &[u8]) {
    let caller = CallerDomain {
        region,
        failure_domain,
    };
    let expected: Vec<SocketAddr> = hosts.iter().map(|&h| address(h)).collect();
    assert_eq!(choose(&routers(), caller), expected);
}

fn member(state: MemberState) -> MemberView {
    MemberView {
        incarnation: Incarnation(1),
        host: "h".to_owned(),
        failure_domain: "a".to_owned(),
        region: "north".to_owned(),
        caller_address: address(1),
        peer_address: address(2),
        capacity: 0,
        bandwidth: 0,
        list_share: FULL_SHARE,
        state,
        ended: false,
        outage: false,
    }
}

/// Guards against a router that is cut off from its peers and names itself alone, so that all its callers
/// stay with it.
#[parameterized(
    healthy = { &[Alive, Alive, Suspect], &[Alive] },
    most_were_killed = { &[Suspect, Suspect, Suspect, Alive], &[Alive] },
    cut_off = { &[Suspect, Suspect, Gone], &[Alive, Suspect] },
)]
fn a_router_that_is_cut_off_names_its_peers(states: &[MemberState], expected: &[MemberState]) {
    let members: Vec<MemberView> = states.iter().map(|&s| member(s)).collect();
    assert_eq!(listed_states(&members), expected);
}
