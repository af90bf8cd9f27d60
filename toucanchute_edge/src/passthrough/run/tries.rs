use std::time::Duration;

use http::Response;
use tokio::time::Instant;
use toucanchute_proto::{
    Millis,
    config::{Route, RouteKind},
};

use super::{MAX_UNREACHABLE, Trace};
use crate::{
    passthrough::{Failure, FailureKind, ResponseBody, RouteControl},
    settings::duration,
};

/// Share of a route's latency objective after which a silent backend server is given up, in
/// hundredths, where the request may go to another one.
const FIRST_BYTE_PERCENT: u32 = 70;

/// Least time that a backend server gets for its first byte.
const MIN_FIRST_BYTE: Duration = Duration::from_millis(250);

/// When to come back to a service none of whose backend servers can be reached.
const UNREACHABLE_RETRY: Millis = Millis(500);

/// What the attempts of one request have come to.
#[derive(Debug)]
pub(in crate::passthrough) struct Tries {
    idempotent: bool,
    /// Most backend servers to which the request may be sent.
    most: u32,
    /// Backend servers to which it was sent.
    sends: u32,
    /// Whether it may have run.
    ran: bool,
    /// Backend servers that could not be reached.
    unreachable: u32,
    exclude: Vec<String>,
    /// A backend server's own failure, for want of anything better.
    aside: Option<Response<ResponseBody>>,
}

impl Tries {
    pub(in crate::passthrough) fn new(route: &Route) -> Tries {
        let resumable = route.kind == RouteKind::Stream && route.resumable;
        Tries {
            idempotent: resumable || route.kind == RouteKind::Idempotent,
            most: route.attempts.max(1),
            sends: 0,
            ran: false,
            unreachable: 0,
            exclude: Vec::new(),
            aside: None,
        }
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    pub(super) fn sends(&self) -> u32 {
        self.sends
    }

    pub(super) fn exclude(&self) -> &[String] {
        &self.exclude
    }

    /// Keeps the request from a backend server that failed it.
    pub(in crate::passthrough) fn exclude_backend(&mut self, backend: &str) {
        if !self.exclude.iter().any(|b| b == backend) {
            self.exclude.push(backend.to_owned());
        }
    }

    /// Notes that the request was sent, and whether it may have run.
    pub(super) fn sent(&mut self, ran: bool) {
        self.sends += 1;
        self.ran |= ran;
    }

    /// Whether it may be sent to one more backend server after it did not run.
    pub(super) fn may_send_again(&self) -> bool {
        self.sends < self.most && (!self.ran || self.idempotent)
    }

    /// Whether it may be sent to one more backend server although it may have run.
    pub(in crate::passthrough) fn may_repeat(&self) -> bool {
        self.sends < self.most && self.idempotent
    }

    /// Notes that a backend server could not be reached; an error if that was the last try.
    pub(super) fn unreachable(&mut self) -> Result<(), Failure> {
        self.unreachable += 1;
        if self.unreachable < MAX_UNREACHABLE {
            return Ok(());
        }
        let failure = Failure::new(FailureKind::NotRun, "backends-unreachable");
        Err(self.qualify(failure.retry_after(Some(UNREACHABLE_RETRY))))
    }

    /// Returns the time up to which a backend server may stay silent.
    pub(super) fn first_byte_bound(&self, route: &Route, deadline: Instant) -> Instant {
        if !self.idempotent || self.sends + 1 >= self.most {
            return deadline;
        }
        let bound = duration(Millis(route.target_ms)) * FIRST_BYTE_PERCENT / 100;
        deadline.min(Instant::now() + bound.max(MIN_FIRST_BYTE))
    }

    /// Turns a refusal into a failure if the request may have run.
    pub(super) fn qualify(&self, failure: Failure) -> Failure {
        match self.ran {
            true => Failure::new(FailureKind::Failed, failure.reason),
            false => failure,
        }
    }

    /// The failure of a request whose time is over.
    pub(super) fn out_of_time(&self) -> Failure {
        match self.ran {
            true => Failure::new(FailureKind::TimedOut, "out-of-time"),
            false => Failure::new(FailureKind::NotRun, "out-of-time"),
        }
    }

    /// Keeps a backend server's failure in case no other one does better.
    pub(super) fn put_aside(&mut self, res: Response<ResponseBody>) {
        self.aside = Some(res);
    }

    /// Answers with what was put aside, or else with the failure.
    pub(super) fn fall_back<C: RouteControl>(
        self,
        trace: Trace<C>,
        failure: Failure,
    ) -> Response<ResponseBody> {
        match self.aside {
            Some(res) => trace.deliver(res),
            None => trace.fail(failure),
        }
    }
}
