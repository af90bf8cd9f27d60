use std::net::SocketAddr;

use toucanchute_proto::{Millis, RequestRate};

use super::{
    RoutingRequest,
    availability::{Availability, Backoff},
    believed_load::BelievedLoad,
    cache::PrefixCache,
    cold::WarmUp,
    health::Health,
    limit::ConcurrencyLimit,
    pool::{Average, PoolKey},
    unanswered::UnansweredAttempts,
};
use crate::hash;

/// Factor on a replica's reported slots up to which it may get requests. Reports are old: some replicas
/// that look full have room by now, and if all of them are left out, the work of all routers goes to the
/// few others.
const CAPACITY_HEADROOM: f64 = 1.25;

/// Time in which a joining replica's limit rises to its full value.
const SLOW_START_TIME: Millis = Millis(10_000);

/// Share of its limit that a joining replica starts with.
const SLOW_START_SHARE: f64 = 0.1;

/// Weight of one measurement in a replica's averages.
const AVERAGE_WEIGHT: f64 = 0.2;

/// Weight in them of what another router measured, which is an average itself.
const PEER_AVERAGE_WEIGHT: f64 = 0.05;

/// Bounds of a replica's token time as a multiple of its pool's average.
const RELATIVE_TOKEN_TIME_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Time after which requests are told to retry while a cold replica may get none at all.
const CLOSED_RETRY_TIME: Millis = Millis(1_000);

/// Permits that the requests for a replica need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PermitNeed {
    /// Rate of the permits.
    pub(super) rate: RequestRate,
    /// Whether they are needed because the replica warms up.
    pub(super) warming: bool,
}

impl PermitNeed {
    /// Whether there are none. A rate limit of zero is not closed: a server that gets nothing could never
    /// say that its limit has ended.
    fn is_closed(self) -> bool {
        self.warming && self.rate == RequestRate(0)
    }
}

/// State of one backend server as known to this router.
#[derive(Debug)]
pub(super) struct Replica {
    pub(super) name: String,
    /// Hash of the name, for rendezvous hashing.
    pub(super) hash: u64,
    pub(super) address: SocketAddr,
    pub(super) domain: String,
    /// Region of its failure domain; `None` if unknown.
    pub(super) region: Option<String>,
    /// Version of its software; `None` if unknown.
    pub(super) software: Option<String>,
    pub(super) pool: PoolKey,
    /// Whether it is configured and not withdrawn. An unlisted replica gets no new work.
    pub(super) listed: bool,
    pub(super) health: Health,
    pub(super) limit: ConcurrencyLimit,
    pub(super) cache: PrefixCache,
    pub(super) unanswered: UnansweredAttempts,
    /// Whether it announced that it is leaving.
    pub(super) leaving: bool,
    /// Whether its failure domain is evacuated.
    evacuated: bool,
    pub(super) backoff: Backoff,
    /// Rate limit that it named. While there is one, each request needs a permit.
    pub(super) rate_limit: Option<RequestRate>,
    pub(super) warm_up: WarmUp,
    /// Time before which its issuer grants no permit.
    pub(super) no_permit_until: Millis,
    /// When its registration lapsed without a notice, if it has answered nothing since.
    pub(super) lapsed_at: Option<Millis>,
    /// Whether it ended and has answered nothing since.
    pub(super) ended: bool,
    /// When it last sent this router something.
    answered_at: Option<Millis>,
    /// When its limit began to rise from [`SLOW_START_SHARE`].
    joined_at: Option<Millis>,
    /// Its requests and its pace.
    pub(super) load: BelievedLoad,
    /// Average time between tokens by the measurements of this router, in milliseconds.
    own_token_time: Average,
    /// The same by the measurements of all routers.
    token_time: Average,
}

impl Replica {
    pub(super) fn new(name: &str, address: SocketAddr, domain: &str, pool: PoolKey) -> Replica {
        Replica {
            name: name.to_owned(),
            hash: hash::text(name),
            address,
            domain: domain.to_owned(),
            region: None,
            software: None,
            pool,
            listed: false,
            health: Health::new(),
            limit: ConcurrencyLimit::new(1),
            cache: PrefixCache::new(),
            unanswered: UnansweredAttempts::default(),
            leaving: false,
            evacuated: false,
            backoff: Backoff::None,
            rate_limit: None,
            warm_up: WarmUp::default(),
            no_permit_until: Millis(0),
            lapsed_at: None,
            ended: false,
            answered_at: None,
            joined_at: None,
            load: BelievedLoad::default(),
            own_token_time: Average::default(),
            token_time: Average::default(),
        }
    }

    /// Lowers its limit to [`SLOW_START_SHARE`], from which it rises over [`SLOW_START_TIME`].
    pub(super) fn begin_slow_start(&mut self, now: Millis) {
        self.joined_at = Some(now);
    }

    /// Records that it answered a request that was sent at `sent`. If it had ended, it has started again.
    pub(super) fn record_answer(&mut self, now: Millis, sent: Millis) {
        self.answered_at = Some(now);
        self.unanswered.record_answer(sent);
        self.lapsed_at = None;
        if std::mem::replace(&mut self.ended, false) {
            self.warm_up.extend_by_start(now);
        }
    }

    /// Whether it has sent this router something since `time`.
    pub(super) fn has_answered_since(&self, time: Millis) -> bool {
        self.answered_at.is_some_and(|at| at >= time)
    }

    // Load

    pub(super) fn record_start(&mut self, now: Millis) {
        self.load.record_start(now);
    }

    pub(super) fn record_end(&mut self, now: Millis) {
        self.load.record_end(now);
    }

    // Capacity

    /// Returns the number of requests that it may have now from all routers, at least 1: by the slots that it
    /// reports, or else by the configured limit, less what its refusals showed.
    pub(super) fn request_limit(&self, now: Millis) -> f64 {
        let slots = self.load.slots(now);
        let reported = slots.map(|slots| f64::from(slots) * CAPACITY_HEADROOM);
        let full = reported.map_or(self.limit.get(), |full| full * self.limit.share());
        (full * self.slow_start_share(now)).max(1.0)
    }

    /// Returns whether it may get one more request. No other check decides where new work may go.
    pub(super) fn availability(&self, now: Millis) -> Availability {
        let cap = match (self.health.max_in_flight(), self.backoff) {
            (None, Backoff::Probing) => Some(1),
            (cap, _) => cap,
        };
        if !self.listed {
            return Availability::Withdrawn;
        }
        if self.leaving {
            return Availability::Leaving;
        }
        if self.evacuated {
            return Availability::Evacuated;
        }
        match (self.backoff, cap) {
            (Backoff::Until(until), _) => Availability::BackingOff(until),
            (_, Some(0)) => Availability::Ejected,
            (_, Some(cap)) if self.load.in_flight() >= cap => Availability::Full,
            _ if f64::from(self.load.in_flight()) + 1.0 > self.limit.get() => Availability::Full,
            _ if self.load.requests(now) + 1.0 > self.request_limit(now) => Availability::Full,
            _ => self.permit_availability(now),
        }
    }

    /// Returns whether a request may ask for a permit, or needs none.
    fn permit_availability(&self, now: Millis) -> Availability {
        match self.permit_need(now) {
            Some(need) if need.is_closed() => Availability::RateLimited(now + CLOSED_RETRY_TIME),
            Some(_) if self.no_permit_until > now => {
                Availability::RateLimited(self.no_permit_until)
            }
            Some(_) | None => Availability::Open,
        }
    }

    /// Returns the permits that its requests need; `None` if they need none.
    pub(super) fn permit_need(&self, now: Millis) -> Option<PermitNeed> {
        let cold = self.warm_up.rate(now, self.ended);
        match (cold, self.rate_limit) {
            (Some(cold), named) => Some(PermitNeed {
                rate: named.map_or(cold, |named| named.min(cold)),
                warming: true,
            }),
            (None, Some(rate)) => Some(PermitNeed {
                rate,
                warming: false,
            }),
            (None, None) => None,
        }
    }

    /// Whether a request may run on it, by the version of its software and by its region.
    pub(super) fn may_run(&self, req: &RoutingRequest) -> bool {
        req.software.admits(self.software.as_deref()) && self.is_in_region_for(req)
    }

    /// Whether it is in one of the regions in which a request may run.
    pub(super) fn is_in_region_for(&self, req: &RoutingRequest) -> bool {
        req.regions.admits(self.region.as_deref())
    }

    /// Whether it may get work now or later, that is, it is neither withdrawn nor leaving, and its
    /// failure domain is not evacuated.
    pub(super) fn is_staying(&self) -> bool {
        self.listed && !self.leaving && !self.evacuated
    }

    /// Whether nothing but the evacuation of its failure domain keeps work from it for good.
    pub(super) fn is_held_by_evacuation(&self) -> bool {
        self.listed && !self.leaving && self.evacuated
    }

    /// Sets whether its failure domain is evacuated; returns whether that has just ended. Work returns
    /// to it slowly then.
    pub(super) fn set_evacuated(&mut self, now: Millis, evacuated: bool) -> bool {
        let restored = std::mem::replace(&mut self.evacuated, evacuated) && !evacuated;
        if restored {
            self.begin_slow_start(now);
        }
        restored
    }

    fn slow_start_share(&self, now: Millis) -> f64 {
        let Some(joined_at) = self.joined_at else {
            return 1.0;
        };
        let share = now.since(joined_at).0 as f64 / SLOW_START_TIME.0 as f64;
        share.clamp(SLOW_START_SHARE, 1.0)
    }

    // Latency

    /// Records a time between tokens that this router measured.
    pub(super) fn record_token_time(&mut self, ms: f64) {
        self.own_token_time.add(ms, AVERAGE_WEIGHT);
        self.token_time.add(ms, AVERAGE_WEIGHT);
    }

    /// Records the average time between tokens that another router measured.
    pub(super) fn record_peer_token_time(&mut self, ms: f64) {
        self.token_time.add(ms, PEER_AVERAGE_WEIGHT);
    }

    /// Returns the average time between tokens that this router measured, in milliseconds.
    pub(super) fn own_token_time(&self) -> Option<f64> {
        self.own_token_time.get()
    }

    /// Returns its token time as a multiple of its pool's average; 1 if either is unknown.
    pub(super) fn relative_token_time(&self, pool: Option<f64>) -> f64 {
        match (self.token_time.get(), pool) {
            (Some(own), Some(pool)) if pool > 0.0 => {
                (own / pool).clamp(RELATIVE_TOKEN_TIME_BOUNDS.0, RELATIVE_TOKEN_TIME_BOUNDS.1)
            }
            _ => 1.0,
        }
    }
}
