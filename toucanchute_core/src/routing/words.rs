//! What backend servers say of themselves: that they leave, and that they want rest.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use toucanchute_proto::Millis;

use super::{
    Action, BackendNotice, BackendState, Dispatcher, RefusalReason, RoutingRequest,
    availability::Rest, dispatcher::refuse, pool::PoolKey,
};

/// Leaving backend servers remembered; the oldest are forgotten first.
const MAX_LEAVING: usize = 4_096;

/// Longest rest that is granted at a time.
const LONGEST_REST: Millis = Millis(60_000);

/// Part of a rest by which its end is put off at random, so that not all routers come back at once.
const SPREAD_DIVISOR: u64 = 5;

/// Most by which it is put off.
const LONGEST_SPREAD: Millis = Millis(1_000);

/// Rest after which requests wait rather than being told to come back.
const SHORT_REST: Millis = Millis(200);

/// Names of backend servers that said that they leave.
///
/// A name stands for one run of a backend server, so that its successor is not in it. Only a restart
/// of the router forgets a name before [`MAX_LEAVING`] others came.
#[derive(Debug, Default)]
pub(super) struct Leavers {
    names: BTreeSet<String>,
    /// The same, oldest first.
    order: VecDeque<String>,
}

impl Leavers {
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

/// Rests of backend servers that are not listed now, but may be again by a stale registration.
#[derive(Debug, Default)]
pub(super) struct Rests(BTreeMap<String, Millis>);

impl Rests {
    /// Keeps a rest until `until`.
    pub(super) fn keep(&mut self, now: Millis, backend: &str, until: Millis) {
        self.0.retain(|_, until| *until > now);
        let kept = self.0.entry(backend.to_owned()).or_default();
        *kept = until.max(*kept);
    }

    /// Takes the rest of a backend server that is listed again.
    pub(super) fn take(&mut self, backend: &str) -> Rest {
        self.0.remove(backend).map_or(Rest::None, Rest::Until)
    }
}

impl Dispatcher {
    /// Takes in what a backend server said of itself.
    pub(super) fn take_word(
        &mut self,
        now: Millis,
        backend: &str,
        word: BackendNotice,
        out: &mut Vec<Action>,
    ) {
        match word {
            BackendNotice::Leaving => self.begin_leaving(backend, out),
            BackendNotice::Backoff { duration } => self.begin_rest(now, backend, duration, out),
        }
    }

    fn begin_leaving(&mut self, backend: &str, out: &mut Vec<Action>) {
        if !self.leaving.add(backend) {
            return;
        }
        if let Some(&key) = self.names.get(backend) {
            self.replicas[key].leaving = true;
        }
        out.push(Action::BackendChanged {
            backend: backend.to_owned(),
            state: BackendState::Leaving,
        });
        self.refuse_unservable(out);
    }

    fn begin_rest(&mut self, now: Millis, backend: &str, span: Millis, out: &mut Vec<Action>) {
        let span = span.min(LONGEST_REST);
        let spread = Millis(span.0 / SPREAD_DIVISOR).min(LONGEST_SPREAD);
        let put_off = Millis(self.rng.random_range(0..=spread.0));
        let until = now + span + put_off;
        let Some(&key) = self.names.get(backend) else {
            self.rests.keep(now, backend, until);
            return;
        };
        self.replicas[key].rest.ask(until);
        out.push(Action::BackendChanged {
            backend: backend.to_owned(),
            state: BackendState::BackingOff { duration: span },
        });
        self.refuse_resting(now, self.replicas[key].pool, out);
    }

    /// Ends ejections and rests whose time is over.
    pub(super) fn advance_members(&mut self, now: Millis, key: PoolKey, out: &mut Vec<Action>) {
        for &member in &self.pools[key].members {
            let r = &mut self.replicas[member];
            r.health.advance(now);
            if r.rest.advance(now) {
                out.push(Action::BackendChanged {
                    backend: r.name.clone(),
                    state: BackendState::BackoffEnded,
                });
            }
        }
    }

    /// Returns the time after which to come back to a pool all of whose replicas rest for more than a
    /// moment.
    pub(super) fn rest_left(&mut self, now: Millis, key: PoolKey) -> Option<Millis> {
        let members = self.pools[key].members.iter().map(|&k| &self.replicas[k]);
        let staying = members.filter(|r| r.is_staying());
        // Ends at the first one that does not rest, nearly always the first of all.
        let rests = staying.map(|r| r.rest.left(now).filter(|left| *left > SHORT_REST));
        let first = rests.collect::<Option<Vec<Millis>>>()?.into_iter().min()?;
        let spread = Millis(first.0 / SPREAD_DIVISOR).max(SHORT_REST);
        Some(first + Millis(self.rng.random_range(0..=spread.0)))
    }

    /// Refuses what waits for a pool all of whose replicas rest.
    fn refuse_resting(&mut self, now: Millis, key: PoolKey, out: &mut Vec<Action>) {
        if self.rest_left(now, key).is_none() {
            return;
        }
        let waiting: Vec<RoutingRequest> = self.pools[key].queue.remove_if(|_| true);
        for req in waiting {
            if let Some(after) = self.rest_left(now, key) {
                refuse(&req, RefusalReason::BackingOff, after, out);
            }
        }
    }
}
