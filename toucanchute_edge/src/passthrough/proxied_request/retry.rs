use std::time::Duration;

use http::Response;
use tokio::time::Instant;
use toucanchute_proto::{
    Millis,
    config::{Route, RouteKind},
};

use super::{MAX_CONNECT_FAILURES, RequestTrace};
use crate::{
    passthrough::{Failure, FailureKind, ResponseBody, RouteControl},
    settings::duration,
};

/// Share of a route's latency objective after which a silent backend server is given up, in
/// hundredths, where the request may go to another one.
const FIRST_BYTE_TARGET_PERCENT: u32 = 70;

/// Least time that a backend server gets for its first byte.
const MIN_FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(250);

/// When to come back to a service none of whose backend servers can be reached.
const UNREACHABLE_RETRY_AFTER: Millis = Millis(500);

/// What the attempts of one request have come to.
#[derive(Debug)]
pub(in crate::passthrough) struct RetryState {
    idempotent: bool,
    /// Most backend servers to which the request may be sent.
    max_sends: u32,
    /// Backend servers to which it was sent.
    sends: u32,
    /// Whether it may have run.
    may_have_run: bool,
    /// Backend servers that could not be reached.
    connect_failures: u32,
    excluded: Vec<String>,
    /// A backend server's own failure, for want of anything better.
    fallback: Option<Response<ResponseBody>>,
}

impl RetryState {
    pub(in crate::passthrough) fn new(route: &Route) -> RetryState {
        let resumable = route.kind == RouteKind::Stream && route.resumable;
        RetryState {
            idempotent: resumable || route.kind == RouteKind::Idempotent,
            max_sends: route.attempts.max(1),
            sends: 0,
            may_have_run: false,
            connect_failures: 0,
            excluded: Vec::new(),
            fallback: None,
        }
    }

    pub(super) fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    pub(super) fn sends(&self) -> u32 {
        self.sends
    }

    pub(super) fn excluded(&self) -> &[String] {
        &self.excluded
    }

    /// Keeps the request from a backend server that failed it.
    pub(in crate::passthrough) fn exclude_backend(&mut self, backend: &str) {
        if !self.excluded.iter().any(|b| b == backend) {
            self.excluded.push(backend.to_owned());
        }
    }

    /// Notes that the request was sent, and whether it may have run.
    pub(super) fn record_send(&mut self, may_have_run: bool) {
        self.sends += 1;
        self.may_have_run |= may_have_run;
    }

    /// Whether it may be sent to one more backend server after it did not run.
    pub(super) fn may_resend(&self) -> bool {
        self.sends < self.max_sends && (!self.may_have_run || self.idempotent)
    }

    /// Whether it may be sent to one more backend server although it may have run.
    pub(in crate::passthrough) fn may_rerun(&self) -> bool {
        self.sends < self.max_sends && self.idempotent
    }

    /// Notes that a backend server could not be reached; an error if that was the last try.
    pub(super) fn record_connect_failure(&mut self) -> Result<(), Failure> {
        self.connect_failures += 1;
        if self.connect_failures < MAX_CONNECT_FAILURES {
            return Ok(());
        }
        let failure = Failure::new(FailureKind::NotRun, "backends-unreachable");
        Err(self.final_failure(failure.retry_after(Some(UNREACHABLE_RETRY_AFTER))))
    }

    /// Returns the time up to which a backend server may stay silent.
    pub(super) fn first_byte_deadline(&self, route: &Route, deadline: Instant) -> Instant {
        if !self.idempotent || self.sends + 1 >= self.max_sends {
            return deadline;
        }
        let timeout = duration(Millis(route.target_ms)) * FIRST_BYTE_TARGET_PERCENT / 100;
        deadline.min(Instant::now() + timeout.max(MIN_FIRST_BYTE_TIMEOUT))
    }

    /// Turns a refusal into a failure if the request may have run.
    pub(super) fn final_failure(&self, failure: Failure) -> Failure {
        match self.may_have_run {
            true => Failure::new(FailureKind::Failed, failure.reason),
            false => failure,
        }
    }

    /// The failure of a request whose time is over.
    pub(super) fn deadline_failure(&self) -> Failure {
        match self.may_have_run {
            true => Failure::new(FailureKind::TimedOut, "out-of-time"),
            false => Failure::new(FailureKind::NotRun, "out-of-time"),
        }
    }

    /// Keeps a backend server's failure in case no other one does better.
    pub(super) fn set_fallback(&mut self, res: Response<ResponseBody>) {
        self.fallback = Some(res);
    }

    /// Answers with what was put aside, or else with the failure.
    pub(super) fn finish_failed<C: RouteControl>(
        self,
        trace: RequestTrace<C>,
        failure: Failure,
    ) -> Response<ResponseBody> {
        match self.fallback {
            Some(res) => trace.finish(res),
            None => trace.fail(failure),
        }
    }
}
