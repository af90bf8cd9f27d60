//! Routers that end without the others noticing at once, and routers that lose the store alone.

use rand::Rng;
use toucanchute_core::prepaid::Peer;
use toucanchute_proto::{Incarnation, fleet::MemberState};

use super::{Simulation, host_name};

/// Time within which the others notice that a router has ended, in milliseconds.
const NOTICE_TIME: u64 = 2_000;

/// Longest time until a router starts again on the host, or the store answers again, in milliseconds.
const LONGEST_OUTAGE: u64 = 9_000;

/// A router that has ended and that the others still take for alive.
#[derive(Debug)]
pub(super) struct UnnoticedEnd {
    id: Incarnation,
    host: usize,
    noticed_at: u64,
}

impl UnnoticedEnd {
    /// Returns what the others take it for.
    pub(super) fn peer(&self) -> Peer {
        Peer {
            incarnation: self.id,
            host: host_name(self.host),
            failure_domain: String::new(),
            capacity: 0,
            state: MemberState::Alive,
            store_up: true,
        }
    }
}

impl Simulation {
    /// At random, ends a router unnoticed or cuts one off from the store.
    pub(super) fn end_silently(&mut self) {
        let now = self.now;
        self.unnoticed_ends.retain(|end| end.noticed_at > now);
        let chance = self.conditions.silent_end_chance;
        if chance == 0.0 || self.routers.is_empty() || !self.silent_end_rng.random_bool(chance) {
            return;
        }
        let i = self.silent_end_rng.random_range(0..self.routers.len());
        let until = now + self.silent_end_rng.random_range(1_500..LONGEST_OUTAGE);
        if self.silent_end_rng.random_bool(0.5) {
            self.routers[i].store_cut_until = until;
            return;
        }
        let id = self.routers[i].id;
        let host = self.end_router(i);
        let noticed_at = now + self.silent_end_rng.random_range(0..NOTICE_TIME);
        self.unnoticed_ends.push(UnnoticedEnd {
            id,
            host,
            noticed_at: noticed_at.min(until),
        });
        self.hosts_down.push((host, until));
    }
}
