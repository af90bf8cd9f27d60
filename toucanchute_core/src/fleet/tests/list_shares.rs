//! Shares of the lists of addresses, as routers learn them from the one that asks for a smaller one.

use std::collections::BTreeMap;

use toucanchute_proto::{Incarnation, Millis};
use yare::parameterized;

use super::peers::linked;
use crate::{
    fleet::{Action, Event, Fleet},
    placement::FULL_SHARE,
};

/// The router whose share changes, and one that is cut off.
const CHOKED: u64 = 1;
const CUT_OFF: u64 = 2;

/// Routers that are all linked. Each message takes one step of [`Fleet::TICK`].
struct Routers {
    now: Millis,
    fleets: BTreeMap<u64, Fleet>,
    /// Share of [`CHOKED`] that each of the others last published.
    shares: BTreeMap<u64, u8>,
    is_cut: bool,
    in_transit: Vec<(Incarnation, Event)>,
}

impl Routers {
    fn new(count: u64) -> Routers {
        let fleet = |i| (i, linked(i, (1..=count).filter(|&p| p != i), Millis(1_400)));
        let mut routers = Routers {
            now: Millis(1_000),
            fleets: (1..=count).map(fleet).collect(),
            shares: BTreeMap::new(),
            is_cut: false,
            in_transit: Vec::new(),
        };
        routers.run(Millis(3_000));
        routers
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Fleet::TICK;
            for (to, event) in std::mem::take(&mut self.in_transit) {
                self.handle(to.0, event);
            }
            for i in 1..=self.fleets.len() as u64 {
                self.handle(i, Event::Tick);
            }
        }
    }

    fn handle(&mut self, i: u64, event: Event) {
        let mut out = Vec::new();
        let fleet = self.fleets.get_mut(&i).unwrap();
        fleet.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } if !self.is_lost(i, to) => {
                    let from = Incarnation(i);
                    self.in_transit.push((to, Event::Message { from, message }));
                }
                Action::Members(members) => {
                    let choked = members.iter().find(|m| m.incarnation.0 == CHOKED);
                    self.shares.extend(choked.map(|m| (i, m.list_share)));
                }
                _ => {}
            }
        }
    }

    fn is_lost(&self, from: u64, to: Incarnation) -> bool {
        self.is_cut && (from == CUT_OFF || to.0 == CUT_OFF)
    }
}

/// Guards against a choked host that other routers go on to name in all lists.
#[parameterized(
    fleet_of_7 = { 7 },
    fleet_of_30 = { 30 },
    fleet_of_70 = { 70 },
)]
fn all_routers_learn_a_share_within_two_seconds(count: u64) {
    let mut routers = Routers::new(count);
    routers.handle(CHOKED, Event::ListShare(FULL_SHARE / 2));
    routers.run(Millis(2_000));
    assert_eq!(routers.shares.len() as u64, count - 1);
    assert!(
        routers
            .shares
            .values()
            .all(|&share| share == FULL_SHARE / 2)
    );
}

/// Guards against a router that keeps an old share after it was cut off, as the change is gossiped only for a
/// short time.
#[test]
fn a_router_that_was_cut_off_learns_the_last_share() {
    let mut routers = Routers::new(7);
    routers.is_cut = true;
    routers.handle(CHOKED, Event::ListShare(FULL_SHARE / 2));
    routers.run(Millis(2_000));
    assert_eq!(routers.shares[&CUT_OFF], FULL_SHARE);
    routers.handle(CHOKED, Event::ListShare(FULL_SHARE / 4));
    routers.run(Millis(2_000));
    routers.is_cut = false;
    routers.run(Millis(4_000));
    assert_eq!(routers.shares[&CUT_OFF], FULL_SHARE / 4);
}
