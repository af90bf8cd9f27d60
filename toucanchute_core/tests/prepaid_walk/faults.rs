//! Faults that are injected at random.

use std::collections::BTreeSet;

use rand::Rng;
use toucanchute_core::prepaid::Event;
use toucanchute_proto::Incarnation;

use super::Simulation;

impl Simulation {
    pub(super) fn inject_fault(&mut self) {
        let i = self.rng.random_range(0..self.routers.len());
        let span = self.rng.random_range(200..9_000);
        let until = self.now + span;
        match self.rng.random_range(0..14) {
            0 | 1 => self.kill(i),
            2 => {
                for _ in 0..self.routers.len() / 2 + 1 {
                    let i = self.rng.random_range(0..self.routers.len());
                    self.kill(i);
                }
            }
            3 => {
                for _ in 0..self.routers.len() {
                    self.kill(0);
                }
            }
            4 | 5 => self.routers[i].frozen_until = until,
            6 => self.routers[i].store_cut_until = until,
            7 | 8 => self
                .routers
                .iter_mut()
                .for_each(|r| r.store_cut_until = until),
            9 => {
                let (me, others): (Incarnation, Vec<_>) = (
                    self.routers[i].id,
                    self.routers.iter().map(|r| r.id).collect(),
                );
                for other in others {
                    self.split.insert((me.min(other), me.max(other)), until);
                }
            }
            10 => {
                let ids: Vec<_> = self.routers.iter().map(|r| r.id).collect();
                let here: BTreeSet<_> = ids
                    .iter()
                    .copied()
                    .filter(|_| self.rng.random_bool(0.5))
                    .collect();
                for &a in &here {
                    for &b in ids.iter().filter(|b| !here.contains(b)) {
                        self.split.insert((a.min(b), a.max(b)), until);
                    }
                }
            }
            11 => {
                let other = self.routers[self.rng.random_range(0..self.routers.len())].id;
                let me = self.routers[i].id;
                self.split.insert((me.min(other), me.max(other)), until);
            }
            12 => {
                for _ in 0..self.rng.random_range(1..=self.routers.len()) {
                    let i = self.rng.random_range(0..self.routers.len());
                    let host = self.end_router(i);
                    self.hosts_down.push((host, until));
                }
                self.update_peers();
            }
            _ => {
                self.routers[i].draining = true;
                self.update_peers();
                if let Some(i) = self.routers.iter().position(|r| r.draining) {
                    self.feed(i, Event::Drain);
                }
            }
        }
    }

    /// Starts a router on each host that has power again.
    pub(super) fn restart_hosts(&mut self) {
        let now = self.now;
        let up: Vec<_> = self
            .hosts_down
            .extract_if(.., |(_, until)| *until <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        for (host, _) in up {
            self.start(host);
        }
        self.update_peers();
    }

    /// Kills a router and starts another one on its host. Tokens that were reserved for its
    /// requests count as used.
    pub(super) fn kill(&mut self, i: usize) {
        let host = self.end_router(i);
        self.start(host);
        self.update_peers();
    }

    /// Removes a router, whose requests ask for nothing more, and returns its host.
    pub(super) fn end_router(&mut self, i: usize) -> usize {
        let router = self.routers.remove(i);
        self.rests
            .retain(|call, _| !router.calls.contains_key(call));
        router.host
    }
}
