use std::{collections::VecDeque, net::SocketAddr};

use toucanchute_proto::{Millis, fleet::Load};

use super::{
    availability::{Availability, Rest},
    cache::PrefixCache,
    health::Health,
    limit::Limit,
    pool::{Average, PoolKey},
    unexplained::Unexplained,
};
use crate::hash;

/// Age up to which a load report counts.
const LOAD_AGE: Millis = Millis(3_000);

/// Work put on a replica beyond its capacity, so that it never idles for lack of news.
const HEADROOM: f64 = 1.1;

/// Time over which a joining replica gets up to its full share.
const SLOW_START: Millis = Millis(10_000);

/// Share of its limit with which a joining replica starts.
const START_SHARE: f64 = 0.1;

/// Weight of one measurement in a replica's averages.
const WEIGHT: f64 = 0.2;

/// Bounds of a replica's token time as a multiple of its pool's.
const PACE: (f64, f64) = (0.5, 8.0);

/// One backend server as this router sees it.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) name: String,
    /// Hash of the name, for rendezvous hashing.
    pub(super) hash: u64,
    pub(super) address: SocketAddr,
    pub(super) domain: String,
    pub(super) pool: PoolKey,
    /// Whether it is configured and not withdrawn; if not, it gets no new work.
    pub(super) listed: bool,
    /// Own attempts that have not ended.
    pub(super) in_flight: u32,
    pub(super) health: Health,
    pub(super) limit: Limit,
    pub(super) cache: PrefixCache,
    pub(super) unexplained: Unexplained,
    /// Whether it said that it leaves.
    pub(super) leaving: bool,
    pub(super) rest: Rest,
    /// When its registration lapsed without a word; it answered nothing since.
    pub(super) lapsed: Option<Millis>,
    /// Time since which it takes work; its limit rises from there.
    joined: Option<Millis>,
    load: Option<Load>,
    /// Own starts (1) and ends (-1) since the load report, oldest first.
    changes: VecDeque<(Millis, i32)>,
    /// Average time between tokens, in milliseconds.
    token: Average,
}

impl Replica {
    pub(super) fn new(name: &str, address: SocketAddr, domain: &str, pool: PoolKey) -> Replica {
        Replica {
            name: name.to_owned(),
            hash: hash::text(name),
            address,
            domain: domain.to_owned(),
            pool,
            listed: false,
            in_flight: 0,
            health: Health::new(),
            limit: Limit::new(1),
            cache: PrefixCache::new(),
            unexplained: Unexplained::default(),
            leaving: false,
            rest: Rest::None,
            lapsed: None,
            joined: None,
            load: None,
            changes: VecDeque::new(),
            token: Average::default(),
        }
    }

    /// Starts to raise its limit from a small share.
    pub(super) fn join(&mut self, now: Millis) {
        self.joined = Some(now);
    }

    /// Takes in that it answered a request that was sent at `sent`.
    pub(super) fn answered(&mut self, sent: Millis) {
        self.unexplained.answered(sent);
        self.lapsed = None;
    }

    // Load

    pub(super) fn report(&mut self, now: Millis, mut load: Load) {
        load.as_of = load.as_of.min(now);
        if self.load.as_ref().is_some_and(|old| old.as_of > load.as_of) {
            return;
        }
        self.health.heard(load.as_of);
        while self
            .changes
            .front()
            .is_some_and(|(at, _)| *at <= load.as_of)
        {
            self.changes.pop_front();
        }
        self.load = Some(load);
    }

    pub(super) fn started(&mut self, now: Millis) {
        self.in_flight += 1;
        self.change(now, 1);
    }

    pub(super) fn ended(&mut self, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.change(now, -1);
    }

    /// Requests that it probably has, from all routers.
    pub(super) fn estimate(&self, now: Millis) -> f64 {
        let own = i64::from(self.in_flight);
        let Some(load) = self.fresh_load(now) else {
            return own as f64;
        };
        let reported = i64::from(load.running) + i64::from(load.waiting);
        let since: i64 = self.changes.iter().map(|(_, c)| i64::from(*c)).sum();
        own.max(reported + since) as f64
    }

    fn change(&mut self, now: Millis, change: i32) {
        self.changes.push_back((now, change));
        let old = |at: Millis| now.since(at) > LOAD_AGE;
        while self.changes.front().is_some_and(|(at, _)| old(*at)) {
            self.changes.pop_front();
        }
    }

    /// Whether it reported its load lately.
    pub(super) fn is_load_known(&self, now: Millis) -> bool {
        self.fresh_load(now).is_some()
    }

    fn fresh_load(&self, now: Millis) -> Option<&Load> {
        let load = self.load.as_ref();
        load.filter(|l| now.since(l.as_of) <= LOAD_AGE)
    }

    // Capacity

    /// Requests that it may have now, from all routers.
    pub(super) fn allowed(&self, now: Millis) -> f64 {
        let capacity = self.fresh_load(now).filter(|l| l.capacity > 0);
        let capacity = capacity.map_or(f64::MAX, |l| f64::from(l.capacity) * HEADROOM);
        let full = self.limit.get().min(capacity);
        (full * self.ramp(now)).max(1.0)
    }

    /// Whether it may get one more request. This alone decides where new work may go.
    pub(super) fn availability(&self, now: Millis) -> Availability {
        let cap = match (self.health.cap(), self.rest) {
            (None, Rest::Over) => Some(1),
            (cap, _) => cap,
        };
        if !self.listed {
            return Availability::Withdrawn;
        }
        if self.leaving {
            return Availability::Leaving;
        }
        match (self.rest, cap) {
            (Rest::Until(until), _) => Availability::Resting(until),
            (_, Some(0)) => Availability::Ejected,
            (_, Some(cap)) if self.in_flight >= cap => Availability::Full,
            _ if self.estimate(now) + 1.0 > self.allowed(now) => Availability::Full,
            _ => Availability::Open,
        }
    }

    /// Whether it may get work again at some time.
    pub(super) fn is_staying(&self) -> bool {
        self.listed && !self.leaving
    }

    fn ramp(&self, now: Millis) -> f64 {
        let Some(joined) = self.joined else {
            return 1.0;
        };
        let share = now.since(joined).0 as f64 / SLOW_START.0 as f64;
        share.clamp(START_SHARE, 1.0)
    }

    // Latency

    pub(super) fn between_tokens(&mut self, ms: f64) {
        self.token.add(ms, WEIGHT);
    }

    /// Its token time as a multiple of its pool's.
    pub(super) fn pace(&self, pool: Option<f64>) -> f64 {
        match (self.token.get(), pool) {
            (Some(own), Some(pool)) if pool > 0.0 => (own / pool).clamp(PACE.0, PACE.1),
            _ => 1.0,
        }
    }
}
