use rand::{Rng, rngs::SmallRng};
use slotmap::SlotMap;
use toucanchute_proto::Millis;

use super::{
    RoutingRequest,
    availability::Availability,
    pool::{BackendKey, Pool},
    rate_limit::PermitAsks,
    replica::Replica,
    suspects::Suspects,
};
use crate::hash;

/// Value of a long cached prefix, as a share of a replica's request limit.
const PREFIX_WORTH: f64 = 0.8;

/// Multiple of the average load up to which a replica gets requests by affinity.
const AFFINITY_LOAD_FACTOR: f64 = 1.5;

/// Load allowed beyond that multiple, as a share of a replica's request limit.
const AFFINITY_LOAD_SLACK: f64 = 0.12;

/// Cost of a replica in another failure domain, as a share of a replica's request limit.
const REMOTE_DOMAIN_COST: f64 = 0.05;

/// Cost of a replica that is claimed for a suspect, as a share of a replica's request limit.
const SUSPECT_COST: f64 = 1.0;

/// Chooses among the replicas of one pool for a request.
pub(super) struct Chooser<'a> {
    pub(super) now: Millis,
    pub(super) domain: &'a str,
    pub(super) pool: &'a Pool,
    pub(super) replicas: &'a SlotMap<BackendKey, Replica>,
    pub(super) suspects: &'a Suspects,
    pub(super) asks: &'a PermitAsks,
}

impl Chooser<'_> {
    /// Whether any replica can take a request.
    pub(super) fn has_room(&self) -> bool {
        self.open_replicas().next().is_some()
    }

    /// Returns the replica of lowest cost among two random ones and the one with the longest cached
    /// prefix.
    ///
    /// A request with an affinity gets its replica by [`Self::by_affinity`] if one is not too busy.
    /// With `avoid_claimed`, replicas that are claimed for a suspect are left out. Replicas that
    /// failed the request before are used only if no other one will have room.
    pub(super) fn choose(
        &self,
        req: &RoutingRequest,
        avoid_claimed: bool,
        rng: &mut SmallRng,
    ) -> Option<BackendKey> {
        let mut open = self.open_replicas_for(req);
        if avoid_claimed {
            open.retain(|&k| !self.suspects.is_claimed(&self.replicas[k].name));
        }
        let untried = |k: &BackendKey| !req.exclude.contains(&self.replicas[*k].name);
        if open.iter().any(untried) {
            open.retain(untried);
        } else if self.untried_replica_later(req) {
            return None;
        }
        self.best_of(req, open, rng)
    }

    /// Returns the replica for a request that runs on silent ones and may not wait: never one that is
    /// claimed for a suspect or needs a permit. One that the request was not sent to is preferred.
    pub(super) fn choose_hedge(
        &self,
        req: &RoutingRequest,
        rng: &mut SmallRng,
    ) -> Option<BackendKey> {
        let mut open = self.open_replicas_for(req);
        open.retain(|&k| {
            let r = &self.replicas[k];
            r.permit_need(self.now).is_none() && !self.suspects.is_claimed(&r.name)
        });
        let untried = |k: &BackendKey| !req.exclude.contains(&self.replicas[*k].name);
        if open.iter().any(untried) {
            open.retain(untried);
        }
        self.best_of(req, open, rng)
    }

    /// Whether a replica of the software that a request needs can take a request.
    pub(super) fn has_room_for(&self, req: &RoutingRequest) -> bool {
        self.open_replicas().any(|k| self.replicas[k].may_run(req))
    }

    /// Returns the replicas that can take a request, do not have it and run the software that it needs.
    fn open_replicas_for(&self, req: &RoutingRequest) -> Vec<BackendKey> {
        let fits = |k: &BackendKey| {
            let r = &self.replicas[*k];
            r.may_run(req) && !req.running_on.contains(&r.name)
        };
        self.open_replicas().filter(fits).collect()
    }

    /// Returns the replica among `open` by affinity, or else the one of lowest cost among two random
    /// ones and the one with the longest cached prefix.
    fn best_of(
        &self,
        req: &RoutingRequest,
        mut open: Vec<BackendKey>,
        rng: &mut SmallRng,
    ) -> Option<BackendKey> {
        if let Some(affinity) = req.affinity
            && let Some(key) = self.by_affinity(affinity, &open)
        {
            return Some(key);
        }
        let cached = |k: &BackendKey| self.replicas[*k].cache.cached_share(&req.prefix);
        let longest = open
            .iter()
            .copied()
            .max_by(|a, b| cached(a).total_cmp(&cached(b)));
        let mut candidates: Vec<BackendKey> = Vec::with_capacity(3);
        candidates.extend(longest.filter(|k| cached(k) > 0.0));
        for _ in 0..2 {
            if !open.is_empty() {
                candidates.push(open.swap_remove(rng.random_range(0..open.len())));
            }
        }
        candidates
            .into_iter()
            .min_by(|&a, &b| self.cost(req, a).total_cmp(&self.cost(req, b)))
    }

    /// Returns the first replica by rendezvous hashing that is not much busier than the others. All
    /// routers find the same one without exchanging messages.
    fn by_affinity(&self, affinity: u64, open: &[BackendKey]) -> Option<BackendKey> {
        let loads: Vec<f64> = open.iter().map(|&k| self.load(k)).collect();
        let bound = self.mean_load(open, &loads) * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK;
        let below_bound = open.iter().zip(loads).filter(|(_, load)| *load <= bound);
        let weight = |k: BackendKey| hash::mix(&[affinity, self.replicas[k].hash]);
        below_bound.map(|(&k, _)| k).max_by_key(|&k| weight(k))
    }

    /// Returns the mean load of the replicas that reported theirs, or of all if none did.
    ///
    /// For a replica without a report only this router's own requests count. In a large fleet these
    /// are a small part of all, so that including them would make the reporting replicas look busy.
    fn mean_load(&self, open: &[BackendKey], loads: &[f64]) -> f64 {
        let known = |k: BackendKey| self.replicas[k].load.is_known(self.now);
        let reported = open.iter().zip(loads).filter(|(k, _)| known(**k));
        let reported: Vec<f64> = reported.map(|(_, &load)| load).collect();
        let counted = if reported.is_empty() {
            loads
        } else {
            &reported
        };
        counted.iter().sum::<f64>() / counted.len().max(1) as f64
    }

    /// Returns the requests of a replica, with one more and those that wait for its permits, as a
    /// share of its limit, multiplied by its relative token time.
    fn load(&self, key: BackendKey) -> f64 {
        let r = &self.replicas[key];
        let requests = r.load.requests(self.now) + self.asks.count(key) as f64;
        let load = (requests + 1.0) / r.request_limit(self.now);
        load * r.relative_token_time(self.pool.token_time())
    }

    /// Whether some replica that did not fail this request is healthy, so that it can run the
    /// request once it has room.
    fn untried_replica_later(&self, req: &RoutingRequest) -> bool {
        self.pool.members.iter().any(|&k| {
            let r = &self.replicas[k];
            let later = matches!(
                r.availability(self.now),
                Availability::Full | Availability::Open
            );
            later
                && r.may_run(req)
                && r.health.max_in_flight().is_none()
                && !req.exclude.contains(&r.name)
        })
    }

    /// Returns the replica called `name` if it can take a request.
    pub(super) fn open_replica(&self, name: &str) -> Option<BackendKey> {
        self.open_replicas()
            .find(|&k| self.replicas[k].name == name)
    }

    /// Whether the replica called `name` runs other software than a request needs.
    pub(super) fn may_not_run_on(&self, name: &str, req: &RoutingRequest) -> bool {
        let mut members = self.pool.members.iter().map(|&k| &self.replicas[k]);
        members.any(|r| r.name == name && !r.may_run(req))
    }

    /// Whether a replica can take a request that has a permit.
    pub(super) fn is_open_with_permit(&self, key: BackendKey) -> bool {
        let availability = self.replicas.get(key).map(|r| r.availability(self.now));
        matches!(
            availability,
            Some(Availability::Open | Availability::RateLimited(_))
        )
    }

    fn open_replicas(&self) -> impl Iterator<Item = BackendKey> {
        let members = self.pool.members.iter().copied();
        members.filter(|&k| self.replicas[k].availability(self.now) == Availability::Open)
    }

    fn cost(&self, req: &RoutingRequest, key: BackendKey) -> f64 {
        let r = &self.replicas[key];
        let distance = if r.domain == self.domain {
            0.0
        } else {
            REMOTE_DOMAIN_COST
        };
        let suspects = if self.suspects.is_claimed(&r.name) {
            SUSPECT_COST
        } else {
            0.0
        };
        let load = self.load(key) * r.load.relative_pace(self.now);
        load + distance + suspects - r.cache.cached_share(&req.prefix) * PREFIX_WORTH
    }
}
