//! Handles the result of an attempt: no response, an error response or one to relay.

use http::Response;
use tokio::time::timeout_at;
use toucanchute_core::routing::{AttemptReport, CrashKind};
use toucanchute_proto::Millis;

use super::{
    BackendResponse, ExchangeError, MIN_TIME_LEFT, ProxiedRequest, RequestTrace, RetryState,
    caller_response,
};
use crate::{
    backend::{BackendError, read_body, report_for_status},
    passthrough::{
        Dialect, Failure, FailureKind, ResponseBody, RouteControl,
        guards::AttemptGuard,
        pool::{SendError, broken_connection_report},
    },
};

/// Largest response that is buffered as a whole, in bytes. Some dozens of them fit into a small
/// host's memory.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of a refusal or an error response that is read, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Time after which a caller should retry a request that the backend servers refused.
const REFUSED_RETRY_AFTER: Millis = Millis(200);

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    /// Ends an attempt that got no response. An error ends the request.
    pub(super) async fn handle_exchange_error(
        &self,
        error: ExchangeError,
        attempt: AttemptGuard<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<(), Failure> {
        let address = attempt.assignment.address;
        retries.exclude_backend(&attempt.assignment.backend);
        let report = match error {
            ExchangeError::Send { ref source } if source.is_connection_refused() => {
                AttemptReport::Gone
            }
            ExchangeError::Send {
                source: SendError::Connect { .. } | SendError::Unsent,
            } => AttemptReport::Unsent,
            ExchangeError::Send {
                source: SendError::Broken { .. },
            } => broken_connection_report(address).await,
            ExchangeError::Send {
                source: SendError::TooManyInterim,
            } => CrashKind::Malformed.into(),
            ExchangeError::TimedOut => CrashKind::TimedOut.into(),
        };
        trace.log_attempt_failure(&attempt.assignment, report, &error.to_string());
        attempt.report_end(report);
        if matches!(report, AttemptReport::Unsent | AttemptReport::Gone) {
            return retries.record_connect_failure();
        }
        retries.record_send(true);
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
        response: BackendResponse<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<Option<BackendResponse<C>>, Failure> {
        let info = &response.info;
        let status = response.head.status;
        if info.not_run || info.misdirected {
            let report = match info.misdirected {
                true => AttemptReport::Gone,
                false => AttemptReport::Refused,
            };
            return self
                .handle_refusal(response, report, retries, trace)
                .await
                .map(|()| None);
        }
        let wrong_attempt =
            info.attempt != self.info.attempt && (status.is_success() || info.attempt.is_some());
        if wrong_attempt || info.encoded || status.is_success() && !info.sealed {
            let report = CrashKind::Malformed.into();
            retries.exclude_backend(&response.attempt.assignment.backend);
            let cause = "the response is encoded, has no seal or belongs to another attempt";
            trace.log_attempt_failure(&response.attempt.assignment, report, cause);
            response.attempt.report_end(report);
            retries.record_send(true);
            return match retries.may_rerun() {
                true => Ok(None),
                false => Err(Failure::new(FailureKind::Failed, "answer-malformed")),
            };
        }
        retries.record_send(true);
        if status.is_server_error() && retries.may_rerun() {
            self.handle_server_error(response, retries, trace).await;
            return Ok(None);
        }
        Ok(Some(response))
    }

    /// Ends an attempt whose request the backend server did not run. An error ends the request.
    async fn handle_refusal(
        &self,
        response: BackendResponse<C>,
        report: AttemptReport,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<(), Failure> {
        let backend = response.attempt.assignment.backend.clone();
        retries.exclude_backend(&backend);
        trace.log_attempt_failure(
            &response.attempt.assignment,
            report,
            "the backend server did not run the request",
        );
        response.attempt.report_end(report);
        let keep = !response.info.closes_connection;
        let read = timeout_at(
            self.deadline,
            read_body(response.body, MAX_ERROR_BODY_BYTES),
        )
        .await;
        if keep && matches!(read, Ok(Ok(_))) {
            let bound = response.info.keep_alive;
            self.state.pool.put_idle(&backend, response.conn, bound);
        }
        retries.record_send(false);
        match retries.may_resend() {
            true => Ok(()),
            false => Err(retries.final_failure(
                Failure::new(FailureKind::NotRun, "backends-full")
                    .retry_after(Some(REFUSED_RETRY_AFTER)),
            )),
        }
    }

    /// Ends an attempt with an error response, which is kept while another backend server is tried.
    async fn handle_server_error(
        &self,
        response: BackendResponse<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) {
        retries.exclude_backend(&response.attempt.assignment.backend);
        let report = AttemptReport::Failed;
        trace.log_attempt_failure(
            &response.attempt.assignment,
            report,
            "the backend server sent an error response",
        );
        let (head, info) = (response.head, response.info);
        let backend = response.attempt.assignment.backend.clone();
        response.attempt.report_end(report);
        let body = timeout_at(
            self.deadline,
            read_body(response.body, MAX_ERROR_BODY_BYTES),
        )
        .await;
        if let Ok(Ok(body)) = body {
            if !info.closes_connection {
                self.state
                    .pool
                    .put_idle(&backend, response.conn, info.keep_alive);
            }
            retries.set_fallback(caller_response(&head, ResponseBody::full(body)));
        }
    }

    /// Reads the whole body of a response and returns the response to the caller.
    pub(super) async fn read_whole(
        &self,
        response: BackendResponse<C>,
        retries: &mut RetryState,
        trace: &RequestTrace<C>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let BackendResponse {
            attempt,
            conn,
            head,
            body,
            info,
        } = response;
        let report = report_for_status(head.status.as_u16());
        if matches!(report, AttemptReport::Done { .. }) {
            attempt.report_first_byte();
        }
        let address = attempt.assignment.address;
        let backend = attempt.assignment.backend.clone();
        let read = timeout_at(self.deadline, read_body(body, MAX_RESPONSE_BYTES)).await;
        let (report, cause, failure) = match read {
            Ok(Ok(body)) => {
                attempt.report_end(report);
                if !info.closes_connection {
                    self.state.pool.put_idle(&backend, conn, info.keep_alive);
                }
                return Ok(caller_response(&head, ResponseBody::full(body)));
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
                    CrashKind::TimedOut.into(),
                    cause,
                    retries.deadline_failure(),
                )
            }
        };
        trace.log_attempt_failure(&attempt.assignment, report, &cause);
        retries.exclude_backend(&backend);
        attempt.report_end(report);
        Err(failure)
    }
}
