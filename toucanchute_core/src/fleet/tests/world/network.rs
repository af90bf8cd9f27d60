//! The simulated platform and the links between routers.

use rand::Rng;
use toucanchute_proto::{Digest, Incarnation, Millis};

use super::{POLL, ROUTERS, Router, World, backend};
use crate::fleet::{Event, HostEntry, HostRole, HostState, tests::steps::Listed};

impl World {
    // Platform

    pub(in super::super) fn reaches_platform(&self, router: usize) -> bool {
        self.up && !self.routers[router].cut
    }

    pub(super) fn poll(&mut self, i: usize) {
        let r = &mut self.routers[i];
        let due = r.next_poll <= self.now && r.frozen <= self.now && !r.exited;
        if !due || !r.fleet.reads_platform(self.now) {
            return;
        }
        r.next_poll = self.now + Millis(POLL);
        let (id, requested_at) = (self.id(i), self.now);
        if !self.reaches_platform(i) {
            self.post(id, 50, Event::PlatformDown);
            return;
        }
        self.oracle.read_head(self.now, self.version);
        let version = self.version;
        let digest = Digest(version.into());
        self.post(
            id,
            5,
            Event::ConfigHead {
                version,
                digest,
                requested_at,
            },
        );
        if !self.hosts_up {
            self.post(id, 50, Event::PlatformDown);
            return;
        }
        self.oracle.read_hosts(self.now, &self.listed);
        let version = self.hosts;
        let hosts = self.host_entries();
        self.post(
            id,
            7,
            Event::HostList {
                version,
                hosts,
                requested_at,
            },
        );
    }

    pub(super) fn host_entries(&self) -> Vec<HostEntry> {
        let entry = |(i, listed): (usize, &Listed)| {
            let state = match listed {
                Listed::Live => HostState::Live,
                Listed::Leaving => HostState::Leaving,
                Listed::Absent => return None,
            };
            Some(HostEntry {
                name: backend(i),
                address: "192.0.2.99:80".parse().unwrap(),
                role: HostRole::Backend,
                state,
            })
        };
        self.listed.iter().enumerate().filter_map(entry).collect()
    }

    // Links

    pub(in super::super) fn connected(&self, a: usize, b: usize) -> bool {
        self.routers[a].side == self.routers[b].side
    }

    /// Whether the router is in a majority of the fleet none of which can reach the platform. Such
    /// a side may continue to take work for some time after an outage of the whole fleet.
    pub(super) fn majority_cut_off(&self, i: usize) -> bool {
        let side: Vec<usize> = (0..ROUTERS).filter(|&j| self.connected(i, j)).collect();
        let cut_off = !self.hosts_up || !side.iter().any(|&j| self.reaches_platform(j));
        cut_off && side.len() * 2 > ROUTERS
    }

    pub(super) fn drop_cut_links(&mut self) {
        let links: Vec<_> = self.links.iter().copied().collect();
        for (a, b) in links {
            let (Some(i), Some(j)) = (self.index(a), self.index(b)) else {
                continue;
            };
            if !self.connected(i, j) && self.rng.random_ratio(1, 100) {
                self.drop_link(a, b);
            }
        }
    }

    pub(super) fn drop_link(&mut self, a: Incarnation, b: Incarnation) {
        self.links.remove(&(a, b));
        self.post(a, 1, Event::PeerDown(b));
        self.post(b, 1, Event::PeerDown(a));
    }

    pub(super) fn connect(&mut self, i: usize, address: std::net::SocketAddr) {
        let port = |r: &Router| r.fleet.member().peer_address.parse() == Ok(address);
        let Some(j) = self.routers.iter().position(port) else {
            return;
        };
        let (a, b) = (self.id(i).min(self.id(j)), self.id(i).max(self.id(j)));
        let reached = self.connected(i, j) && !self.routers[j].exited;
        let awake = self.routers[j].frozen <= self.now;
        if i == j || !reached || !awake || !self.links.insert((a, b)) {
            return;
        }
        let (left, right) = (
            self.routers[i].fleet.member(),
            self.routers[j].fleet.member(),
        );
        let (left, right) = (left.clone(), right.clone());
        self.post(right.incarnation, 2, Event::PeerUp(left.clone()));
        self.post(left.incarnation, 2, Event::PeerUp(right));
    }

    pub(super) fn send(
        &mut self,
        i: usize,
        to: Incarnation,
        message: &toucanchute_proto::fleet::FleetMessage,
    ) {
        let Some(j) = self.index(to) else {
            return;
        };
        let link = (self.id(i).min(to), self.id(i).max(to));
        let lost = self.rng.random_ratio(self.loss, 100);
        if lost || !self.connected(i, j) || !self.links.contains(&link) {
            return;
        }
        let from = self.id(i);
        let copies = if self.rng.random_ratio(1, 50) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = self.rng.random_range(1..25);
            let message = Box::new(message.clone());
            self.post(to, delay, Event::Message { from, message });
        }
    }
}
