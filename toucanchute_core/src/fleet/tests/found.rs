//! Registrations of backend servers that a router could not read come through its peers.

use std::sync::Arc;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
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
    told_of(0, body)
}

/// A message of a peer that knows the registrations up to a revision.
fn told_of(revision: u64, body: FleetBody) -> Event {
    let gossip = Gossip {
        hosts: revision,
        ..no_gossip()
    };
    Event::Message {
        from: PEER,
        message: Box::new(FleetMessage { body, gossip }),
    }
}

fn told(out: &[Action]) -> Option<Vec<&str>> {
    out.iter().find_map(|a| match a {
        Action::Backends(change) => Some(change.live.iter().map(|f| f.name.as_str()).collect()),
        _ => None,
    })
}

/// What was sent to the peer of the registrations.
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

fn asks(out: &[Action]) -> bool {
    out.iter().any(|a| match a {
        Action::Send { message, .. } => matches!(message.body, FleetBody::FetchFound(_)),
        _ => false,
    })
}

#[test]
fn a_router_that_hears_of_later_changes_asks_for_them() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    let ping = || FleetBody::Push(Push { seq: 1 });
    assert!(!asks(&handle(&mut fleet, 1_100, told_of(10, ping()))));
    assert!(asks(&handle(&mut fleet, 1_200, told_of(12, ping()))));
}

#[test]
fn only_later_revisions_count() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    let body = |body| message(FleetBody::Found(body));
    let old = whole(9, vec![registered("old", 9)]);
    assert_eq!(told(&handle(&mut fleet, 1_100, body(old))), None);
    let new = whole(12, vec![registered("new", 12)]);
    assert_eq!(
        told(&handle(&mut fleet, 1_200, body(new))),
        Some(vec!["new"])
    );
}

#[test]
fn changes_are_passed_on_alone() {
    let mut fleet = fleet();
    let list = vec![registered("a", 4), registered("b", 5)];
    read(&mut fleet, 1_000, whole(10, list));
    let out = read(
        &mut fleet,
        1_100,
        changes(10, 12, vec![removed("a", 11), registered("c", 12)]),
    );
    assert_eq!(told(&out), Some(vec!["b", "c"]));
    let news = changes(10, 12, vec![removed("a", 11), registered("c", 12)]);
    assert_eq!(sent(&out), Some(&news));
}

#[test]
fn changes_after_a_gap_are_not_taken() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, whole(10, vec![registered("a", 4)]));
    let later = changes(12, 14, vec![registered("c", 14)]);
    let out = handle(&mut fleet, 1_100, told_of(14, FleetBody::Found(later)));
    assert_eq!(told(&out), None);
    assert!(asks(&out));
}

/// A late copy of an old change must not bring back a server that left.
#[test]
fn a_server_that_left_does_not_come_back_with_an_old_change() {
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
    assert_eq!(told(&out), Some(vec!["b", "c"]));
}

#[test]
fn a_peer_gets_what_it_lacks() {
    let mut fleet = fleet();
    let list = vec![registered("a", 4), registered("b", 5)];
    read(&mut fleet, 1_000, whole(10, list));
    read(&mut fleet, 1_100, changes(10, 12, vec![removed("a", 12)]));
    let mut answer = |revision| {
        let ask = FleetBody::FetchFound(FetchFound { revision });
        sent(&handle(&mut fleet, 1_200, message(ask))).cloned()
    };
    assert_eq!(answer(12), None);
    assert_eq!(answer(11), Some(changes(11, 12, vec![removed("a", 12)])));
    // What was removed before the list was read is not known, so that all has to be told.
    assert_eq!(answer(9), Some(whole(12, vec![registered("b", 5)])));
    assert_eq!(answer(0), Some(whole(12, vec![registered("b", 5)])));
}

/// A restarted router hears from its peers that its configuration is current before it has read
/// any registration; callers that it took then had no backend server.
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
