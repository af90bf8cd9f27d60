//! Injected faults of hosts, the network and the store.

use rand::Rng;
use toucanchute_core::money::{GRANT_RETURN_WAIT_MS, Money};
use toucanchute_proto::Millis;

use super::{
    oracle::CheckResult,
    sim::Faults,
    walk::{HOSTS, Walk},
};

impl Walk {
    pub(crate) fn crash(&mut self, host: usize) {
        self.summary.crashes += 1;
        self.sim.hosts[host].money = None;
        if self.sim.chance(700) {
            self.sim.start(host);
        }
    }

    /// Checks that a drained router has no work left, and starts a new run in its place.
    pub(crate) fn on_drained(&mut self, host: usize) -> CheckResult {
        self.summary.drained += 1;
        let money = self.sim.hosts[host].money.as_ref();
        let status = money.map(Money::status).unwrap_or_default();
        self.sim.start(host);
        let waited = status
            .draining_for
            .is_some_and(|t| t >= Millis(GRANT_RETURN_WAIT_MS));
        let gave_back = status.grants.is_empty() && status.pending_entries == 0;
        let unsettled = status.drain_blocking_entries + status.witnessed_debits;
        match unsettled == 0 && (gave_back || waited) {
            true => Ok(()),
            false => Err(format!(
                "host {host} was drained with work left: {status:?}"
            )),
        }
    }

    pub(crate) fn freeze(&mut self, host: usize) {
        let span = Millis(self.sim.rng.random_range(50..2_000));
        self.sim.hosts[host].frozen_until = self.sim.now + span;
    }

    pub(crate) fn partition(&mut self) {
        for host in 0..HOSTS {
            self.sim.hosts[host].side = self.sim.rng.random_range(0..2);
        }
    }

    pub(crate) fn cut_store(&mut self, host: usize) {
        let all = self.sim.chance(500);
        for other in 0..HOSTS {
            if all || other == host {
                self.sim.hosts[other].store_up = false;
            }
        }
    }

    pub(crate) fn change_faults(&mut self) {
        let rng = &mut self.sim.rng;
        let mut rate = |most: u32| {
            if rng.random_bool(0.5) {
                rng.random_range(0..most)
            } else {
                0
            }
        };
        self.sim.faults = Faults {
            lose_message: rate(300),
            duplicate_message: rate(400),
            reorder_message: rate(400),
            lose_store_answer: rate(400),
            delay_write: rate(300),
            store_delay: Millis(u64::from(rate(250))),
        };
    }

    pub(crate) fn clear_faults(&mut self) {
        self.sim.faults = Faults::default();
        for host in 0..HOSTS {
            let slot = &mut self.sim.hosts[host];
            slot.side = 0;
            slot.store_up = true;
            slot.frozen_until = self.sim.now;
            if slot.money.is_none() {
                self.sim.start(host);
            }
        }
    }
}
