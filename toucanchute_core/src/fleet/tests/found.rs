//! Registrations of backend servers that a router could not read come through its peers.

use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{
        FetchFound, FleetBody, FleetMessage, Found, FoundBody, Gossip, Head, Member, MemberState,
    },
};

use crate::fleet::{Action, Event, Fleet, Identity};

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
    let mut fleet = Fleet::new(id, 1);
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
