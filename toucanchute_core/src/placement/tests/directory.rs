use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

use crate::placement::{
    CallerDomain, FULL_SHARE, HostCapacity, PlacedHost, can_relieve, choose_hosts,
};

const LARGE: HostCapacity = HostCapacity {
    processor: 500,
    bandwidth: 200_000,
};

const SMALL: HostCapacity = HostCapacity {
    processor: 120,
    bandwidth: 10_000,
};

/// Number of lists in tests of shares.
const LISTS: u32 = 2_000;

type Hosts = Vec<PlacedHost<'static>>;

/// Returns a failure domain of region north with `large` large and `small` small hosts.
fn domain(name: &'static str, large: usize, small: usize, share: u8) -> Hosts {
    let host = |capacity| PlacedHost {
        region: "north",
        failure_domain: name,
        capacity,
        share,
    };
    let large = std::iter::repeat_n(host(LARGE), large);
    large
        .chain(std::iter::repeat_n(host(SMALL), small))
        .collect()
}

/// Returns the list for a caller in domain a, of the draws of `rng`.
fn list(hosts: &Hosts, rng: &mut SmallRng) -> Vec<usize> {
    let caller = CallerDomain {
        region: "north",
        failure_domain: "a",
    };
    choose_hosts(hosts, caller, || rng.random_range(0..FULL_SHARE))
}

/// Returns how often lists name each host, as a share of the lists.
fn named(hosts: &Hosts) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = vec![0; hosts.len()];
    for _ in 0..LISTS {
        let chosen = list(hosts, &mut rng);
        assert!(!chosen.is_empty());
        chosen.into_iter().for_each(|i| counts[i] += 1);
    }
    let share = |n| f64::from(n) / f64::from(LISTS);
    counts.into_iter().map(share).collect()
}

fn assert_near(share: f64, expected: f64) {
    assert!((share - expected).abs() < 0.05, "{share}, not {expected}");
}

/// Guards against a host of 10 Mbit/s that gets as many callers as one of 200 Mbit/s.
#[parameterized(
    fleet_of_7 = { 2, 5 },
    fleet_of_30 = { 2, 28 },
    fleet_of_70 = { 8, 62 },
    fleet_of_300 = { 32, 268 },
)]
fn light_load_goes_to_the_largest_hosts(large: usize, small: usize) {
    let hosts = domain("a", large, small, FULL_SHARE);
    let expected: Vec<usize> = (0..large).collect();
    assert_eq!(list(&hosts, &mut SmallRng::seed_from_u64(1)), expected);
}

/// Guards against a domain whose only large host takes all callers down with it, and against fleets of equal
/// hosts of which some get nothing.
#[parameterized(
    equal_hosts = { 0, 7 },
    one_large_host = { 1, 6 },
    half_of_the_hosts_gone = { 1, 3 },
)]
fn all_hosts_are_named_where_few_are_large(large: usize, small: usize) {
    let hosts = domain("a", large, small, FULL_SHARE);
    let all: Vec<usize> = (0..large + small).collect();
    assert_eq!(list(&hosts, &mut SmallRng::seed_from_u64(1)), all);
}

/// Guards against callers who leave a host that asked for half of them all together.
#[test]
fn one_choked_host_of_equal_ones_keeps_half_of_its_callers() {
    let mut hosts = domain("a", 0, 7, FULL_SHARE);
    hosts[5].share = FULL_SHARE / 2;
    let named = named(&hosts);
    assert_near(named[5], 0.5);
    assert_near(named[6], 1.0);
}

/// Guards against one customer that fills a small host, and sends all others of the domain to small hosts.
#[test]
fn a_choked_small_host_changes_nothing_for_the_large_ones() {
    let mut hosts = domain("a", 2, 16, FULL_SHARE);
    hosts[5].share = 1;
    assert_eq!(list(&hosts, &mut SmallRng::seed_from_u64(1)), [0, 1]);
}

/// Guards against a choked host that sends its callers away when nobody can take them.
#[parameterized(
    others_are_light = { 2, FULL_SHARE, true },
    others_are_choked = { 6, 1, false },
    no_others = { 0, FULL_SHARE, false },
)]
fn a_host_is_relieved_only_by_others_that_can(others: usize, share: u8, expected: bool) {
    assert_eq!(can_relieve(domain("a", 0, others, share), "a"), expected);
}

/// Guards against a wave in one failure domain that stays on its two largest hosts.
#[test]
fn a_wave_at_a_large_host_brings_in_the_small_ones() {
    let mut hosts = domain("a", 2, 16, FULL_SHARE);
    hosts[0].share = FULL_SHARE / 2;
    hosts.extend(domain("b", 2, 16, FULL_SHARE));
    let named = named(&hosts);
    assert_near(named[0], 0.5);
    assert!(named[2..18].iter().all(|&share| share >= 1.0));
    // The domain can carry its callers, so nobody crosses into another one.
    assert!(named[18..].iter().all(|&share| share <= 0.0));
}

/// Guards against a host that counts as large by its processor, and chokes at its link.
#[test]
fn a_host_with_a_narrow_link_counts_as_small() {
    let mut hosts = domain("a", 3, 0, FULL_SHARE);
    hosts[1].capacity.bandwidth = SMALL.bandwidth;
    assert_eq!(list(&hosts, &mut SmallRng::seed_from_u64(1)), [0, 2]);
}

#[test]
fn a_choked_domain_spills_into_the_region() {
    let mut hosts = domain("a", 2, 16, 1);
    hosts.extend(domain("b", 2, 16, FULL_SHARE));
    let named = named(&hosts);
    assert_near(named[0], 0.125);
    assert!(named[18..].iter().all(|&share| share >= 1.0));
}

/// Guards against lists with nobody in them, which callers take for a failure.
#[test]
fn when_all_are_choked_callers_stay_in_their_domain() {
    let mut hosts = domain("a", 2, 4, 1);
    hosts.extend(domain("b", 2, 4, 1));
    let named = named(&hosts);
    assert!(named[..6].iter().all(|&share| share > 0.3));
    assert!(named[6..].iter().all(|&share| share <= 0.0));
}

/// Guards against a choked domain that sends callers to another region while theirs has routers.
#[test]
fn a_choked_domain_stays_in_its_region() {
    let mut hosts = domain("a", 0, 2, 1);
    hosts.extend(domain("c", 2, 0, FULL_SHARE));
    hosts[2].region = "south";
    hosts[3].region = "south";
    let named = named(&hosts);
    assert!(named[2] + named[3] <= 0.0);
}
