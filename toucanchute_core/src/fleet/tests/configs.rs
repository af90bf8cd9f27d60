//! Configurations that travel between routers.

use toucanchute_proto::{
    Bytes, Digest, Incarnation, Millis,
    config::{Config, Route, RouteKind, RouteTarget},
    fleet::{ConfigBody, FetchConfig, FleetBody, FleetMessage, Gossip, Head, Member, MemberState},
    pack,
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
        capacity: 0,
        seeds: Vec::new(),
    };
    let mut fleet = Fleet::new(id, 1).following_registrations(Millis(1_400));
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
        capacity: 0,
    };
    fleet.handle(Millis(0), Event::PeerUp(member), &mut Vec::new());
    fleet
}

fn tell(fleet: &mut Fleet, body: FleetBody) -> Vec<Action> {
    let head = Head {
        version: 0,
        digest: Digest::default(),
    };
    let gossip = Gossip {
        head,
        hosts: 0,
        backends: None,
        members: Vec::new(),
        verdicts: Vec::new(),
        loads: Vec::new(),
    };
    let message = Box::new(FleetMessage { body, gossip });
    let mut out = Vec::new();
    let from = PEER;
    fleet.handle(Millis(1_000), Event::Message { from, message }, &mut out);
    out
}

fn sent(packed: &Bytes, digest: u128) -> FleetBody {
    FleetBody::Config(ConfigBody {
        packed: packed.clone(),
        digest: Digest(digest),
    })
}

fn in_force(out: &[Action]) -> Option<u64> {
    out.iter().find_map(|a| match a {
        Action::InForce(config) => Some(config.version),
        _ => None,
    })
}

/// The operator's configuration with very many routes.
fn large(version: u64) -> Config {
    let route = |i| Route {
        name: format!("route-{i}"),
        host: "gates.example".to_owned(),
        prefix: format!("/prefix-{i}/"),
        kind: RouteKind::Stream,
        resumable: true,
        public: false,
        attempts: 2,
        timeout_ms: 15_000,
        target_ms: 1_000,
        gap_target_ms: 800,
        priority: 255,
        targets: vec![RouteTarget {
            service: "llm".to_owned(),
            weight: 1,
        }],
    };
    Config {
        version,
        routes: (0..1_400).map(route).collect(),
        ..Config::default()
    }
}

#[test]
fn a_large_configuration_takes_little_of_a_slow_link() {
    assert!(pack(&large(1)).len() < 40_000);
}

#[test]
fn a_configuration_is_passed_on_as_it_came() {
    let mut fleet = fleet();
    let packed = pack(&large(7));
    let out = tell(&mut fleet, sent(&packed, 70));
    assert_eq!(in_force(&out), Some(7));
    let out = tell(
        &mut fleet,
        FleetBody::FetchConfig(FetchConfig { version: 7 }),
    );
    let passed = out.iter().find_map(|a| match a {
        Action::Send { message, .. } => match &message.body {
            FleetBody::Config(body) => Some(body.packed.clone()),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(passed, Some(packed));
}

#[test]
fn bytes_that_are_no_configuration_change_nothing() {
    let mut fleet = fleet();
    tell(&mut fleet, sent(&pack(&large(7)), 70));
    let cut = pack(&large(8)).slice(..100);
    for bytes in [Bytes::from_static(b"no configuration"), Bytes::new(), cut] {
        let out = tell(&mut fleet, sent(&bytes, 80));
        assert_eq!(in_force(&out), None);
        let told = |a: &Action| matches!(a, Action::Malformed { .. });
        assert!(out.iter().any(told));
    }
    let out = tell(&mut fleet, sent(&pack(&large(9)), 90));
    assert_eq!(in_force(&out), Some(9));
}

#[test]
fn an_older_configuration_is_not_taken_and_not_passed_on() {
    let mut fleet = fleet();
    let newer = pack(&large(9));
    tell(&mut fleet, sent(&newer, 90));
    assert_eq!(
        in_force(&tell(&mut fleet, sent(&pack(&large(8)), 80))),
        None
    );
    let out = tell(
        &mut fleet,
        FleetBody::FetchConfig(FetchConfig { version: 8 }),
    );
    let passed = |a: &Action| match a {
        Action::Send { message, .. } => message.body == sent(&newer, 90),
        _ => false,
    };
    assert!(out.iter().any(passed));
}
