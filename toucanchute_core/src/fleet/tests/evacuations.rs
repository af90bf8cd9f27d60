//! Lists of evacuated failure domains, as a router gets them from the store and from peers.

use std::collections::BTreeSet;

use toucanchute_proto::{
    Incarnation, Millis, Revision,
    fleet::{EvacuationList, FleetBody, FleetMessage, Gossip, Push},
};
use yare::parameterized;

use super::peers::{linked, no_gossip};
use crate::fleet::{Action, Event, Fleet, fault::Fault};

const PEER: Incarnation = Incarnation(2);
const OTHER_PEER: Incarnation = Incarnation(3);

fn fleet() -> Fleet {
    linked(1, [PEER.0, OTHER_PEER.0], Millis(1_400))
}

fn list(revision: u64, domains: &[&str]) -> EvacuationList {
    EvacuationList {
        revision,
        failure_domains: domains.iter().map(|&d| d.to_owned()).collect(),
    }
}

fn handle(fleet: &mut Fleet, now: u64, event: Event) -> Vec<Action> {
    let mut out = Vec::new();
    fleet.handle(Millis(now), event, &mut out);
    out
}

fn read(fleet: &mut Fleet, now: u64, revision: u64, domains: &[&str]) -> Vec<Action> {
    handle(fleet, now, Event::Evacuations(list(revision, domains)))
}

/// Returns a message of a peer that sends a list, or only names the revision of its own.
fn message(list: Option<EvacuationList>, revision: Option<u64>) -> Event {
    let gossip = Gossip {
        evacuation_revision: list.as_ref().map(|l| l.revision).or(revision),
        evacuations: list,
        ..no_gossip()
    };
    let body = FleetBody::Push(Push { seq: 1 });
    let message = Box::new(FleetMessage { body, gossip });
    Event::Message {
        from: PEER,
        message,
    }
}

/// Returns the domains of the last [`Action::Evacuate`].
fn evacuated(out: &[Action]) -> Option<Vec<&str>> {
    let mut sets = out.iter().filter_map(|a| match a {
        Action::Evacuate(domains) => Some(domains),
        _ => None,
    });
    sets.next_back()
        .map(|set: &BTreeSet<String>| set.iter().map(String::as_str).collect())
}

/// Returns the peers to which a list of this revision is sent.
fn receivers(out: &[Action], revision: u64) -> BTreeSet<Incarnation> {
    let sends = out.iter().filter_map(|a| match a {
        Action::Send { to, message } => Some((to, message.gossip.evacuations.as_ref()?)),
        _ => None,
    });
    sends
        .filter(|(_, l)| l.revision == revision)
        .map(|(to, _)| *to)
        .collect()
}

/// Guards against an older list that ends an evacuation, or brings one back (EVAC).
#[parameterized(
    that_is_older = { 9, &[] },
    of_the_same_revision = { 10, &[] },
    of_an_earlier_time_with_other_domains = { 4, &["d1"] },
)]
fn a_peers_list_changes_nothing(revision: u64, domains: &[&str]) {
    let mut fleet = fleet();
    assert_eq!(
        evacuated(&read(&mut fleet, 1_000, 10, &["d0"])),
        Some(vec!["d0"])
    );
    let out = handle(
        &mut fleet,
        1_100,
        message(Some(list(revision, domains)), None),
    );
    assert_eq!(evacuated(&out), None);
}

/// Guards against a router that applies an order and keeps it to itself.
#[test]
fn a_change_is_pushed_to_the_peers_at_once() {
    let mut fleet = fleet();
    let out = read(&mut fleet, 1_000, 10, &["d0"]);
    assert_eq!(receivers(&out, 10), [PEER, OTHER_PEER].into());
    let out = handle(&mut fleet, 1_100, message(Some(list(12, &[])), None));
    assert_eq!(evacuated(&out), Some(vec![]));
    assert_eq!(receivers(&out, 12), [OTHER_PEER].into());
}

/// Guards against a list that was lost on its way to a peer and is never sent again.
#[test]
fn a_list_is_sent_until_the_peer_names_its_revision() {
    let mut fleet = fleet();
    read(&mut fleet, 1_000, 10, &["d0"]);
    let pinged = |fleet: &mut Fleet, from: u64| {
        let ticks = (from..from + 3_000).step_by(100);
        let out: Vec<Action> = ticks.flat_map(|t| handle(fleet, t, Event::Tick)).collect();
        receivers(&out, 10).contains(&PEER)
    };
    assert!(pinged(&mut fleet, 1_100));
    handle(&mut fleet, 4_200, message(None, Some(10)));
    assert!(!pinged(&mut fleet, 4_300));
}

/// Guards against messages that grow in fleets without orders.
#[test]
fn a_fleet_without_orders_sends_no_list() {
    let mut fleet = fleet();
    let mut out = read(&mut fleet, 1_000, 10, &[]);
    out.extend(
        (1_100..4_000)
            .step_by(100)
            .flat_map(|t| handle(&mut fleet, t, Event::Tick)),
    );
    let quiet = |a: &Action| match a {
        Action::Send { message, .. } => {
            message.gossip.evacuations.is_none() && message.gossip.evacuation_revision.is_none()
        }
        _ => true,
    };
    assert!(out.iter().all(quiet));
}

/// Guards against work for an evacuated domain because the store came back from a copy that is older than
/// the order (EVAC).
#[test]
fn an_evacuation_outlasts_a_store_that_came_back_without_it() {
    let mut fleet = fleet();
    let at = |era, number| Revision::new(era, number).0;
    read(&mut fleet, 1_000, at(1, 50), &["d0"]);
    assert_eq!(evacuated(&read(&mut fleet, 2_000, at(2, 40), &[])), None);
    assert_eq!(
        evacuated(&read(&mut fleet, 4_000, at(2, 44), &["d0"])),
        None
    );
    let later = (4_100..13_000).step_by(100);
    let out: Vec<Action> = later
        .flat_map(|t| handle(&mut fleet, t, Event::Tick))
        .collect();
    assert_eq!(evacuated(&out), None);
    assert_eq!(
        evacuated(&read(&mut fleet, 13_000, at(2, 60), &[])),
        Some(vec![])
    );
}

/// Guards against an order that the operator did not write again and that stays for good.
#[test]
fn an_order_that_is_not_written_again_ends() {
    let mut fleet = fleet();
    let at = |era, number| Revision::new(era, number).0;
    read(&mut fleet, 1_000, at(1, 50), &["d0"]);
    read(&mut fleet, 2_000, at(2, 40), &[]);
    let later = (2_100..13_000).step_by(100);
    let out: Vec<Action> = later
        .flat_map(|t| handle(&mut fleet, t, Event::Tick))
        .collect();
    assert_eq!(evacuated(&out), Some(vec![]));
}

/// Shows that the tests above find a router that ignores orders.
#[test]
fn ignored_orders_are_detected() {
    let mut fleet = fleet();
    fleet.fault = Some(Fault::IgnoreEvacuations);
    assert_eq!(evacuated(&read(&mut fleet, 1_000, 10, &["d0"])), None);
}
