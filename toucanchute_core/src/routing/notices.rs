//! Notices that backend servers send about themselves: that they are leaving, or ask for a backoff.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use toucanchute_proto::{
    Millis,
    fleet::{BackendHint, HintedState},
};

use super::{
    Action, BackendNotice, BackendState, Dispatcher, RefusalReason, RoutingRequest,
    availability::Backoff, dispatcher::refuse, pool::PoolKey,
};

/// Number of leaving backend servers recorded; the oldest are removed first.
const MAX_LEAVING: usize = 4_096;

/// Longest backoff that one notice is granted.
const MAX_BACKOFF: Millis = Millis(60_000);

/// Backoff after another router's hint that a server is leaving. It is short, since the hint may be
/// wrong or old; the server's next answer decides.
const LEAVING_HINT_BACKOFF: Millis = Millis(5_000);

/// Divisor that gives the largest random delay of a backoff's end as a part of its length. The
/// delay keeps routers from resuming all at once.
const JITTER_DIVISOR: u64 = 5;

/// Upper bound of that random delay.
const MAX_JITTER: Millis = Millis(1_000);

/// Remaining backoff up to which requests wait in the queue instead of being refused.
const SHORT_BACKOFF: Millis = Millis(200);

/// Names of backend servers that announced that they are leaving.
///
/// A name belongs to one process of a backend server; its successor has another name. A name is
/// kept until the router restarts or [`MAX_LEAVING`] others have been added.
#[derive(Debug, Default)]
pub(super) struct LeavingBackends {
    names: BTreeSet<String>,
    /// The same names, oldest first.
    order: VecDeque<String>,
}

impl LeavingBackends {
    pub(super) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Adds a name; returns whether it is new.
    fn add(&mut self, name: &str) -> bool {
        if !self.names.insert(name.to_owned()) {
            return false;
        }
        self.order.push_back(name.to_owned());
        if self.order.len() > MAX_LEAVING
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
        true
    }
}

/// Backoffs of backend servers that are not listed now, but may be listed again by a stale
/// registration.
#[derive(Debug, Default)]
pub(super) struct SavedBackoffs(BTreeMap<String, Millis>);

impl SavedBackoffs {
    /// Saves a backoff that lasts until `until`, and removes those that have ended.
    pub(super) fn save(&mut self, now: Millis, backend: &str, until: Millis) {
        self.0.retain(|_, until| *until > now);
        let saved = self.0.entry(backend.to_owned()).or_default();
        *saved = until.max(*saved);
    }

    /// Removes and returns the backoff of a backend server that is listed again.
    pub(super) fn take(&mut self, backend: &str) -> Backoff {
        self.0.remove(backend).map_or(Backoff::None, Backoff::Until)
    }
}

impl Dispatcher {
    /// Applies a notice that a backend server sent about itself.
    pub(super) fn apply_notice(
        &mut self,
        now: Millis,
        backend: &str,
        notice: BackendNotice,
        out: &mut Vec<Action>,
    ) {
        match notice {
            BackendNotice::Leaving => self.mark_leaving(backend, out),
            BackendNotice::Backoff { duration } => self.start_backoff(now, backend, duration, out),
            BackendNotice::RateLimit { rate, attempt } => {
                self.apply_rate_limit(now, backend, rate, attempt, out);
            }
            BackendNotice::Cold { remaining, cause } => {
                self.apply_cold_notice(now, backend, remaining, cause, out);
            }
            BackendNotice::NoRateLimit { attempt } => {
                self.end_rate_limit(now, backend, attempt, out);
            }
        }
    }

    fn mark_leaving(&mut self, backend: &str, out: &mut Vec<Action>) {
        if !self.leaving.add(backend) {
            return;
        }
        if let Some(&key) = self.keys_by_name.get(backend) {
            self.replicas[key].leaving = true;
        }
        out.push(Action::BackendChanged {
            backend: backend.to_owned(),
            state: BackendState::Leaving,
        });
        out.push(Action::Hint(BackendHint {
            backend: backend.to_owned(),
            state: HintedState::Leaving,
            rate: None,
            version: 1,
            router: self.incarnation,
        }));
        self.refuse_unservable(out);
    }

    /// Backs off from a server of which another router learned that it is leaving.
    pub(super) fn apply_leaving_hint(
        &mut self,
        now: Millis,
        hint: &BackendHint,
        out: &mut Vec<Action>,
    ) {
        if self.leaving.contains(&hint.backend) {
            return;
        }
        let until = now + LEAVING_HINT_BACKOFF;
        let state = BackendState::HintedLeaving {
            source: hint.router,
        };
        self.back_off_until(now, &hint.backend, until, state, out);
    }

    fn start_backoff(
        &mut self,
        now: Millis,
        backend: &str,
        duration: Millis,
        out: &mut Vec<Action>,
    ) {
        let duration = duration.min(MAX_BACKOFF);
        let max_jitter = Millis(duration.0 / JITTER_DIVISOR).min(MAX_JITTER);
        let jitter = Millis(self.rng.random_range(0..=max_jitter.0));
        let until = now + duration + jitter;
        let state = BackendState::BackingOff { duration };
        self.back_off_until(now, backend, until, state, out);
    }

    /// Extends the backoff of a server and reports its new state.
    fn back_off_until(
        &mut self,
        now: Millis,
        backend: &str,
        until: Millis,
        state: BackendState,
        out: &mut Vec<Action>,
    ) {
        let Some(&key) = self.keys_by_name.get(backend) else {
            self.saved_backoffs.save(now, backend, until);
            return;
        };
        self.replicas[key].backoff.extend(until);
        out.push(Action::BackendChanged {
            backend: backend.to_owned(),
            state,
        });
        self.refuse_if_all_back_off(now, self.replicas[key].pool, out);
    }

    /// Ends the ejections and backoffs of a pool's replicas whose time has passed.
    pub(super) fn advance_members(&mut self, now: Millis, key: PoolKey, out: &mut Vec<Action>) {
        for &member in &self.pools[key].members {
            let r = &mut self.replicas[member];
            r.health.advance(now);
            if r.backoff.advance(now) {
                out.push(Action::BackendChanged {
                    backend: r.name.clone(),
                    state: BackendState::BackoffEnded,
                });
            }
        }
    }

    /// Returns the time after which to retry if all replicas of a pool back off for more than
    /// [`SHORT_BACKOFF`], otherwise `None`. A random part spreads the retries.
    pub(super) fn backoff_retry_after(&mut self, now: Millis, key: PoolKey) -> Option<Millis> {
        let members = self.pools[key].members.iter().map(|&k| &self.replicas[k]);
        let staying = members.filter(|r| r.is_staying());
        // `collect` stops at the first replica without a backoff, which is nearly always the very
        // first.
        let remaining = staying.map(|r| {
            r.backoff
                .remaining(now)
                .filter(|left| *left > SHORT_BACKOFF)
        });
        let first = remaining
            .collect::<Option<Vec<Millis>>>()?
            .into_iter()
            .min()?;
        let spread = Millis(first.0 / JITTER_DIVISOR).max(SHORT_BACKOFF);
        Some(first + Millis(self.rng.random_range(0..=spread.0)))
    }

    /// Refuses the calls that wait for a pool if all of its replicas back off.
    fn refuse_if_all_back_off(&mut self, now: Millis, key: PoolKey, out: &mut Vec<Action>) {
        if self.backoff_retry_after(now, key).is_none() {
            return;
        }
        let waiting: Vec<RoutingRequest> = self.pools[key].queue.remove_if(|_| true);
        for req in waiting {
            if let Some(after) = self.backoff_retry_after(now, key) {
                refuse(&req, RefusalReason::BackingOff, after, out);
            }
        }
    }
}
