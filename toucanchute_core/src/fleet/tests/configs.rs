//! Transfer of configurations between routers.

use toucanchute_proto::{
    Bytes, Digest, Incarnation, Millis,
    config::{Config, Route, RouteKind, RouteTarget},
    fleet::{ConfigBody, FetchConfig, FleetBody},
    pack,
};

use super::peers::{linked, receive};
use crate::fleet::{Action, Fleet};

const PEER: Incarnation = Incarnation(2);

fn fleet() -> Fleet {
    linked(1, [PEER.0], Millis(1_400))
}

fn deliver(fleet: &mut Fleet, body: FleetBody) -> Vec<Action> {
    receive(fleet, Millis(1_000), PEER.0, body)
}

fn config_body(packed: &Bytes, digest: u128) -> FleetBody {
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

/// A configuration with 1,400 routes.
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
        regions: Vec::new(),
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

/// A configuration may have to be sent over a slow link.
#[test]
fn a_large_configuration_is_small_when_packed() {
    assert!(pack(&large(1)).len() < 40_000);
}

#[test]
fn a_configuration_is_forwarded_unchanged() {
    let mut fleet = fleet();
    // A field of a later software version, which would be lost if this version encoded the
    // configuration again.
    let mut config = serde_json::to_value(large(7)).unwrap();
    config["later"] = 1.into();
    let packed = pack(&config);
    let out = deliver(&mut fleet, config_body(&packed, 70));
    assert_eq!(in_force(&out), Some(7));
    let out = deliver(
        &mut fleet,
        FleetBody::FetchConfig(FetchConfig { version: 7 }),
    );
    let forwarded = out.iter().find_map(|a| match a {
        Action::Send { message, .. } => match &message.body {
            FleetBody::Config(body) => Some(body.packed.clone()),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(forwarded, Some(packed));
}

#[test]
fn malformed_configurations_change_nothing() {
    let mut fleet = fleet();
    deliver(&mut fleet, config_body(&pack(&large(7)), 70));
    let cut = pack(&large(8)).slice(..100);
    for bytes in [Bytes::from_static(b"no configuration"), Bytes::new(), cut] {
        let out = deliver(&mut fleet, config_body(&bytes, 80));
        assert_eq!(in_force(&out), None);
        let reported = |a: &Action| matches!(a, Action::BadPeerConfig { .. });
        assert!(out.iter().any(reported));
    }
    let out = deliver(&mut fleet, config_body(&pack(&large(9)), 90));
    assert_eq!(in_force(&out), Some(9));
}

#[test]
fn an_older_configuration_is_neither_applied_nor_forwarded() {
    let mut fleet = fleet();
    let newer = pack(&large(9));
    deliver(&mut fleet, config_body(&newer, 90));
    assert_eq!(
        in_force(&deliver(&mut fleet, config_body(&pack(&large(8)), 80))),
        None
    );
    let out = deliver(
        &mut fleet,
        FleetBody::FetchConfig(FetchConfig { version: 8 }),
    );
    let forwarded = |a: &Action| match a {
        Action::Send { message, .. } => message.body == config_body(&newer, 90),
        _ => false,
    };
    assert!(out.iter().any(forwarded));
}
