//! Applies the load reports of backend servers.

use toucanchute_proto::{Millis, fleet::Load};

use super::{
    Action, Dispatcher,
    pool::{BackendKey, PoolKey},
};

/// Shortest time between two updates of what the replicas of a pool know of its typical load.
const TYPICAL_LOAD_INTERVAL: Millis = Millis(100);

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

impl Dispatcher {
    /// Applies a report from an answer to this router, and sends it to the other routers with what this
    /// one measured of the server.
    pub(super) fn apply_own_load(&mut self, now: Millis, mut load: Load, out: &mut Vec<Action>) {
        let Some(&key) = self.keys_by_name.get(&load.backend) else {
            return;
        };
        let token_time = self.replicas[key].own_token_time();
        load.token_time_us = token_time.map(|ms| (ms * MICROS_PER_MS) as u32);
        self.update_load(now, key, &load);
        out.push(Action::ShareLoad(load));
    }

    /// Applies a report from a poll or from another router.
    pub(super) fn apply_load(&mut self, now: Millis, load: &Load) {
        let Some(&key) = self.keys_by_name.get(&load.backend) else {
            return;
        };
        if let Some(us) = load.token_time_us {
            self.replicas[key].record_peer_token_time(f64::from(us) / MICROS_PER_MS);
        }
        self.update_load(now, key, load);
    }

    /// Returns the mean difference between the requests that were believed to be at a backend server and
    /// those that it reported, as a share of its slots; `None` before the first report.
    #[must_use]
    pub fn load_error(&self) -> Option<f64> {
        let errors = self.pools.values().filter_map(|p| p.loads.error());
        errors.max_by(f64::total_cmp)
    }

    fn update_load(&mut self, now: Millis, key: BackendKey, load: &Load) {
        let r = &mut self.replicas[key];
        let (believed, pool) = (r.load.requests(now), r.pool);
        if load.polled {
            r.health.record_load_report(load.as_of.min(now));
        }
        if r.load.update(now, load.clone()) {
            self.pools[pool].loads.record_report(load, believed);
            self.update_typical_load(now, pool);
        }
    }

    fn update_typical_load(&mut self, now: Millis, key: PoolKey) {
        let pool = &mut self.pools[key];
        if now < pool.next_typical_load {
            return;
        }
        pool.next_typical_load = now + TYPICAL_LOAD_INTERVAL;
        let typical = pool.loads.typical();
        for &member in &pool.members {
            self.replicas[member].load.set_typical(typical);
        }
    }
}
