//! Routers, members and messages for the tests.

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{FleetBody, FleetMessage, Gossip, Head, Member, MemberState},
};

use crate::fleet::{Action, Event, Fleet, RouterIdentity};
use crate::placement::FULL_SHARE;

/// Number of failure domains over which the routers are spread.
const DOMAINS: u64 = 3;

/// Returns member `i` of a fleet, which is alive.
pub(super) fn member(i: u64) -> Member {
    Member {
        incarnation: Incarnation(i),
        host: format!("h{i}"),
        failure_domain: format!("d{}", i % DOMAINS),
        region: "r".to_owned(),
        caller_address: format!("192.0.2.{i}:80"),
        peer_address: format!("192.0.2.{i}:81"),
        state: MemberState::Alive,
        update: 0,
        outage: false,
        capacity: 0,
        bandwidth: 0,
        list_share: FULL_SHARE,
    }
}

/// Returns router `i`, which has had links to `peers` since time 0.
pub(super) fn linked(i: u64, peers: impl IntoIterator<Item = u64>, view_age: Millis) -> Fleet {
    let me = member(i);
    let id = RouterIdentity {
        incarnation: me.incarnation,
        host: me.host,
        failure_domain: me.failure_domain,
        region: me.region,
        caller_address: me.caller_address.parse().unwrap(),
        peer_address: me.peer_address.parse().unwrap(),
        capacity: 0,
        bandwidth: 0,
        seeds: Vec::new(),
    };
    let mut router = Fleet::new(id, i).following_registrations(view_age);
    for peer in peers {
        router.handle(Millis(0), Event::PeerUp(member(peer)), &mut Vec::new());
    }
    router
}

/// Returns gossip without content.
pub(super) fn no_gossip() -> Gossip {
    let head = Head {
        version: 0,
        digest: Digest::default(),
    };
    Gossip {
        head,
        hosts: 0,
        backends: None,
        evacuation_revision: None,
        evacuations: None,
        members: Vec::new(),
        verdicts: Vec::new(),
        shared_loads: Vec::new(),
        hints: Vec::new(),
    }
}

/// Delivers a message of a peer to a router; returns the router's actions.
pub(super) fn receive(router: &mut Fleet, now: Millis, from: u64, body: FleetBody) -> Vec<Action> {
    let gossip = no_gossip();
    let message = Box::new(FleetMessage { body, gossip });
    let from = Incarnation(from);
    let mut out = Vec::new();
    router.handle(now, Event::Message { from, message }, &mut out);
    out
}
