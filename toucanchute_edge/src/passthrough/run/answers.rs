//! What an attempt brought: no answer, one that says what went wrong, or one to pass on.

use http::Response;
use tokio::time::timeout_at;
use toucanchute_core::routing::{CrashKind, Report};
use toucanchute_proto::Millis;

use super::{Answered, ExchangeError, MIN_TIME_LEFT, Run, Trace, Tries, respond};
use crate::{
    backend::{BackendError, answer_report, collect},
    passthrough::{
        Dialect, Failure, FailureKind, ResponseBody, RouteControl,
        attempt::Attempt,
        pool::{SendError, report_of_break},
    },
};

/// Largest answer that is read as a whole, in bytes; some dozens fit into a small host's memory.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of a refusal or failure that is put aside, in bytes.
const MAX_FAILURE_BYTES: usize = 64 * 1024;

/// When to come back to a service whose backend servers refuse.
const SHED_RETRY: Millis = Millis(200);

impl<C: RouteControl, D: Dialect> Run<C, D> {
    /// Ends an attempt that got no answer; an error ends the request.
    pub(super) async fn failed(
        &self,
        error: ExchangeError,
        attempt: Attempt<C>,
        tries: &mut Tries,
        trace: &mut Trace<C>,
    ) -> Result<(), Failure> {
        let address = attempt.assignment.address;
        tries.exclude_backend(&attempt.assignment.backend);
        let report = match error {
            ExchangeError::Send { ref source } if source.is_refusal() => Report::Gone,
            ExchangeError::Send {
                source: SendError::Connect { .. } | SendError::Unsent,
            } => Report::Unsent,
            ExchangeError::Send {
                source: SendError::Broken { .. },
            } => report_of_break(address).await,
            ExchangeError::Send {
                source: SendError::Interim,
            } => CrashKind::Malformed.into(),
            ExchangeError::TimedOut => CrashKind::TimedOut.into(),
        };
        trace.attempt_failed(&attempt.assignment, report, &error.to_string());
        attempt.end(report);
        if matches!(report, Report::Unsent | Report::Gone) {
            return tries.unreachable();
        }
        tries.sent(true);
        if tries.may_repeat() {
            return Ok(());
        }
        match self.time_left() < MIN_TIME_LEFT {
            true => Err(tries.out_of_time()),
            false => Err(Failure::new(FailureKind::Failed, "backend-broke-off")),
        }
    }

    /// Checks the head of an answer. `None` if the request goes on at another backend server.
    pub(super) async fn check(
        &self,
        answered: Answered<C>,
        tries: &mut Tries,
        trace: &mut Trace<C>,
    ) -> Result<Option<Answered<C>>, Failure> {
        let info = &answered.info;
        let status = answered.head.status;
        if info.not_run || info.misdirected {
            let report = match info.misdirected {
                true => Report::Gone,
                false => Report::Refused,
            };
            return self
                .refused(answered, report, tries, trace)
                .await
                .map(|()| None);
        }
        let foreign =
            info.attempt != self.call.attempt && (status.is_success() || info.attempt.is_some());
        if foreign || info.encoded || status.is_success() && !info.sealed {
            let report = CrashKind::Malformed.into();
            tries.exclude_backend(&answered.attempt.assignment.backend);
            let cause = "answer is not this request's";
            trace.attempt_failed(&answered.attempt.assignment, report, cause);
            answered.attempt.end(report);
            tries.sent(true);
            return match tries.may_repeat() {
                true => Ok(None),
                false => Err(Failure::new(FailureKind::Failed, "answer-malformed")),
            };
        }
        tries.sent(true);
        if status.is_server_error() && tries.may_repeat() {
            self.retry_error(answered, tries, trace).await;
            return Ok(None);
        }
        Ok(Some(answered))
    }

    /// Takes in that a backend server did not run the request.
    async fn refused(
        &self,
        answered: Answered<C>,
        report: Report,
        tries: &mut Tries,
        trace: &mut Trace<C>,
    ) -> Result<(), Failure> {
        let backend = answered.attempt.assignment.backend.clone();
        tries.exclude_backend(&backend);
        trace.attempt_failed(&answered.attempt.assignment, report, "refused, not run");
        answered.attempt.end(report);
        let keep = !answered.info.closes_connection;
        let read = timeout_at(self.deadline, collect(answered.body, MAX_FAILURE_BYTES)).await;
        if keep && matches!(read, Ok(Ok(_))) {
            let bound = answered.info.keep_alive;
            self.shared.pool.keep(&backend, answered.conn, bound);
        }
        tries.sent(false);
        match tries.may_send_again() {
            true => Ok(()),
            false => Err(tries.qualify(
                Failure::new(FailureKind::NotRun, "backends-full").retry_after(Some(SHED_RETRY)),
            )),
        }
    }

    /// Puts a backend server's failure aside while another one is tried.
    async fn retry_error(&self, answered: Answered<C>, tries: &mut Tries, trace: &mut Trace<C>) {
        tries.exclude_backend(&answered.attempt.assignment.backend);
        let report = Report::Failed;
        trace.attempt_failed(&answered.attempt.assignment, report, "backend failed");
        let (head, info) = (answered.head, answered.info);
        let backend = answered.attempt.assignment.backend.clone();
        answered.attempt.end(report);
        let body = timeout_at(self.deadline, collect(answered.body, MAX_FAILURE_BYTES)).await;
        if let Ok(Ok(body)) = body {
            if !info.closes_connection {
                self.shared
                    .pool
                    .keep(&backend, answered.conn, info.keep_alive);
            }
            tries.put_aside(respond(&head, ResponseBody::whole(body)));
        }
    }

    /// Reads an answer as a whole.
    pub(super) async fn whole(
        &self,
        answered: Answered<C>,
        tries: &mut Tries,
        trace: &Trace<C>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let Answered {
            attempt,
            conn,
            head,
            body,
            info,
        } = answered;
        let report = answer_report(head.status.as_u16());
        if matches!(report, Report::Done { .. }) {
            attempt.first();
        }
        let address = attempt.assignment.address;
        let backend = attempt.assignment.backend.clone();
        let read = timeout_at(self.deadline, collect(body, MAX_ANSWER_BYTES)).await;
        let (report, cause, failure) = match read {
            Ok(Ok(body)) => {
                attempt.end(report);
                if !info.closes_connection {
                    self.shared.pool.keep(&backend, conn, info.keep_alive);
                }
                return Ok(respond(&head, ResponseBody::whole(body)));
            }
            Ok(Err(e @ BackendError::TooLarge { .. })) => {
                let failure = Failure::new(FailureKind::Failed, "answer-too-large");
                (CrashKind::Malformed.into(), e.to_string(), failure)
            }
            Ok(Err(e)) => {
                let failure = Failure::new(FailureKind::Failed, "answer-broke-off");
                let report = report_of_break(address).await;
                (report, format!("answer broke off: {e}"), failure)
            }
            Err(_) => {
                let cause = "answer not whole in time".to_owned();
                (CrashKind::TimedOut.into(), cause, tries.out_of_time())
            }
        };
        trace.attempt_failed(&attempt.assignment, report, &cause);
        tries.exclude_backend(&backend);
        attempt.end(report);
        Err(failure)
    }
}
