use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Response, StatusCode};
use toucanchute_core::routing::AttemptReport;
use toucanchute_proto::Digest;

use crate::{
    control::Assignment,
    passthrough::{
        Failure, RequestEnd, RequestInfo, ResponseBody, ResponseRecord, RouteControl, SharedParts,
        guards::AttemptGuard, request_tokens::RequestTokens,
    },
};

/// What a caller states when it takes a stream up again.
struct Resumption {
    /// Identifier of the last event that it has.
    after: u64,
    /// Its attempt that brought the first event; empty if it names none.
    attempt: Bytes,
}

/// Longest name of an attempt that is logged, in bytes.
const MAX_LOGGED_NAME: usize = 64;

impl Resumption {
    /// Returns the name of the attempt for the log; empty if nothing is taken up.
    fn name(resumption: Option<&Resumption>) -> String {
        let attempt = resumption.map_or(&[][..], |r| &r.attempt);
        let shown = attempt.get(..MAX_LOGGED_NAME).unwrap_or(attempt);
        shown.escape_ascii().to_string()
    }
}

/// Record of what happened to a request. It is logged and counted once, on drop, however the
/// request ends.
pub(in crate::passthrough) struct RequestTrace<C: RouteControl> {
    control: Arc<C>,
    request: String,
    pub(in crate::passthrough) route: String,
    pub(in crate::passthrough) customer: String,
    /// Digest of customer, path and body, equal for all copies of a request.
    pub(in crate::passthrough) digest: Digest,
    /// Parts of the prompt that other requests may share.
    pub(in crate::passthrough) shared_parts: SharedParts,
    /// Version of the configuration that the request was served by.
    pub(in crate::passthrough) config_version: u64,
    /// Backend server that was chosen last.
    backend: String,
    /// Version of its software; empty if unknown.
    software: String,
    /// What the caller takes up again, if anything.
    resumes: Option<Resumption>,
    assignments: u32,
    tokens_reserved: u64,
    /// Number of parts in which they were reserved.
    token_parts: usize,
    /// Time for which the response waited for further tokens, in milliseconds.
    held_ms: u64,
    /// Number of events of a stream that were relayed.
    pub(in crate::passthrough) events_relayed: u64,
    /// Tokens that were charged.
    tokens_used: u64,
    /// Router that spends from the budget of the reserved tokens.
    owner: String,
    started: Instant,
    first_ms: u64,
    status: u16,
    /// How the request ended; absent while it is in progress.
    outcome: Option<&'static str>,
}

impl<C: RouteControl> RequestTrace<C> {
    pub(in crate::passthrough) fn new(control: Arc<C>, request: Option<String>) -> RequestTrace<C> {
        RequestTrace {
            control,
            request: request.unwrap_or_default(),
            route: String::new(),
            customer: String::new(),
            digest: Digest::default(),
            shared_parts: SharedParts::default(),
            config_version: 0,
            backend: String::new(),
            software: String::new(),
            resumes: None,
            assignments: 0,
            tokens_reserved: 0,
            token_parts: 0,
            held_ms: 0,
            events_relayed: 0,
            tokens_used: 0,
            owner: String::new(),
            started: Instant::now(),
            first_ms: 0,
            status: 0,
            outcome: None,
        }
    }

    /// Returns the caller's identifier of the request; empty if it has none.
    pub(super) fn request(&self) -> &str {
        &self.request
    }

    /// Records the tokens that were reserved and used so far.
    pub(in crate::passthrough) fn record_tokens(&mut self, tokens: &RequestTokens<C>) {
        let parts = tokens.parts();
        self.tokens_reserved = parts.iter().map(|p| p.tokens).sum();
        self.token_parts = parts.len();
        self.tokens_used = tokens.used();
        self.held_ms = milliseconds(tokens.held());
        self.owner = parts.last().map_or(String::new(), |p| p.owner.to_string());
    }

    /// Records that the caller takes a stream up again.
    pub(in crate::passthrough) fn record_resumption(&mut self, info: &RequestInfo) {
        self.resumes = info.resume_after.map(|after| Resumption {
            after,
            attempt: info.resumes.clone().unwrap_or_default(),
        });
    }

    /// Records the backend server of a new attempt.
    pub(super) fn record_assignment(&mut self, assignment: &Assignment) {
        self.record_backend(assignment);
        self.assignments += 1;
    }

    /// Records which backend server goes on with the request after a hedge.
    pub(super) fn record_backend(&mut self, assignment: &Assignment) {
        self.backend.clone_from(&assignment.backend);
        self.software = assignment.software.clone().unwrap_or_default();
    }

    /// Logs that a backend server has been silent for `silence` and that another one is tried.
    pub(super) fn log_silence(&self, assignment: &Assignment, silence: Duration) {
        log::info!(
            request = self.request,
            attempt:% = assignment.attempt,
            backend = assignment.backend,
            silent_ms = milliseconds(silence);
            "backend-silent"
        );
    }

    /// Logs that no other backend server has taken the request over from a silent one.
    pub(super) fn log_hedge_failure(&self, reason: &str) {
        log::info!(request = self.request, reason = reason; "hedge-failed");
    }

    /// Logs a failed attempt and the report that ends it.
    pub(in crate::passthrough) fn log_attempt_failure(
        &self,
        attempt: &AttemptGuard<C>,
        report: AttemptReport,
        cause: &str,
    ) {
        let assignment = &attempt.assignment;
        log::info!(
            request = self.request,
            digest:% = self.digest,
            parts:% = self.shared_parts,
            attempt:% = assignment.attempt,
            backend = assignment.backend,
            silent_ms = milliseconds(attempt.silent_for()),
            report = report.name(),
            cause = cause;
            "attempt-failed"
        );
    }

    /// Logs a response that promises that the request did not run, without proof.
    pub(super) fn log_unproven_promise(&self, assignment: &Assignment, response: &ResponseRecord) {
        log::warn!(
            request = self.request,
            digest:% = self.digest,
            attempt:% = assignment.attempt,
            backend = assignment.backend,
            status = response.status.as_u16(),
            names = response.attempt.name(),
            not_run = response.not_run,
            reused = response.reused;
            "promise-unproven"
        );
    }

    /// Logs that the request is retried.
    pub(in crate::passthrough) fn log_retry(&self, cause: &str) {
        log::info!(request = self.request, backend = self.backend, cause = cause; "request-repeated");
    }

    /// Records the time to the head of the response.
    pub(in crate::passthrough) fn record_first_byte(&mut self) {
        self.first_ms = self.elapsed_ms();
    }

    /// Ends the request with a backend server's response.
    pub(super) fn finish(mut self, res: Response<ResponseBody>) -> Response<ResponseBody> {
        self.status = res.status().as_u16();
        self.outcome = Some("answered");
        res
    }

    /// Ends the request with a failure.
    pub(in crate::passthrough) fn fail(mut self, failure: Failure) -> Response<ResponseBody> {
        self.status = failure.kind.status().as_u16();
        self.outcome = Some(failure.reason);
        failure.into_response()
    }

    /// Records that the head of a stream is sent to the caller.
    pub(in crate::passthrough) fn record_stream_start(&mut self, status: StatusCode) {
        self.status = status.as_u16();
    }

    /// Records how a stream ended.
    pub(in crate::passthrough) fn record_stream_end(&mut self, outcome: &'static str) {
        self.outcome = Some(outcome);
    }

    /// Returns why a request is dropped that is still in progress.
    fn drop_cause(&self) -> &'static str {
        let stop = *self.control.planned_stop().borrow();
        match stop.is_some_and(|stop| tokio::time::Instant::now() >= stop.ends_at) {
            true => "process-ended",
            false => "caller-left",
        }
    }

    fn elapsed_ms(&self) -> u64 {
        milliseconds(self.started.elapsed())
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl<C: RouteControl> Drop for RequestTrace<C> {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or_else(|| self.drop_cause());
        log::info!(
            request = self.request,
            digest:% = self.digest,
            parts:% = self.shared_parts,
            route = self.route,
            customer = self.customer,
            config = self.config_version,
            backend = self.backend,
            software = self.software,
            resumes:% = Resumption::name(self.resumes.as_ref()),
            resume_after = self.resumes.as_ref().map_or(0, |r| r.after),
            assignments = self.assignments,
            tokens = self.tokens_reserved,
            token_parts = self.token_parts,
            held_ms = self.held_ms,
            events = self.events_relayed,
            used = self.tokens_used,
            owner = self.owner,
            first_ms = self.first_ms,
            ms = self.elapsed_ms(),
            status = self.status,
            outcome = outcome;
            "request-ended"
        );
        self.control.record_end(&RequestEnd {
            route: &self.route,
            status: self.status,
            outcome,
            first_ms: self.first_ms,
        });
    }
}
