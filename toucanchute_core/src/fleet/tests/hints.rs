//! Distribution of hints about backend servers.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::{
    Incarnation, Millis, RequestRate,
    fleet::{BackendHint, FleetMessage, HintedState},
};
use yare::parameterized;

use super::peers::{linked, member};
use crate::fleet::{Action, Event, Fleet};

/// Age of a view above which a router reads the store for itself.
const VIEW_AGE: Millis = Millis(1_400);

/// Number of neighbours on each side that a router has links to.
const NEIGHBOURS: u64 = 4;

/// Part of the messages that are lost.
const LOSS: f64 = 0.2;

/// Time in which all routers have to learn a hint, in milliseconds.
const SPREAD_TIME: u64 = 1_000;

fn hint(rate: u64, version: u64) -> BackendHint {
    BackendHint {
        backend: "b1".to_owned(),
        state: HintedState::RateLimited,
        rate: Some(RequestRate(rate)),
        version,
        router: Incarnation(1),
    }
}

fn leaving() -> BackendHint {
    BackendHint {
        state: HintedState::Leaving,
        rate: None,
        ..hint(0, 1)
    }
}

/// Routers in a ring, each with links to some neighbours.
pub(super) struct Ring {
    routers: Vec<Fleet>,
    /// Routers that passed a hint, or another router's load report, to their dispatchers.
    pub(super) informed: BTreeSet<usize>,
    rng: SmallRng,
    now: u64,
}

impl Ring {
    pub(super) fn new(count: u64) -> Ring {
        let router = |i: u64| {
            let neighbours =
                (1..=NEIGHBOURS).flat_map(|d| [(i + d) % count, (i + count - d) % count]);
            let ids: BTreeSet<u64> = neighbours.filter(|&n| n != i).map(|n| n + 1).collect();
            linked(i + 1, ids, VIEW_AGE)
        };
        Ring {
            routers: (0..count).map(router).collect(),
            informed: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(count),
            now: 0,
        }
    }

    pub(super) fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += Fleet::TICK.0;
            for i in 0..self.routers.len() {
                self.handle(i, Event::Tick);
            }
        }
    }

    pub(super) fn handle(&mut self, router: usize, event: Event) {
        let mut inbox = vec![(router, event)];
        while let Some((to, event)) = inbox.pop() {
            let mut out = Vec::new();
            self.routers[to].handle(Millis(self.now), event, &mut out);
            for action in out {
                match action {
                    Action::Hint(_) | Action::Load(_) => drop(self.informed.insert(to)),
                    Action::Send { to: peer, message } => {
                        inbox.extend(self.transmit(to, peer, message));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Returns the message as an event of its receiver, unless it is lost.
    fn transmit(
        &mut self,
        from: usize,
        to: Incarnation,
        message: Box<FleetMessage>,
    ) -> Option<(usize, Event)> {
        let from = member(from as u64 + 1).incarnation;
        let event = Event::Message { from, message };
        (!self.rng.random_bool(LOSS)).then_some((to.0 as usize - 1, event))
    }
}

// Guards against a limit or a leaving server that only some routers know of.
#[parameterized(
    small_fleet = { 7, hint(1_400, 1) },
    middle_fleet = { 30, hint(1_400, 1) },
    leaving_server = { 30, leaving() },
)]
fn a_hint_reaches_all_routers_although_messages_are_lost(count: u64, hint: BackendHint) {
    let mut ring = Ring::new(count);
    ring.run(1_000);
    ring.handle(0, Event::Hint(hint));
    ring.run(SPREAD_TIME);
    assert_eq!(ring.informed.len() as u64, count - 1);
}

// Guards against an older hint that is taken for news and makes routers send it round for ever.
#[test]
fn an_older_hint_is_dropped() {
    let mut ring = Ring::new(7);
    ring.handle(0, Event::Hint(hint(1_400, 2)));
    ring.run(SPREAD_TIME);
    ring.informed.clear();
    ring.handle(3, Event::Hint(hint(900, 1)));
    ring.run(SPREAD_TIME);
    assert!(ring.informed.is_empty());
}
