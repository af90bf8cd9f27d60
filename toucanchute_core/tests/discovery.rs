//! Registrations that lapse in an outage of the store, and registrations that are removed.

use toucanchute_core::discovery::{Discovery, DiscoveryUpdate};
use toucanchute_proto::{Millis, fleet::Found};

fn found(name: &str, leaving: bool) -> Found {
    Found {
        name: name.to_owned(),
        service: "llm".to_owned(),
        address: format!("192.0.2.{}:80", name.len()).parse().unwrap(),
        failure_domain: "d0".to_owned(),
        leaving,
        slots: 64,
        software: None,
        cold_ms: None,
    }
}

fn names(update: &DiscoveryUpdate) -> Vec<&str> {
    update.live.iter().map(|f| f.name.as_str()).collect()
}

#[test]
fn a_removed_registration_is_withdrawn_at_once() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false), found("bb", false)]);
    let update = discovery.apply_list(Millis(600), vec![found("a", false)]);
    assert_eq!(names(&update), ["a"]);
    assert_eq!(update.withdrawn, ["bb"]);
}

#[test]
fn a_leaving_backend_server_gets_no_new_work() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false), found("bb", false)]);
    let update = discovery.apply_list(Millis(600), vec![found("a", true), found("bb", false)]);
    assert_eq!(names(&update), ["bb"]);
    assert_eq!(update.withdrawn, ["a"]);
}

#[test]
fn registrations_that_lapsed_in_an_outage_have_time_to_be_renewed() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false), found("bb", false)]);
    discovery.record_agreed_outage(Millis(7_200));
    let update = discovery.apply_list(Millis(8_000), Vec::new());
    assert_eq!(names(&update), ["a", "bb"]);
    for now in [8_600, 9_200, 9_800, 10_400] {
        let update = discovery.apply_list(Millis(now), vec![found("bb", false)]);
        assert_eq!(names(&update), ["a", "bb"]);
    }
    let update = discovery.apply_list(Millis(10_700), vec![found("bb", false)]);
    assert_eq!(names(&update), ["bb"]);
    assert_eq!(update.withdrawn, ["a"]);
}

// Guards against new work for a server that is leaving, since an older copy of the store lists it as ready.
#[test]
fn a_server_that_was_leaving_before_a_restore_gets_no_new_work_after_it() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false), found("bb", false)]);
    discovery.apply_list(Millis(600), vec![found("a", true), found("bb", false)]);
    discovery.record_restore(Millis(1_000));
    for now in [1_000, 3_000, 9_000] {
        let list = vec![found("a", false), found("bb", false)];
        let update = discovery.apply_list(Millis(now), list);
        assert_eq!(names(&update), ["bb"]);
    }
}

// Guards against servers that are withdrawn because an older copy of the store does not have them yet.
#[test]
fn registrations_that_a_restore_lost_have_time_to_be_written_again() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false), found("bb", false)]);
    discovery.record_restore(Millis(1_000));
    let update = discovery.apply_list(Millis(1_000), vec![found("a", false)]);
    assert_eq!(names(&update), ["a", "bb"]);
    let update = discovery.apply_list(Millis(3_700), vec![found("a", false)]);
    assert_eq!(names(&update), ["a"]);
}

#[test]
fn a_lapsed_server_whose_address_another_one_has_is_not_kept() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false)]);
    discovery.record_agreed_outage(Millis(7_200));
    let update = discovery.apply_list(Millis(8_000), vec![found("x", false)]);
    assert_eq!(names(&update), ["x"]);
}

#[test]
fn a_server_that_registers_again_is_used_again() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false)]);
    discovery.apply_list(Millis(600), Vec::new());
    let update = discovery.apply_list(Millis(1_200), vec![found("a", false)]);
    assert_eq!(names(&update), ["a"]);
}

/// A router was cut off from the store and its peers for 8 s. A backend server that left as planned
/// meanwhile got work from it for seconds more.
#[test]
fn a_router_that_alone_lost_the_store_keeps_no_lapsed_server() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false), found("bb", false)]);
    let update = discovery.apply_list(Millis(8_000), vec![found("a", false)]);
    assert_eq!(names(&update), ["a"]);
    assert_eq!(update.withdrawn, ["bb"]);
}

#[test]
fn an_outage_that_ended_long_ago_keeps_no_lapsed_server() {
    let mut discovery = Discovery::default();
    discovery.apply_list(Millis(0), vec![found("a", false)]);
    discovery.record_agreed_outage(Millis(3_000));
    let update = discovery.apply_list(Millis(8_000), Vec::new());
    assert_eq!(update.withdrawn, ["a"]);
}
