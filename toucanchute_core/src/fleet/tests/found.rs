//! Registrations of backend servers that a router could not read come through its peers.

use std::sync::Arc;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{
        FetchFound, FleetBody, FleetMessage, Found, FoundBody, Gossip, Head, Member, MemberState,
    },
};

use crate::fleet::{Action, Event, Fleet, Identity, NotReady};

const PEER: Incarnation = Incarnation(2);

fn fleet() -> Fleet {
    let id = Identity {
        incarnation: Incarnation(1),
        host: "h1".to_owned(),
        failure_domain: "d0".to_owned(),
        region: "r".to_owned(),
        caller_address: "192.0.2.1:80".parse().unwrap(),
        peer_address: "192.0.2.1:81".parse().unwrap(),
        seeds: Vec::new(),
    };
    let mut fleet = Fleet::new(id, 1).following_registrations();
    let member = Member {
        incarnation: PEER,
        host: "h2".to_owned(),
        failure_domain: "d1".to_owned(),
        region: "r".to_owned(),
        caller_address: "192.0.2.2:80".to_owned(),
        peer_address: "192.0.2.2:81".to_owned(),
        state: MemberState::Alive,
        update: 1,
        outage: false,
    };
    fleet.handle(Millis(0), Event::PeerUp(member), &mut Vec::new());
    fleet
}

fn found(name: &str) -> Vec<Found> {
    vec![Found {
        name: name.to_owned(),
        service: "llm".to_owned(),
        address: "192.0.2.9:80".parse().unwrap(),
        failure_domain: "d0".to_owned(),
        leaving: false,
        slots: 64,
    }]
}

fn handle(fleet: &mut Fleet, now: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    fleet.handle(Millis(now), event, &mut out);
    out
}

fn message(body: FleetBody) -> Event {
    let head = Head {
        version: 0,
        digest: Default::default(),
    };
    let gossip = Gossip {
        head,
        hosts: 0,
        backends: None,
        members: Vec::new(),
        verdicts: Vec::new(),
        loads: Vec::new(),
    };
    Event::Message {
        from: PEER,
        message: Box::new(FleetMessage { body, gossip }),
    }
}

fn told(out: &[Action]) -> Option<&str> {
    out.iter().find_map(|a| match a {
        Action::Backends(found) => Some(found[0].name.as_str()),
        _ => None,
    })
}

fn ready(out: &[Action]) -> Option<Result<(), NotReady>> {
    out.iter().find_map(|a| match a {
        Action::Ready(ready) => Some(*ready),
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
fn a_router_whose_list_grows_old_asks_a_peer() {
    let mut fleet = fleet();
    let backends = found("a");
    let asked = Millis(1_000);
    assert_eq!(
        told(&handle(&mut fleet, 1_000, Event::Found { backends, asked })),
        Some("a")
    );
    assert!(!asks(&handle(&mut fleet, 1_500, Event::Tick)));
    assert!(asks(&handle(&mut fleet, 2_500, Event::Tick)));
}

#[test]
fn the_list_that_was_read_last_counts() {
    let mut fleet = fleet();
    let backends = found("a");
    let asked = Millis(1_000);
    handle(&mut fleet, 1_000, Event::Found { backends, asked });
    let body = |name, age| {
        let backends = found(name);
        let age = Millis(age);
        message(FleetBody::Found(FoundBody { backends, age }))
    };
    assert_eq!(told(&handle(&mut fleet, 3_000, body("old", 2_500))), None);
    assert_eq!(
        told(&handle(&mut fleet, 3_000, body("new", 100))),
        Some("new")
    );
}

#[test]
fn a_peer_gets_the_list_only_if_it_is_newer() {
    let mut fleet = fleet();
    let backends = found("a");
    let asked = Millis(1_000);
    handle(&mut fleet, 1_000, Event::Found { backends, asked });
    let sent = |fleet: &mut Fleet, age| {
        let age = Some(Millis(age));
        let out = handle(
            fleet,
            2_000,
            message(FleetBody::FetchFound(FetchFound { age })),
        );
        out.iter().any(|a| match a {
            Action::Send { message, .. } => matches!(message.body, FleetBody::Found(_)),
            _ => false,
        })
    };
    assert!(sent(&mut fleet, 5_000));
    assert!(!sent(&mut fleet, 500));
}

#[test]
fn a_router_without_a_list_asks_a_peer() {
    assert!(asks(&handle(&mut fleet(), 500, Event::Tick)));
}

/// A restarted router hears from its peers that its configuration is current before it has read
/// any registration; callers that it took then had no backend server.
#[test]
fn a_router_is_not_ready_before_it_has_a_list() {
    let mut fleet = fleet();
    let digest = Digest(1);
    let asked = Millis(1_000);
    let config = Arc::new(Config {
        version: 1,
        ..Config::default()
    });
    let head = Event::HeadSeen {
        version: 1,
        digest,
        asked,
    };
    let hosts = Event::HostList {
        version: 1,
        hosts: Vec::new(),
        asked,
    };
    for event in [Event::Config { config, digest }, head, hosts] {
        assert_ne!(ready(&handle(&mut fleet, 1_000, event)), Some(Ok(())));
    }
    let backends = found("a");
    let out = handle(&mut fleet, 1_100, Event::Found { backends, asked });
    assert_eq!(ready(&out), Some(Ok(())));
}
