//! Callers of a simulated fleet: when they send requests, and what becomes of these.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use toucanchute_proto::Millis;

use super::{Delivery, Fleet};
use crate::routing::{Event, RefusalReason, RoutingRequest, tests::simulation::assign};

/// Time that a caller waits for its answer.
const PATIENCE: Millis = Millis(4_000);

/// Which routers the callers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum Load {
    /// All of them alike.
    Spread,
    /// The first one only.
    OneRouter,
}

/// When callers send new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum Rhythm {
    /// All the time.
    Steady,
    /// In busy turns between which no request is sent, nor returns. Each begins with a crowd:
    /// requests that are sent in the same moment.
    Turns {
        busy: Millis,
        idle: Millis,
        crowd: usize,
    },
}

/// A refusal of a request.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Refused {
    pub(in super::super) reason: RefusalReason,
    /// Time from the request to its refusal.
    pub(in super::super) waited: Millis,
}

/// Refused callers that returned after the last new request.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super) struct Returns {
    pub(in super::super) total: usize,
    pub(in super::super) served: usize,
}

/// What the callers know of their requests.
#[derive(Debug, Default)]
pub(in super::super) struct Callers {
    /// When each waiting call arrived.
    waiting: BTreeMap<u64, Millis>,
    /// Waiting calls of callers that returned after the last new request.
    returning: BTreeSet<u64>,
    pub(in super::super) refusals: Vec<Refused>,
    pub(in super::super) returns: Returns,
}

impl Rhythm {
    /// Returns the time from `now` to the next busy turn, 0 in a busy turn.
    fn time_to_next_turn(self, now: Millis) -> Millis {
        let Rhythm::Turns { busy, idle, .. } = self else {
            return Millis(0);
        };
        let period = busy.0 + idle.0;
        let phase = now.0 % period;
        match phase < busy.0 {
            true => Millis(0),
            false => Millis(period - phase),
        }
    }
}

impl Callers {
    pub(super) fn record_start(&mut self, call: u64) {
        self.waiting.remove(&call);
        self.returns.served += usize::from(self.returning.remove(&call));
    }
}

impl Fleet {
    pub(super) fn post_next_request(&mut self) {
        let router = self.random_router();
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let pause = -uniform.ln() / self.scenario.requests_per_second * 1_000.0;
        let pause = Millis(pause as u64);
        let rhythm = self.scenario.rhythm;
        let idle = rhythm.time_to_next_turn(self.now + pause);
        if let Rhythm::Turns { crowd, .. } = rhythm
            && idle > Millis(0)
        {
            for _ in 1..crowd {
                let router = self.random_router();
                self.post(router, pause + idle, Delivery::Return);
            }
        }
        self.post(router, pause + idle, Delivery::Request);
    }

    fn random_router(&mut self) -> usize {
        match self.scenario.load {
            Load::Spread => self.rng.random_range(0..self.routers.len()),
            Load::OneRouter => 0,
        }
    }

    /// Sends a caller's request; callers use another router while one is down.
    pub(super) fn send_request(&mut self, router: usize, returning: bool) {
        let count = self.routers.len();
        let up = (0..count)
            .map(|i| (router + i) % count)
            .find(|&i| self.routers[i].up);
        let Some(router) = up else {
            return;
        };
        self.serial += 1;
        let call = self.serial;
        self.counts.requests += usize::from(self.now >= self.scenario.named_at);
        self.callers.waiting.insert(call, self.now);
        if returning && self.now >= self.scenario.requests_until {
            self.callers.returns.total += 1;
            self.callers.returning.insert(call);
        }
        let req = RoutingRequest {
            prefix: Vec::new(),
            ..assign(call, 0, 10, self.now + PATIENCE)
        };
        self.post(router, Millis(0), Delivery::Event(Event::Assign(req)));
    }

    /// Ends a refused request; its caller returns when it was told to, unless the callers are idle
    /// then.
    pub(super) fn refuse(
        &mut self,
        router: usize,
        call: u64,
        reason: RefusalReason,
        retry_after: Millis,
    ) {
        let since = self.callers.waiting.remove(&call).unwrap();
        self.callers.refusals.push(Refused {
            reason,
            waited: self.now.since(since),
        });
        let returned = self.callers.returning.remove(&call);
        let is_busy = |at| self.scenario.rhythm.time_to_next_turn(at) == Millis(0);
        if !returned && self.now < self.scenario.requests_until && is_busy(self.now + retry_after) {
            self.post(router, retry_after, Delivery::Return);
        }
    }
}
