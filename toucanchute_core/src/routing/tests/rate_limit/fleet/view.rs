//! Changes of the simulated fleet, and what each router knows of the others.

use rand::Rng;
use toucanchute_proto::Millis;

use super::{Delivery, Fleet, Router};
use crate::routing::{Event, FleetRouter, FleetView, RouterState};

/// Time for which a router is silent until the others count it as unreachable.
const SUSPICION_TIME: Millis = Millis(500);

impl Fleet {
    /// Gives a router the present state of the others.
    pub(super) fn update_view(&mut self, router: usize) {
        let me = &self.routers[router];
        let others = self
            .routers
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != router);
        let view = |(i, r): (usize, &Router)| FleetRouter {
            incarnation: r.incarnation,
            host: format!("host-{i}"),
            capacity: 250,
            state: match r {
                Router { up: false, .. } => RouterState::Left,
                r if r.side != me.side || r.frozen_until > self.now + SUSPICION_TIME => {
                    RouterState::Unreachable
                }
                _ => RouterState::Alive,
            },
        };
        let view = FleetView {
            host: format!("host-{router}"),
            capacity: 250,
            leaving: !me.up,
            routers: others.map(view).collect(),
        };
        self.handle(router, Event::Fleet(view));
    }

    /// Lets all routers learn the state of the fleet, each after a time of its own.
    pub(in super::super) fn spread_views(&mut self) {
        for i in 0..self.routers.len() {
            let delay = self.view_delay();
            self.post(i, Millis(delay), Delivery::View);
        }
    }

    fn view_delay(&mut self) -> u64 {
        let (least, most) = self.scenario.view_time;
        self.rng.random_range(least..most)
    }

    pub(in super::super) fn router_count(&self) -> usize {
        self.routers.len()
    }

    /// Freezes a router. The others learn of it, and later of its return.
    pub(in super::super) fn freeze(&mut self, router: usize, span: Millis) {
        self.routers[router].frozen_until = self.now + span;
        self.spread_views();
        for i in 0..self.routers.len() {
            let delay = self.view_delay();
            self.post(i, span + Millis(delay), Delivery::View);
        }
    }

    /// Replaces a router by a new run that knows nothing.
    pub(in super::super) fn restart(&mut self, router: usize) {
        self.serial += 1;
        let incarnation = self.serial + 1_000_000;
        self.routers[router] = Router::new(self.scenario, incarnation);
        self.configure(router);
        self.post_cold_notice(router, Millis(0));
        for hint in self.hints.clone().into_values() {
            let delay = self.view_delay();
            self.post(router, Millis(delay), Delivery::Event(Event::Hint(hint)));
        }
        self.spread_views();
    }

    /// Takes a router out of the fleet, or back into it as a new run.
    pub(in super::super) fn toggle(&mut self, router: usize) {
        let alone = self.routers.iter().filter(|r| r.up).count() == 1;
        if self.routers[router].up && !alone {
            self.routers[router].up = false;
            self.update_view(router);
            self.spread_views();
        } else {
            self.restart(router);
        }
    }

    /// Puts each router on a side of a partition, or ends the partition.
    pub(in super::super) fn partition(&mut self, sides: usize) {
        for i in 0..self.routers.len() {
            self.routers[i].side = self.rng.random_range(0..sides);
        }
        self.spread_views();
    }
}
