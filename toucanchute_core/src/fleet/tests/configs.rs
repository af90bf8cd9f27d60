//! Configurations that travel between routers.

use toucanchute_proto::{
    Bytes, Digest, Incarnation, Millis,
    config::{Config, Route, RouteKind, RouteTarget},
    fleet::{ConfigBody, FetchConfig, FleetBody},
    pack,
};

use super::peers::{hear, linked};
use crate::fleet::{Action, Fleet};

const PEER: Incarnation = Incarnation(2);

fn fleet() -> Fleet {
    linked(1, [PEER.0], Millis(1_400))
}

fn tell(fleet: &mut Fleet, body: FleetBody) -> Vec<Action> {
    hear(fleet, Millis(1_000), PEER.0, body)
}

fn sent(packed: &Bytes, digest: u128) -> FleetBody {
    FleetBody::Config(ConfigBody {
        packed: packed.clone(),
        digest: Digest(digest),
    })
}

fn in_force(out: &[Action]) -> Option<u64> {
    out.iter().find_map(|a| match a {
        Action::ApplyConfig(config) => Some(config.version),
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
    // A field of a later version, which this one would lose in packing anew.
    let mut config = serde_json::to_value(large(7)).unwrap();
    config["later"] = 1.into();
    let packed = pack(&config);
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
        let told = |a: &Action| matches!(a, Action::BadPeerConfig { .. });
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
