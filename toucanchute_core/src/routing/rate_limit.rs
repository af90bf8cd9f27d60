//! Rate limits that backend servers name, which hold for all routers together.
//!
//! A request that would go to a limited server needs a permit. One router, the issuer, grants the
//! permits of a server to all routers, itself included.

mod asks;
mod fleet;
mod issuer;
mod known;
mod permits;

use toucanchute_proto::{
    AttemptId, Millis, RequestRate,
    fleet::{BackendHint, HintedState},
};

pub(super) use self::{
    asks::{PermitAsks, PermitStatus, USE_TIME},
    fleet::IssuerChoice,
    issuer::{MAX_BUCKET, PermitIssuer},
    known::KnownLimits,
};
use super::{Action, BackendState, Dispatcher, attempts::Attempt};

/// Lowest rate at which a limited server gets requests. A server that gets none could never tell
/// that its limit has ended.
const MIN_RATE: RequestRate = RequestRate(100);

impl Dispatcher {
    /// Applies a limit that a backend server named in its answer to `attempt`.
    pub(super) fn apply_rate_limit(
        &mut self,
        now: Millis,
        backend: &str,
        rate: RequestRate,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let sent = self.attempts.get(&attempt).map(Attempt::started);
        if self
            .known_limits
            .record_named(now, self.incarnation, backend, rate, sent)
        {
            self.publish_limit(now, backend, out);
        }
    }

    /// Ends the limit of a backend server that named none in its answer to `attempt`.
    pub(super) fn end_rate_limit(
        &mut self,
        now: Millis,
        backend: &str,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        let sent = self.attempts.get(&attempt).map(Attempt::started);
        if self
            .known_limits
            .record_absent(now, self.incarnation, backend, sent)
        {
            self.publish_limit(now, backend, out);
        }
    }

    /// Applies what another router learned about a backend server.
    pub(super) fn apply_hint(&mut self, now: Millis, hint: &BackendHint, out: &mut Vec<Action>) {
        match hint.state {
            HintedState::Leaving => self.apply_leaving_hint(now, hint, out),
            HintedState::RateLimited | HintedState::Unlimited => {
                if self.known_limits.apply_hint(now, hint) {
                    self.update_limit(now, &hint.backend, out);
                }
            }
        }
    }

    /// Updates the replica, and tells the other routers.
    fn publish_limit(&mut self, now: Millis, backend: &str, out: &mut Vec<Action>) {
        out.extend(self.known_limits.hint(backend).map(Action::Hint));
        self.update_limit(now, backend, out);
    }

    /// Copies the limit of a backend server to its replica and reports the change.
    fn update_limit(&mut self, now: Millis, backend: &str, out: &mut Vec<Action>) {
        let known = self.known_limits.get(backend);
        match known {
            Some(_) => self.open_issuer(now, backend),
            None => self.permit_issuer.forget(backend),
        }
        let Some(&key) = self.keys_by_name.get(backend) else {
            return;
        };
        let r = &mut self.replicas[key];
        let old = std::mem::replace(&mut r.rate_limit, known.map(|k| k.rate));
        if old == r.rate_limit {
            return;
        }
        let state = match known {
            Some(known) => BackendState::RateLimited {
                rate: known.rate,
                source: known.router,
            },
            None => {
                r.no_permit_until = Millis(0);
                BackendState::RateLimitEnded {
                    after: self.known_limits.age(now, backend),
                }
            }
        };
        out.push(Action::BackendChanged {
            backend: backend.to_owned(),
            state,
        });
    }
}
