//! Handles the result of an attempt: no response, an error response or one to relay.

use std::{net::SocketAddr, pin::Pin, time::Duration};

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use toucanchute_core::routing::{AttemptReport, CrashKind};
use toucanchute_proto::Millis;

use super::{
    BackendResponse, MIN_TIME_LEFT, ProxiedRequest, RequestTrace, RetryState, UncheckedResponse,
    exchange::FailedExchange, hedge::head_patience,
};
use crate::{
    backend::{BackendError, read_body, read_body_with, report_for_status},
    passthrough::{
        AttemptMatch, Dialect, Failure, FailureKind, ResponseBody, ResponseInfo, ResponseRecord,
        RouteControl,
        framing::Framing,
        guards::AttemptGuard,
        pool::{Connection, broken_connection_report, undelimited_end_report},
        relayable_head::RelayableHead,
    },
    run_record::AttemptNotRun,
};

/// Largest response that is buffered as a whole, in bytes. Some dozens of them fit into a small
/// host's memory.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of a refusal or an error response that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Time within which the body of a refusal or an error response should arrive. The request then goes
/// on without it, and comes back to that of an error response if no other backend server does better.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a request that nothing else serves waits for the body of an error response. A sound
/// backend server may be silent for a second or so.
const LATE_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a caller should retry a request that the backend servers refused.
const REFUSED_RETRY_AFTER: Millis = Millis(200);

/// A response body that is being read.
type BodyRead = Pin<Box<dyn Future<Output = Result<Bytes, BackendError>> + Send + Sync>>;

/// An error response whose body has not arrived yet.
pub(super) struct LateResponse {
    head: RelayableHead,
    read: BodyRead,
    /// Keeps the connection open.
    _conn: Connection,
}

impl LateResponse {
    /// Reads the rest of the body, until `deadline` and for [`LATE_BODY_TIMEOUT`] at most; `None` if it
    /// is too large, breaks off or takes too long.
    pub(super) async fn complete(self, deadline: Instant) -> Option<Response<ResponseBody>> {
        let until = deadline.min(Instant::now() + LATE_BODY_TIMEOUT);
        let body = timeout_at(until, self.read).await.ok()?.ok()?;
        Some(self.head.to_response(ResponseBody::full(body)))
    }
}

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    /// Handles an attempt that has ended without a response. An error ends the request.
    pub(super) fn handle_failed_exchange(
        &self,
        failed: FailedExchange<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<(), Failure> {
        let FailedExchange { attempt, error } = failed;
        let assignment = &attempt.assignment;
        retries.exclude_backend(&assignment.backend);
        let proof = error.not_run_proof(assignment.attempt);
        let report = attempt.ended_with().unwrap_or(AttemptReport::Cancelled);
        trace.log_attempt_failure(&attempt, report, &error.to_string());
        if let Some(proof) = proof {
            retries.attempt_not_run(&proof);
            retries.record_unsent();
            return retries.record_connect_failure();
        }
        if retries.may_rerun() {
            return Ok(());
        }
        match self.time_left() < MIN_TIME_LEFT {
            true => Err(retries.deadline_failure()),
            false => Err(Failure::new(FailureKind::Failed, "backend-broke-off")),
        }
    }

    /// Checks the head of a response. Returns `None` if the request is to be sent to another
    /// backend server.
    pub(super) async fn check_response(
        &self,
        response: UncheckedResponse<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<Option<BackendResponse<C>>, Failure> {
        let attempt_id = response.attempt.assignment.attempt;
        if let Some(proof) = AttemptNotRun::from_response(attempt_id, &response.record) {
            retries.attempt_not_run(&proof);
            self.handle_refusal(response, retries, trace).await?;
            return Ok(None);
        }
        if !self.is_own_response(response.head.status, &response.info) {
            let cause = "the response is encoded, has no seal, contradicts itself or belongs to another attempt";
            let report = CrashKind::Malformed.into();
            end_failed_attempt(response.attempt, report, cause, retries, trace);
            return match retries.may_rerun() {
                true => Ok(None),
                false => Err(Failure::new(FailureKind::Failed, "answer-malformed")),
            };
        }
        let UncheckedResponse {
            attempt,
            conn,
            head,
            body,
            info,
            record,
        } = response;
        let framing = match self.head.method == Method::HEAD {
            true => Framing::Delimited,
            false => Framing::of(&head),
        };
        let Ok(head) = RelayableHead::new(head) else {
            let cause = "the backend server promised without proof that the request did not run";
            end_failed_attempt(attempt, unproven_report(&record), cause, retries, trace);
            return match retries.may_rerun() {
                true => Ok(None),
                false => Err(Failure::new(FailureKind::Failed, "refusal-unproven")),
            };
        };
        let response = BackendResponse {
            attempt,
            conn,
            head,
            framing,
            body,
            info,
        };
        if response.head.status().is_server_error() && retries.may_rerun() {
            self.handle_server_error(response, retries, trace).await;
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Whether a response may belong to the request, and is what a backend server sends: not
    /// encoded, and a success with a seal that does not state the opposite. An error may lack the
    /// attempt.
    pub(super) fn is_own_response(&self, status: StatusCode, info: &ResponseInfo) -> bool {
        let is_success = status.is_success();
        let names = AttemptMatch::new(self.info.attempt.as_deref(), info.attempt.as_deref());
        let names_request = match names {
            AttemptMatch::Own => true,
            AttemptMatch::Other => false,
            AttemptMatch::Absent => !is_success || self.info.attempt.is_none(),
        };
        let is_sound_success = info.sealed && !info.not_run;
        names_request && (is_sound_success || !is_success) && !info.encoded
    }

    /// Ends an attempt whose request the backend server did not run. An error ends the request.
    async fn handle_refusal(
        &self,
        response: UncheckedResponse<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<(), Failure> {
        let backend = response.attempt.assignment.backend.clone();
        let report = match response.info.misdirected {
            true => AttemptReport::Gone,
            false => AttemptReport::Refused,
        };
        let cause = "the backend server did not run the request";
        end_failed_attempt(response.attempt, report, cause, retries, trace);
        let keep = !response.info.closes_connection;
        if self.read_refusal_body(response.body).await.is_some() && keep {
            let bound = response.info.keep_alive;
            self.state.pool.put_idle(&backend, response.conn, bound);
        }
        match retries.may_resend() {
            true => Ok(()),
            false => Err(retries.unserved("backends-full", Some(REFUSED_RETRY_AFTER))),
        }
    }

    /// Ends an attempt with an error response, which is kept while another backend server is tried.
    async fn handle_server_error(
        &self,
        response: BackendResponse<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) {
        let (head, info) = (response.head, response.info);
        let backend = response.attempt.assignment.backend.clone();
        let cause = "the backend server sent an error response";
        end_failed_attempt(
            response.attempt,
            AttemptReport::Failed,
            cause,
            retries,
            trace,
        );
        let mut read: BodyRead = Box::pin(read_body(response.body, MAX_ERROR_BODY_BYTES));
        match timeout_at(self.error_body_limit(), &mut read).await {
            Ok(Ok(body)) => {
                if !info.closes_connection {
                    self.state
                        .pool
                        .put_idle(&backend, response.conn, info.keep_alive);
                }
                retries.set_fallback(head.to_response(ResponseBody::full(body)));
            }
            Ok(Err(_)) => {}
            Err(_) => retries.set_late_fallback(LateResponse {
                head,
                read,
                _conn: response.conn,
            }),
        }
    }

    /// Returns the time until which a request waits for the body of a refusal or an error response
    /// before it goes on.
    fn error_body_limit(&self) -> Instant {
        self.deadline.min(Instant::now() + ERROR_BODY_TIMEOUT)
    }

    /// Reads the body of a refusal; `None` if it is too large, breaks off or takes too long.
    async fn read_refusal_body(&self, body: Incoming) -> Option<Bytes> {
        let read = read_body(body, MAX_ERROR_BODY_BYTES);
        let read = timeout_at(self.error_body_limit(), read).await;
        read.ok()?.ok()
    }

    /// Reads the whole body of a response and returns the response to the caller.
    pub(super) async fn read_whole(
        &self,
        response: BackendResponse<C>,
        retries: &mut RetryState,
        trace: &RequestTrace<C>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let BackendResponse {
            mut attempt,
            conn,
            head,
            framing,
            mut body,
            info,
        } = response;
        let report = report_for_status(head.status().as_u16());
        if matches!(report, AttemptReport::Done { .. }) {
            attempt.report_first_byte();
        }
        let address = attempt.assignment.address;
        let backend = attempt.assignment.backend.clone();
        let read = read_body_with(&mut body, MAX_RESPONSE_BYTES, || attempt.record_bytes());
        let read = timeout_at(self.deadline, read).await;
        let ended = match (framing, &read) {
            (Framing::UntilClose, Ok(Ok(_))) => {
                unconfirmed_report(report, address, self.deadline).await
            }
            _ => report,
        };
        let (report, cause, failure) = match read {
            Ok(Ok(_)) if matches!(ended, AttemptReport::Crashed { .. }) => {
                let failure = Failure::new(FailureKind::Failed, "answer-broke-off");
                let cause = "the backend server ended with a response that has no length";
                (ended, cause.to_owned(), failure)
            }
            Ok(Ok(body)) => {
                attempt.report_end(ended);
                if !info.closes_connection {
                    self.state.pool.put_idle(&backend, conn, info.keep_alive);
                }
                let pace = &self.timing.pace;
                pace.record_response_bytes(body.len() as u64);
                return Ok(head.to_response(ResponseBody::full(body)));
            }
            Ok(Err(e @ BackendError::TooLarge { .. })) => {
                let failure = Failure::new(FailureKind::Failed, "answer-too-large");
                (CrashKind::Malformed.into(), e.to_string(), failure)
            }
            Ok(Err(e)) => {
                let failure = Failure::new(FailureKind::Failed, "answer-broke-off");
                let report = broken_connection_report(address).await;
                (
                    report,
                    format!("cannot read the response body: {e}"),
                    failure,
                )
            }
            Err(_) => {
                let cause = "the response body was incomplete at the deadline".to_owned();
                (
                    attempt.deadline_report(head_patience(self.route())),
                    cause,
                    retries.deadline_failure(),
                )
            }
        };
        trace.log_attempt_failure(&attempt, report, &cause);
        retries.exclude_backend(&backend);
        attempt.report_end(report);
        Err(failure)
    }
}

/// Returns the report on an attempt with `report` whose response ended with its connection. A backend
/// server that accepts no connection afterwards did not end it as it should.
async fn unconfirmed_report(
    report: AttemptReport,
    address: SocketAddr,
    deadline: Instant,
) -> AttemptReport {
    match report {
        AttemptReport::Done { .. } => undelimited_end_report(address, deadline).await,
        _ => report,
    }
}

/// Returns the report on an attempt whose response promises without proof that it did not run. For
/// the dispatcher, a backend server that refuses is full, whichever attempt it refuses.
fn unproven_report(response: &ResponseRecord) -> AttemptReport {
    match response.status {
        StatusCode::MISDIRECTED_REQUEST => CrashKind::Malformed.into(),
        _ if response.not_run => AttemptReport::Refused,
        _ => AttemptReport::Failed,
    }
}

/// Logs and reports the end of an attempt that failed. Further attempts prefer other backend servers.
fn end_failed_attempt<C: RouteControl>(
    attempt: AttemptGuard<C>,
    report: AttemptReport,
    cause: &str,
    retries: &mut RetryState,
    trace: &RequestTrace<C>,
) {
    retries.exclude_backend(&attempt.assignment.backend);
    trace.log_attempt_failure(&attempt, report, cause);
    attempt.report_end(report);
}
