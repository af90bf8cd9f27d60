use std::collections::BTreeSet;

use toucanchute_proto::{
    Millis,
    config::{self, Config},
};

use super::{
    Dispatcher, Target,
    cold::WarmUpPolicy,
    fault::Fault,
    health::Health,
    pool::{Pool, PoolKey},
    replica::Replica,
};

impl Dispatcher {
    pub(super) fn configure(&mut self, now: Millis, config: &Config, withdrawn: &BTreeSet<String>) {
        self.queue_limit = config.routing.queue_limit as usize;
        let regions = config.failure_domains.iter();
        self.regions = regions
            .map(|d| (d.name.clone(), d.region.clone()))
            .collect();
        self.set_pools(config);
        self.set_targets(config);
        let mut unlisted: BTreeSet<_> = self.replicas.keys().collect();
        let replicas = config.backends.len();
        for b in &config.backends {
            let listed = !withdrawn.contains(&b.name) || self.has(Fault::UseWithdrawn);
            if let Some(key) = self.set_backend(now, b, listed) {
                unlisted.remove(&key);
                self.replicas[key].cache.set_replica_count(replicas);
            }
        }
        for key in unlisted {
            self.replicas[key].listed = false;
            self.remove_if_done(now, key);
        }
        self.configured = true;
    }

    fn set_pools(&mut self, config: &Config) {
        for p in &config.pools {
            let key = match self.pool_named(&p.name) {
                Some(key) => key,
                None => self.pools.insert(Pool::new(&p.name)),
            };
            let factor = if self.has(Fault::ExceedConcurrency) {
                4
            } else {
                1
            };
            let pool = &mut self.pools[key];
            pool.max_concurrency = p.max_concurrency * factor;
            let routing = &config.routing;
            pool.warm_up = WarmUpPolicy::new(p, routing);
            pool.retries
                .configure(routing.retry_share_percent, routing.retry_burst);
        }
    }

    fn set_targets(&mut self, config: &Config) {
        let models = config.models.iter();
        let models = models.map(|m| (Target::Model(m.name.clone()), &m.pool));
        let services = config.services.iter();
        let services = services.map(|s| (Target::Service(s.name.clone()), &s.pool));
        let found = |(t, pool): (Target, &String)| Some((t, self.pool_named(pool)?));
        self.targets = models.chain(services).filter_map(found).collect();
    }

    fn set_backend(
        &mut self,
        now: Millis,
        b: &config::Backend,
        listed: bool,
    ) -> Option<super::pool::BackendKey> {
        let address = b.address.parse().ok()?;
        let pool = self.pool_named(&b.pool)?;
        let key = match self.keys_by_name.get(&b.name) {
            Some(&key) => key,
            None => {
                let mut replica = Replica::new(&b.name, address, &b.failure_domain, pool);
                replica.backoff = self.saved_backoffs.take(&b.name);
                replica.rate_limit = self.known_limits.get(&b.name).map(|k| k.rate);
                replica.warm_up.policy = self.pools[pool].warm_up;
                replica.warm_up.extend(self.cold_notices.take(&b.name));
                let key = self.replicas.insert(replica);
                self.keys_by_name.insert(b.name.clone(), key);
                key
            }
        };
        let r = &mut self.replicas[key];
        let joins = listed && !r.listed;
        let moved = r.address != address;
        if joins || moved {
            r.health = Health::new();
        }
        if (joins || moved) && self.configured {
            r.begin_slow_start(now);
        }
        let old = std::mem::replace(&mut r.pool, pool);
        r.address = address;
        r.domain.clone_from(&b.failure_domain);
        r.region = self.regions.get(&b.failure_domain).cloned();
        r.software.clone_from(&b.software);
        r.listed = listed;
        r.leaving = self.leaving.contains(&b.name);
        r.set_evacuated(now, self.evacuation.contains(&b.failure_domain));
        r.warm_up.policy = self.pools[pool].warm_up;
        r.limit.set_max(self.pools[pool].max_concurrency);
        self.pools[old].members.retain(|k| *k != key);
        self.pools[pool].members.push(key);
        self.open_cold_issuer(now, key);
        Some(key)
    }

    fn pool_named(&self, name: &str) -> Option<PoolKey> {
        let mut pools = self.pools.iter();
        pools.find(|(_, p)| p.name == name).map(|(key, _)| key)
    }
}
