//! Servers that warm up, to which all routers together may send few requests a second.

use std::collections::BTreeMap;

use toucanchute_proto::{
    Millis, RequestRate,
    config::{self, Routing},
};

use super::{
    Action, BackendState, Dispatcher,
    pool::BackendKey,
    rate_limit::{MAX_BUCKET, USE_TIME},
};

/// Time in which the requests to a cold server are counted.
const WINDOW: Millis = Millis(1_000);

/// Routers that may take themselves for the issuer of one server at the same time, since views of the
/// fleet may differ by hosts that only some routers know.
const ISSUERS: f64 = 2.0;

/// Longest time for which a notice makes a server cold.
const MAX_WARM_UP: Millis = Millis(600_000);

/// Why a backend server counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdCause {
    /// Its registration says so.
    Registered,
    /// It said so in a response.
    Reported,
    /// The evacuation of its failure domain has ended.
    Restored,
    /// It ended, and may have started again before its new registration is known.
    Ended,
}

/// How a pool's replicas warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WarmUpPolicy {
    /// Rate at which one issuer grants permits for a cold replica. At zero it grants none.
    pub(super) rate: RequestRate,
    /// Time for which a replica is cold after its start.
    pub(super) start: Millis,
}

impl WarmUpPolicy {
    /// Returns the policy of a pool; `None` if its replicas take any number of requests at once.
    pub(super) fn new(pool: &config::Pool, routing: &Routing) -> Option<WarmUpPolicy> {
        let rate = pool.cold_rate?;
        let factor = f64::from(routing.cold_overshoot_permille) / 1_000.0;
        let slack = f64::from(routing.cold_slack_permille) / 1_000.0;
        let allowed = rate.per_second() * factor + slack;
        Some(WarmUpPolicy {
            rate: issuer_rate(allowed).min(rate),
            start: Millis(pool.cold_start_ms).min(MAX_WARM_UP),
        })
    }
}

/// Returns the rate at which each issuer may grant permits, so that all issuers together stay within
/// `allowed` requests in any [`WINDOW`]. Permits that were granted up to [`USE_TIME`] before it may be
/// used in it.
fn issuer_rate(allowed: f64) -> RequestRate {
    let span_s = (WINDOW + USE_TIME).0 as f64 / 1_000.0;
    let per_second = (allowed / ISSUERS - MAX_BUCKET) / span_s;
    RequestRate::from_per_second(per_second.max(0.0)).unwrap_or_default()
}

/// Whether a replica is cold.
#[derive(Debug, Default)]
pub(super) struct WarmUp {
    pub(super) policy: Option<WarmUpPolicy>,
    until: Millis,
}

impl WarmUp {
    /// Makes the replica cold until a time, if its pool has a policy; returns whether that is later than
    /// was known.
    pub(super) fn extend(&mut self, until: Millis) -> bool {
        let later = self.policy.is_some() && until > self.until;
        self.until = self.until.max(until);
        later
    }

    /// Extends the time by that of a start which was noticed at `now`.
    pub(super) fn extend_by_start(&mut self, now: Millis) {
        if let Some(policy) = self.policy {
            self.extend(now + policy.start);
        }
    }

    /// Returns the rate of its permits if it is cold at `now`, also if it has `ended` and may start again
    /// at any time.
    pub(super) fn rate(&self, now: Millis, ended: bool) -> Option<RequestRate> {
        let policy = self.policy?;
        (ended || now < self.until).then_some(policy.rate)
    }
}

/// Servers that said that they are cold and are not among the replicas yet, and until when.
#[derive(Debug, Default)]
pub(super) struct ColdNotices(BTreeMap<String, Millis>);

impl ColdNotices {
    fn save(&mut self, now: Millis, backend: &str, until: Millis) {
        self.0.retain(|_, until| *until > now);
        let saved = self.0.entry(backend.to_owned()).or_default();
        *saved = until.max(*saved);
    }

    /// Removes and returns the time until which a server that becomes a replica is cold.
    pub(super) fn take(&mut self, backend: &str) -> Millis {
        self.0.remove(backend).unwrap_or_default()
    }
}

impl Dispatcher {
    /// Applies that a backend server is cold for `remaining`.
    pub(super) fn apply_cold_notice(
        &mut self,
        now: Millis,
        backend: &str,
        remaining: Millis,
        cause: ColdCause,
        out: &mut Vec<Action>,
    ) {
        match self.keys_by_name.get(backend).copied() {
            Some(key) => self.begin_warm_up(now, key, remaining, cause, out),
            None if remaining > Millis(0) => {
                let until = now + remaining.min(MAX_WARM_UP);
                self.cold_notices.save(now, backend, until);
            }
            None => {}
        }
    }

    /// Makes a replica cold for a time, unless it is so for longer, and starts to issue its permits if
    /// this router is the one to do so.
    pub(super) fn begin_warm_up(
        &mut self,
        now: Millis,
        key: BackendKey,
        time: Millis,
        cause: ColdCause,
        out: &mut Vec<Action>,
    ) {
        let r = &mut self.replicas[key];
        let remaining = time.min(MAX_WARM_UP);
        if !r.warm_up.extend(now + remaining) {
            return;
        }
        out.push(Action::BackendChanged {
            backend: r.name.clone(),
            state: BackendState::Cold { remaining, cause },
        });
        self.open_cold_issuer(now, key);
    }

    /// Makes a replica cold for as long as after a start.
    pub(super) fn begin_start(
        &mut self,
        now: Millis,
        key: BackendKey,
        cause: ColdCause,
        out: &mut Vec<Action>,
    ) {
        if let Some(policy) = self.replicas[key].warm_up.policy {
            self.begin_warm_up(now, key, policy.start, cause, out);
        }
    }

    /// Starts to issue the permits of a cold replica, if this router is its issuer. The first permit is
    /// due after a pause, so this is done when the replica turns cold, not when one is asked for.
    pub(super) fn open_cold_issuer(&mut self, now: Millis, key: BackendKey) {
        let r = &self.replicas[key];
        if let Some(rate) = r.warm_up.rate(now, r.ended)
            && self.issuers.is_steady_issuer(&r.name)
        {
            let name = r.name.clone();
            self.cold_issuer.open(now, &name, rate);
        }
    }
}
