use rand::{Rng, rngs::SmallRng};
use slotmap::SlotMap;
use toucanchute_proto::Millis;

use super::{
    RoutingRequest,
    availability::Availability,
    pool::{BackendKey, Pool},
    replica::Replica,
    suspects::Suspects,
};
use crate::hash;

/// Worth of a long cached prefix, in shares of a replica's limit.
const PREFIX_WORTH: f64 = 0.8;

/// Load of a replica, as a multiple of the average, up to which it takes requests by affinity.
const BUSY_FACTOR: f64 = 1.5;

/// Load beyond that multiple, in shares of a replica's limit.
const BUSY_SLACK: f64 = 0.12;

/// Cost of another failure domain, in shares of a replica's limit.
const DISTANCE_COST: f64 = 0.05;

/// Cost of a replica that runs a suspect, in shares of a replica's limit.
const SUSPECT_COST: f64 = 1.0;

/// A choice among the replicas of one pool.
pub(super) struct Chooser<'a> {
    pub(super) now: Millis,
    pub(super) domain: &'a str,
    pub(super) pool: &'a Pool,
    pub(super) replicas: &'a SlotMap<BackendKey, Replica>,
    pub(super) suspects: &'a Suspects,
}

impl Chooser<'_> {
    /// Whether any replica has room.
    pub(super) fn any_room(&self) -> bool {
        self.fit().next().is_some()
    }

    /// Chooses by the better of two random replicas and the one with the longest cached prefix;
    /// `apart` from those that are claimed for a suspect.
    pub(super) fn choose(
        &self,
        req: &RoutingRequest,
        apart: bool,
        rng: &mut SmallRng,
    ) -> Option<BackendKey> {
        let mut fit: Vec<BackendKey> = self.fit().collect();
        if apart {
            fit.retain(|&k| !self.suspects.claimed(&self.replicas[k].name));
        }
        let fresh = |k: &BackendKey| !req.exclude.contains(&self.replicas[*k].name);
        if fit.iter().any(fresh) {
            fit.retain(fresh);
        } else if self.others_later(req) {
            return None;
        }
        if let Some(affinity) = req.affinity
            && let Some(key) = self.by_affinity(affinity, &fit)
        {
            return Some(key);
        }
        let cached = |k: &BackendKey| self.replicas[*k].cache.share(&req.prefix);
        let longest = fit
            .iter()
            .copied()
            .max_by(|a, b| cached(a).total_cmp(&cached(b)));
        let mut tries: Vec<BackendKey> = Vec::with_capacity(3);
        tries.extend(longest.filter(|k| cached(k) > 0.0));
        for _ in 0..2 {
            if !fit.is_empty() {
                tries.push(fit.swap_remove(rng.random_range(0..fit.len())));
            }
        }
        tries
            .into_iter()
            .min_by(|&a, &b| self.cost(req, a).total_cmp(&self.cost(req, b)))
    }

    /// Returns the first replica by rendezvous hashing that is not much busier than the others. All
    /// routers find the same one without talking to each other.
    fn by_affinity(&self, affinity: u64, fit: &[BackendKey]) -> Option<BackendKey> {
        let loads: Vec<f64> = fit.iter().map(|&k| self.load(k)).collect();
        let bound = self.mean_load(fit, &loads) * BUSY_FACTOR + BUSY_SLACK;
        let calm = fit.iter().zip(loads).filter(|(_, load)| *load <= bound);
        let weight = |k: BackendKey| hash::mix(&[affinity, self.replicas[k].hash]);
        calm.map(|(&k, _)| k).max_by_key(|&k| weight(k))
    }

    /// Mean of the replicas whose load is known. Others only show this router's own requests, a small
    /// part of all in a large fleet, and would make those that are known look busy.
    fn mean_load(&self, fit: &[BackendKey], loads: &[f64]) -> f64 {
        let known = |k: BackendKey| self.replicas[k].is_load_known(self.now);
        let reported = fit.iter().zip(loads).filter(|(k, _)| known(**k));
        let reported: Vec<f64> = reported.map(|(_, &load)| load).collect();
        let counted = if reported.is_empty() {
            loads
        } else {
            &reported
        };
        counted.iter().sum::<f64>() / counted.len().max(1) as f64
    }

    /// Requests of a replica as a share of those allowed, weighed by its pace.
    fn load(&self, key: BackendKey) -> f64 {
        let r = &self.replicas[key];
        let load = (r.estimate(self.now) + 1.0) / r.allowed(self.now);
        load * r.pace(self.pool.token_time())
    }

    /// Whether a replica that did not fail this request takes work, if not just now.
    fn others_later(&self, req: &RoutingRequest) -> bool {
        self.pool.members.iter().any(|&k| {
            let r = &self.replicas[k];
            let later = matches!(
                r.availability(self.now),
                Availability::Full | Availability::Open
            );
            later && r.health.cap().is_none() && !req.exclude.contains(&r.name)
        })
    }

    /// Whether the replica of that name has room.
    pub(super) fn fits(&self, name: &str) -> Option<BackendKey> {
        self.fit().find(|&k| self.replicas[k].name == name)
    }

    fn fit(&self) -> impl Iterator<Item = BackendKey> {
        let members = self.pool.members.iter().copied();
        members.filter(|&k| self.replicas[k].availability(self.now) == Availability::Open)
    }

    fn cost(&self, req: &RoutingRequest, key: BackendKey) -> f64 {
        let r = &self.replicas[key];
        let distance = if r.domain == self.domain {
            0.0
        } else {
            DISTANCE_COST
        };
        let suspects = if self.suspects.claimed(&r.name) {
            SUSPECT_COST
        } else {
            0.0
        };
        self.load(key) + distance + suspects - r.cache.share(&req.prefix) * PREFIX_WORTH
    }
}
