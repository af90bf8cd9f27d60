use rand::Rng;
use toucanchute_proto::{Incarnation, Millis, fleet::MemberState};

use super::Fleet;
use crate::hash;

/// Routers that read the store for all.
const READERS: usize = 2;

/// Time after the start over which the first readings of the routers are spread, for each router in
/// the store's records: whoever reads first tells the others.
const START_SPREAD: Millis = Millis(15);

/// Longest such time.
const MAX_START_SPREAD: Millis = Millis(1_200);

/// Part of the age of a view by which some routers read reduction than others.
const AGE_SPREAD: u64 = 5;

/// How a router reads configuration and registrations out of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreReadMode {
    /// Not at all: peers tell what is new.
    #[default]
    None,
    /// For itself, because what the peers tell is too old or it was refused before. It does so
    /// less and less often while the store does not answer.
    Own,
    /// For all, as one of few.
    Chosen,
}

/// When a router reads the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadPolicy {
    /// Age of the view from which on this router reads itself.
    own_max_age: Millis,
    /// Age from which on every router does.
    fleet_max_age: Millis,
    /// This router's place among those that start with it, from 0 to 1.
    start_position: f64,
    /// When the machine took in its first event.
    started: Option<Millis>,
}

impl Fleet {
    /// Makes registrations of backend servers take the place of the host list: few routers read
    /// them and the configuration, the others learn from peers. A router whose view is older than
    /// `max_age` reads for itself. It is not ready before it knows some list of backend servers.
    #[must_use]
    pub fn following_registrations(mut self, max_age: Millis) -> Fleet {
        // Whoever reads first spares the others, so that not all find their views too old at once.
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

    /// Greatest age of a view at which every router reads the store itself; absent where none does.
    pub(super) fn max_view_age(&self) -> Option<Millis> {
        self.read_policy.map(|policy| policy.fleet_max_age)
    }

    pub(super) fn record_start(&mut self, now: Millis) {
        if let Some(policy) = &mut self.read_policy {
            policy.started.get_or_insert(now);
        }
    }

    /// How this router has to read the store now.
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

    /// Time after the start in which peers may tell what is new before the router reads itself.
    fn start_delay(&self, start_position: f64) -> Millis {
        let known = self.hosts.routers.len().max(self.known_members());
        let spread = (START_SPREAD.0 * known as u64).min(MAX_START_SPREAD.0);
        Millis((spread as f64 * start_position) as u64)
    }

    /// The routers that read the store for all, if possible in different failure domains, with or
    /// without those that say that they lost it.
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
