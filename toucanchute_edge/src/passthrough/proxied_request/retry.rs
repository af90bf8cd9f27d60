use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::Response;
use tokio::time::Instant;
use toucanchute_core::routing::SoftwareNeed;
use toucanchute_proto::{
    AttemptId, Millis,
    config::{Route, RouteKind},
};

use super::{MAX_CONNECT_FAILURES, RequestTrace, ServerRun, responses::LateResponse};
use crate::{
    control::Refusal,
    passthrough::{Failure, FailureKind, ResponseBody, RouteControl},
    run_record::{AttemptNotRun, RunRecord},
    settings::now,
};

/// Time after which a caller should retry if no backend server could be reached.
const UNREACHABLE_RETRY_AFTER: Millis = Millis(500);

/// Results of the attempts of one request, which decide whether it may be retried.
pub(in crate::passthrough) struct RetryState {
    idempotent: bool,
    /// Most backend servers that the request may be sent to.
    max_sends: u32,
    /// Number of backend servers that it was or may have been sent to.
    sends: u32,
    /// Attempts that may have run it.
    record: RunRecord,
    /// Number of backend servers that could not be reached.
    connect_failures: u32,
    excluded: Vec<String>,
    /// Whether further attempts are hedges: a silent backend server still has the request.
    hedging: Arc<AtomicBool>,
    /// Whether hedges may wait for a backend server.
    hedges_wait: bool,
    /// Silent backend servers that have the request.
    running_on: Vec<String>,
    /// Version of the software that may run it.
    software: SoftwareNeed,
    /// What began the response, once an event of it was relayed.
    begun_by: Option<ServerRun>,
    /// A backend server's error response, for the caller if no other backend server does better.
    fallback: Option<Response<ResponseBody>>,
    /// One whose body has not arrived yet.
    late_fallback: Option<LateResponse>,
}

impl RetryState {
    /// Creates the state of a request on `route`, whose attempts are recorded in `record`.
    pub(in crate::passthrough) fn new(route: &Route, record: RunRecord) -> RetryState {
        let resumable = route.kind == RouteKind::Stream && route.resumable;
        RetryState {
            idempotent: resumable || route.kind == RouteKind::Idempotent,
            max_sends: route.attempts.max(1),
            sends: 0,
            record,
            connect_failures: 0,
            excluded: Vec::new(),
            hedging: Arc::default(),
            hedges_wait: false,
            running_on: Vec::new(),
            software: SoftwareNeed::Any,
            begun_by: None,
            fallback: None,
            late_fallback: None,
        }
    }

    /// Keeps all attempts to this software.
    pub(super) fn needing(self, software: SoftwareNeed) -> RetryState {
        RetryState { software, ..self }
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

    /// Has further attempts prefer other backend servers to one that failed the request.
    pub(in crate::passthrough) fn exclude_backend(&mut self, backend: &str) {
        if !self.excluded.iter().any(|b| b == backend) {
            self.excluded.push(backend.to_owned());
        }
    }

    /// Records an attempt that is about to connect to a backend server. Until its end is proved not
    /// to have run, it may have run. It counts as a send also if it is dropped midway.
    pub(super) fn begin_attempt(&mut self, attempt: AttemptId) {
        self.record.begin_attempt(attempt);
        self.sends += 1;
    }

    /// Records that an attempt did not run.
    pub(super) fn attempt_not_run(&mut self, proof: &AttemptNotRun) {
        self.record.attempt_not_run(proof);
    }

    /// Records that the attempt begun last sent nothing.
    pub(super) fn record_unsent(&mut self) {
        self.sends -= 1;
    }

    // Hedges

    /// Makes further attempts hedges beside the one at the silent server `backend`. Returns a flag that
    /// makes them ordinary attempts when it is cleared.
    pub(super) fn begin_hedge(&mut self, backend: &str, may_wait: bool) -> Arc<AtomicBool> {
        self.running_on.push(backend.to_owned());
        self.hedges_wait = may_wait;
        self.hedging.store(true, Ordering::Relaxed);
        Arc::clone(&self.hedging)
    }

    pub(super) fn end_hedge(&mut self) {
        self.running_on.pop();
        self.hedging.store(false, Ordering::Relaxed);
    }

    /// Whether further attempts are hedges.
    pub(super) fn is_hedging(&self) -> bool {
        self.hedging.load(Ordering::Relaxed)
    }

    /// Whether the next attempt may wait for a backend server.
    pub(super) fn may_wait(&self) -> bool {
        !self.is_hedging() || self.hedges_wait
    }

    /// Returns the silent backend servers that have the request.
    pub(super) fn running_on(&self) -> &[String] {
        &self.running_on
    }

    // Software

    /// Keeps further attempts to the software of the backend server that began the response.
    pub(in crate::passthrough) fn keep_software(&mut self, run: ServerRun) {
        self.software = SoftwareNeed::of_stream(run.assignment.software.as_deref());
        self.begun_by = Some(run);
    }

    /// Records that the backend server that began the response no longer writes it.
    pub(in crate::passthrough) fn record_end(&mut self) {
        if let Some(run) = &mut self.begun_by {
            run.connection.ended_at.get_or_insert_with(now);
        }
    }

    /// Returns what began the response, if this process relayed its beginning.
    pub(super) fn begun_by(&self) -> Option<&ServerRun> {
        self.begun_by.as_ref()
    }

    /// Returns the version of the software that may run the request.
    pub(super) fn software(&self) -> &SoftwareNeed {
        &self.software
    }

    // End

    /// Whether the request may be sent to another backend server after the last one did not run it.
    pub(super) fn may_resend(&self) -> bool {
        self.sends < self.max_sends && (self.idempotent || self.record.not_run().is_some())
    }

    /// Whether the request may be sent to another backend server although the last one may have run
    /// it.
    pub(in crate::passthrough) fn may_rerun(&self) -> bool {
        self.sends < self.max_sends && self.idempotent
    }

    /// Records that a backend server could not be reached. Returns an error if no further one is
    /// tried.
    pub(super) fn record_connect_failure(&mut self) -> Result<(), Failure> {
        self.connect_failures += 1;
        if self.connect_failures < MAX_CONNECT_FAILURES {
            return Ok(());
        }
        Err(self.unserved("backends-unreachable", Some(UNREACHABLE_RETRY_AFTER)))
    }

    /// Returns the failure of a request that is not served: not run if no attempt may have run it.
    pub(super) fn unserved(&self, reason: &'static str, retry_after: Option<Millis>) -> Failure {
        Failure::unserved(&self.record, reason, retry_after)
    }

    /// Returns the failure of a request that the router refuses to send to a backend server.
    pub(super) fn refused(&self, refusal: &Refusal) -> Failure {
        Failure::from_refusal(&self.record, refusal)
    }

    /// Returns the failure of a request whose deadline has passed.
    pub(super) fn deadline_failure(&self) -> Failure {
        let kind = match self.record.not_run() {
            Some(proof) => FailureKind::NotRun(proof),
            None => FailureKind::TimedOut,
        };
        Failure::new(kind, "out-of-time")
    }

    /// Keeps a backend server's error response in case no other one does better.
    pub(super) fn set_fallback(&mut self, res: Response<ResponseBody>) {
        self.fallback = Some(res);
    }

    /// Keeps an error response whose body has not arrived yet, in case no other one does better.
    pub(super) fn set_late_fallback(&mut self, res: LateResponse) {
        self.late_fallback = Some(res);
    }

    /// Ends the request with the error response that was kept, if its body arrives in time, or else
    /// with `failure`.
    pub(super) async fn finish_failed<C: RouteControl>(
        self,
        trace: RequestTrace<C>,
        failure: Failure,
        deadline: Instant,
    ) -> Response<ResponseBody> {
        let res = match (self.fallback, self.late_fallback) {
            (Some(res), _) => Some(res),
            (None, Some(late)) => late.complete(deadline).await,
            (None, None) => None,
        };
        match res {
            Some(res) => trace.finish(res),
            None => trace.fail(failure),
        }
    }
}
