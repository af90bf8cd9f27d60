use rand::Rng;
use toucanchute_proto::{Incarnation, Millis, fleet::MemberState};

use super::Fleet;
use crate::hash;

/// Number of routers that read the store for the whole fleet.
const READERS: usize = 2;

/// Time after the start over which the first reads of the routers are spread, per router in the
/// store's records. The first to read sends the result to the others, which then need no read.
const START_SPREAD: Millis = Millis(15);

/// Upper limit of that time.
const MAX_START_SPREAD: Millis = Millis(1_200);

/// Divisor of the greatest view age; the quotient is the most by which a router may read earlier.
const AGE_SPREAD: u64 = 5;

/// How a router reads configuration and registrations from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreReadMode {
    /// It does not read: peers send it what changes.
    #[default]
    None,
    /// It reads for itself, because the view that it has from its peers is too old or its last read
    /// failed. It reads less and less often while the store does not answer.
    Own,
    /// It is one of the few routers that read for the whole fleet.
    Chosen,
}

/// Determines when a router reads the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadPolicy {
    /// Age of the view above which this router reads for itself.
    own_max_age: Millis,
    /// Age above which every router reads for itself.
    fleet_max_age: Millis,
    /// Random position of this router, from 0 to 1, among those that start at the same time.
    start_position: f64,
    /// When the first event was handled.
    started: Option<Millis>,
}

impl Fleet {
    /// Uses registrations of backend servers instead of the host list. Few routers read them and
    /// the configuration from the store, and the others receive both from peers. A router whose
    /// view is older than `max_age` reads for itself. It is not ready before it has a list of
    /// backend servers.
    #[must_use]
    pub fn following_registrations(mut self, max_age: Millis) -> Fleet {
        // A router that reads early also renews the views of the others. With equal limits all
        // would find their views too old and read at once.
        let reduction = self.rng.random_range(0..=max_age.0 / AGE_SPREAD);
        self.read_policy = Some(ReadPolicy {
            own_max_age: Millis(max_age.0 - reduction),
            fleet_max_age: max_age,
            start_position: self.rng.random(),
            started: None,
        });
        self
    }

    pub(super) fn follows_registrations(&self) -> bool {
        self.read_policy.is_some()
    }

    /// Age of a view above which every router reads the store for itself; absent if registrations
    /// are not used.
    pub(super) fn max_view_age(&self) -> Option<Millis> {
        self.read_policy.map(|policy| policy.fleet_max_age)
    }

    pub(super) fn record_start(&mut self, now: Millis) {
        if let Some(policy) = &mut self.read_policy {
            policy.started.get_or_insert(now);
        }
    }

    /// Returns how this router has to read the store now.
    #[must_use]
    pub fn store_read_mode(&self, now: Millis) -> StoreReadMode {
        let Some(policy) = self.read_policy else {
            return StoreReadMode::None;
        };
        let age = self.view.age(now);
        let running = policy.started.map_or(Millis(0), |at| now.since(at));
        if age.is_none() && running < self.start_delay(policy.start_position) {
            return StoreReadMode::None;
        }
        let me = self.identity.incarnation;
        let chosen = self.readers(true).contains(&me) || self.readers(false).contains(&me);
        let stale = age.is_none_or(|age| age > policy.own_max_age);
        match (chosen, stale || self.view.is_platform_down()) {
            (true, _) => StoreReadMode::Chosen,
            (false, true) => StoreReadMode::Own,
            (false, false) => StoreReadMode::None,
        }
    }

    /// Time after the start for which the router waits for its peers' data before it reads for
    /// itself.
    fn start_delay(&self, start_position: f64) -> Millis {
        let known = self.hosts.routers.len().max(self.known_members());
        let spread = (START_SPREAD.0 * known as u64).min(MAX_START_SPREAD.0);
        Millis((spread as f64 * start_position) as u64)
    }

    /// Chooses the routers that read the store for the whole fleet, if possible in different
    /// failure domains. `include_lost` tells whether routers that report no access to the store may
    /// be chosen.
    pub(super) fn readers(&self, include_lost: bool) -> Vec<Incarnation> {
        let is_alive = |state| state == MemberState::Alive;
        let eligible = |outage: bool| include_lost || !outage;
        let me = (!self.drain.is_leaving() && eligible(self.me.outage)).then_some(&self.me);
        let peers = self.members.live();
        let peers = peers.filter(|m| is_alive(m.state) && eligible(m.outage));
        let mut ranked: Vec<_> = peers
            .chain(me)
            .map(|m| {
                let weight = f64::from(m.capacity.max(1));
                let rank = hash::weighted_rank(hash::rendezvous("readers", m.incarnation), weight);
                (rank, m)
            })
            .collect();
        ranked.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut readers: Vec<Incarnation> = Vec::with_capacity(READERS);
        let first = ranked.first().map(|(_, m)| &m.failure_domain);
        let (near, far): (Vec<_>, Vec<_>) = ranked
            .iter()
            .skip(1)
            .partition(|(_, m)| Some(&m.failure_domain) == first);
        let order = ranked.first().into_iter().chain(far).chain(near);
        readers.extend(order.take(READERS).map(|(_, m)| m.incarnation));
        readers
    }
}
