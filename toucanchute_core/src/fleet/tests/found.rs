//! Exchange of backend servers' registrations between a router and its peers.

use std::sync::Arc;

use toucanchute_proto::{
    Digest, Incarnation, Millis, Revision,
    config::Config,
    fleet::{FetchFound, FleetBody, FleetMessage, Found, FoundBody, Gossip, Push, Registration},
};

use super::peers::{linked, no_gossip};
use crate::fleet::{Action, Event, Fleet, NotReady};

const PEER: Incarnation = Incarnation(2);

fn fleet() -> Fleet {
    linked(1, [PEER.0], Millis(1_400))
}

fn found(name: &str) -> Found {
    Found {
        name: name.to_owned(),
        service: "llm".to_owned(),
        address: "192.0.2.9:80".parse().unwrap(),
        failure_domain: "d0".to_owned(),
        leaving: false,
        slots: 64,
        software: None,
        cold_ms: None,
    }
}

fn registered(name: &str, revision: u64) -> Registration {
    Registration {
        key: name.to_owned(),
        revision,
        backend: Some(found(name)),
    }
}

fn removed(name: &str, revision: u64) -> Registration {
    Registration {
        key: name.to_owned(),
        revision,
        backend: None,
    }
}

fn whole(revision: u64, entries: Vec<Registration>) -> FoundBody {
    FoundBody {
        revision,
        since: None,
        entries,
    }
}

fn changes(since: u64, revision: u64, entries: Vec<Registration>) -> FoundBody {
    FoundBody {
        revision,
        since: Some(since),
        entries,
    }
}

fn read(fleet: &mut Fleet, now: u64, body: FoundBody) -> Vec<Action> {
    let requested_at = Millis(now);
    handle(fleet, now, Event::Registrations { body, requested_at })
}

fn handle(fleet: &mut Fleet, now: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    fleet.handle(Millis(now), event, &mut out);
    out
}

fn message(body: FleetBody) -> Event {
    message_at_revision(0, body)
}

/// Returns a message of a peer that has the registrations up to `revision`.
fn message_at_revision(revision: u64, body: FleetBody) -> Event {
    let gossip = Gossip {
        hosts: revision,
        ..no_gossip()
    };
    Event::Message {
        from: PEER,
        message: Box::new(FleetMessage { body, gossip }),
    }
}

fn listed(out: &[Action]) -> Option<Vec<&str>> {
    out.iter().find_map(|a| match a {
        Action::Backends(update) => Some(update.live.iter().map(|f| f.name.as_str()).collect()),
        _ => None,
    })
}

/// Returns the registrations that were sent to the peer.
fn sent(out: &[Action]) -> Option<&FoundBody> {
    out.iter().find_map(|a| match a {
        Action::Send { message, .. } => match &message.body {
            FleetBody::Found(body) => Some(body),
            _ => None,
        },
        _ => None,
    })
}

fn ready(out: &[Action]) -> Option<Result<(), NotReady>> {
    out.iter().find_map(|a| match a {
        Action::Readiness(ready) => Some(*ready),
        _ => None,
    })
}

fn requests_registrations(out: &[Action]) -> bool {
    out.iter().any(|a| match a {
        Action::Send { message, .. } => matches!(message.body, FleetBody::FetchFound(_)),
        _ => false,
    })
}

#[test]
fn a_router_requests_later_changes_that_a_peer_has() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    let ping = || FleetBody::Push(Push { seq: 1 });
    assert!(!requests_registrations(&handle(
        &mut fleet,
        1_100,
        message_at_revision(10, ping())
    )));
    assert!(requests_registrations(&handle(
        &mut fleet,
        1_200,
        message_at_revision(12, ping())
    )));
}

#[test]
fn only_later_revisions_are_applied() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    let body = |body| message(FleetBody::Found(body));
    let old = whole(9, vec![registered("old", 9)]);
    assert_eq!(listed(&handle(&mut fleet, 1_100, body(old))), None);
    let new = whole(12, vec![registered("new", 12)]);
    assert_eq!(
        listed(&handle(&mut fleet, 1_200, body(new))),
        Some(vec!["new"])
    );
}

#[test]
fn only_changes_are_forwarded() {
    let mut fleet = fleet();
    let list = vec![registered("a", 4), registered("b", 5)];
    read(&mut fleet, 1_000, whole(10, list));
    let out = read(
        &mut fleet,
        1_100,
        changes(10, 12, vec![removed("a", 11), registered("c", 12)]),
    );
    assert_eq!(listed(&out), Some(vec!["b", "c"]));
    let expected = changes(10, 12, vec![removed("a", 11), registered("c", 12)]);
    assert_eq!(sent(&out), Some(&expected));
}

#[test]
fn changes_after_a_gap_are_requested_instead_of_applied() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    let later = changes(12, 14, vec![registered("c", 14)]);
    let out = handle(
        &mut fleet,
        1_100,
        message_at_revision(14, FleetBody::Found(later)),
    );
    assert_eq!(listed(&out), None);
    assert!(requests_registrations(&out));
}

/// Guards against a late copy of an old change that restores a server which has been removed since.
#[test]
fn an_old_change_does_not_restore_a_removed_server() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    read(&mut fleet, 1_100, changes(10, 12, vec![removed("a", 12)]));
    for old in [
        changes(3, 13, vec![registered("a", 4), registered("b", 13)]),
        changes(3, 11, vec![registered("a", 11)]),
        whole(11, vec![registered("a", 4)]),
    ] {
        handle(&mut fleet, 1_200, message(FleetBody::Found(old)));
    }
    let out = read(
        &mut fleet,
        1_300,
        changes(13, 14, vec![registered("c", 14)]),
    );
    assert_eq!(listed(&out), Some(vec!["b", "c"]));
}

#[test]
fn a_peer_receives_the_changes_that_it_lacks() {
    let mut fleet = fleet();
    let list = vec![registered("a", 4), registered("b", 5)];
    read(&mut fleet, 1_000, whole(10, list));
    read(&mut fleet, 1_100, changes(10, 12, vec![removed("a", 12)]));
    let mut reply = |revision| {
        let request = FleetBody::FetchFound(FetchFound { revision });
        sent(&handle(&mut fleet, 1_200, message(request))).cloned()
    };
    assert_eq!(reply(12), None);
    assert_eq!(reply(11), Some(changes(11, 12, vec![removed("a", 12)])));
    // Removals before the list was read are unknown, so the whole list has to be sent.
    assert_eq!(reply(9), Some(whole(12, vec![registered("b", 5)])));
    assert_eq!(reply(0), Some(whole(12, vec![registered("b", 5)])));
}

/// A restarted router learned from its peers that its configuration was current before it had any
/// registration. Callers that it accepted then had no backend server.
#[test]
fn a_router_is_not_ready_before_it_has_a_list() {
    let mut fleet = fleet();
    let digest = Digest(1);
    let requested_at = Millis(1_000);
    let config = Arc::new(Config {
        version: 1,
        ..Config::default()
    });
    let head = Event::ConfigHead {
        version: 1,
        digest,
        requested_at,
    };
    let hosts = Event::HostList {
        version: 1,
        hosts: Vec::new(),
        requested_at,
    };
    for event in [Event::Config { config, digest }, head, hosts] {
        assert_ne!(ready(&handle(&mut fleet, 1_000, event)), Some(Ok(())));
    }
    let out = read(&mut fleet, 1_100, whole(10, vec![registered("a", 4)]));
    assert_eq!(ready(&out), Some(Ok(())));
}

// Guards against registrations that are ignored until the store, which came back from an older copy, has
// given out as many revisions as before (CONFIG).
#[test]
fn a_list_of_a_later_era_replaces_one_of_a_greater_number() {
    let mut fleet = fleet();
    let before = Revision::new(1, 900).0;
    let after = Revision::new(2, 700).0;
    read(
        &mut fleet,
        100,
        whole(before, vec![registered("old", before)]),
    );
    let out = read(
        &mut fleet,
        200,
        whole(after, vec![registered("new", after)]),
    );
    let live = live_names(&out).expect("the list changed nothing");
    assert!(live.contains(&"new".to_owned()), "{live:?}");
}

// Guards against an old list that returns from a router which was cut off during the restore.
#[test]
fn a_list_of_an_earlier_era_is_ignored() {
    let mut fleet = fleet();
    let before = Revision::new(1, 900).0;
    let after = Revision::new(2, 700).0;
    read(
        &mut fleet,
        100,
        whole(after, vec![registered("new", after)]),
    );
    let out = read(
        &mut fleet,
        200,
        whole(before, vec![registered("old", before)]),
    );
    assert_eq!(live_names(&out), None);
}

/// Returns the names of the backend servers that may get work, if they changed.
fn live_names(out: &[Action]) -> Option<Vec<String>> {
    out.iter().find_map(|action| match action {
        Action::Backends(update) => Some(update.live.iter().map(|f| f.name.clone()).collect()),
        _ => None,
    })
}
