use http::{HeaderValue, Response, header};

use super::ServiceCall;
use toucanchute_core::routing::{AttemptReport, RegionNeed, SoftwareNeed, Target};

use crate::{
    attempt::{Attempt, ReservationGuard},
    backend::{self, BackendError, BackendResponse, report_for_status},
    caller::CallerRequest,
    control::{
        AssignRequest, Assignment, CallOutcome, Control, IntentDecision, IntentRequest, Refusal,
        RequestOutcome, ReserveRequest, ServiceAnswer,
    },
    edge::EdgeState,
    problem::Problem,
    reply::Reply,
    run_record::{AttemptNotRun, RunRecord},
    settings::{duration, now},
};

/// Response header that marks a recorded answer to an earlier request under the same key.
const REPLAYED_HEADER: &str = "toucanchute-replayed";

/// Serves a call to a plain service and sends the response or the error.
pub(crate) async fn run<C: Control>(
    shared: &EdgeState<C>,
    caller: &CallerRequest,
    call: &ServiceCall,
    reply: Reply,
) {
    let customer = &caller.customer().name;
    log::info!(request:% = caller.key, customer = customer, service = call.service; "request-started");
    let run = CallRun {
        shared,
        caller,
        call,
    };
    let answer = match shared.control.unready() {
        Some(refusal) => Err(run.refused(&refusal, &RunRecord::new())),
        None if call.idempotent => run.serve_idempotent(&reply).await,
        None => run.serve_once().await,
    };
    let key = caller.key;
    match answer {
        Ok(res) => {
            let status = res.status().as_u16();
            let delivered = reply.respond(res).is_ok();
            log::info!(request:% = key, status = status, delivered = delivered; "request-ended");
        }
        Err(problem) => {
            let outcome = problem.outcome.name();
            log::info!(request:% = key, reason = problem.reason, outcome = outcome; "request-failed");
            reply.fail(problem).await;
        }
    }
}

/// A call to a plain service in progress.
struct CallRun<'a, C: Control> {
    shared: &'a EdgeState<C>,
    caller: &'a CallerRequest,
    call: &'a ServiceCall,
}

type CallResponse = Result<Response<crate::body::AnswerBody>, Problem>;

impl<C: Control> CallRun<'_, C> {
    // Idempotent calls

    async fn serve_idempotent(&self, reply: &Reply) -> CallResponse {
        let mut record = RunRecord::new();
        let reservation = self.shared.control.reserve(self.reserve_request()).await;
        let reservation = reservation.map_err(|refusal| self.refused(&refusal, &record))?;
        let reservation = ReservationGuard::new(&*self.shared.control, reservation);
        let mut exclude = Vec::new();
        loop {
            let assignment = self.assign(&exclude, &record).await;
            let assignment = assignment.map_err(|problem| self.caller.adjust_outcome(problem))?;
            let attempt = Attempt::new(&*self.shared.control, self.caller.key, assignment);
            if reply.is_caller_gone() {
                attempt.end(AttemptReport::NotTried);
                return Err(Problem::backend_failed(
                    "the caller went away",
                    RequestOutcome::from_record(&record),
                ));
            }
            match self.send_attempt(&attempt.assignment, &mut record).await {
                Ok(answer) => {
                    attempt.end(report_for_status(answer.status));
                    let settled = reservation.settle(self.call.price).await;
                    settled.map_err(|refusal| Problem::from_refusal(&refusal, &record))?;
                    return answer.into_response();
                }
                Err(err) => {
                    exclude.push(attempt.assignment.backend.clone());
                    self.log_failure(&attempt, &err);
                    attempt.end(err.attempt_report());
                }
            }
        }
    }

    // Calls that may run only once

    async fn serve_once(&self) -> CallResponse {
        let control = &self.shared.control;
        let decision = control.commit_intent(self.intent_request()).await;
        match decision.map_err(|refusal| self.refused(&refusal, &RunRecord::new()))? {
            IntentDecision::Recorded(answer) => {
                log::info!(request:% = self.caller.key; "answer-replayed");
                let mut res = answer.into_response()?;
                let replayed = HeaderValue::from_static("true");
                res.headers_mut().insert(REPLAYED_HEADER, replayed);
                return Ok(res);
            }
            IntentDecision::Accepted => {}
        }
        let (outcome, answer) = self.send_committed().await;
        control.record_outcome(self.caller.key, outcome);
        answer
    }

    /// Sends a call whose intent is committed.
    ///
    /// The call is sent to one backend server after another as long as it provably did not run,
    /// and never again once it may have run.
    async fn send_committed(&self) -> (CallOutcome, CallResponse) {
        let mut exclude = Vec::new();
        let mut record = RunRecord::new();
        loop {
            let assignment = match self.assign(&exclude, &record).await {
                Ok(assignment) => assignment,
                Err(problem) => return unserved(&record, problem),
            };
            let attempt = Attempt::new(&*self.shared.control, self.caller.key, assignment);
            if now() >= self.caller.deadline {
                attempt.end(AttemptReport::NotTried);
                return unserved(&record, Problem::deadline_passed(&record));
            }
            match self.send_attempt(&attempt.assignment, &mut record).await {
                Ok(answer) => {
                    attempt.end(report_for_status(answer.status));
                    let limit = self.shared.settings.max_recorded_bytes;
                    let outcome = CallOutcome::Answer(answer.to_record(limit));
                    return (outcome, answer.into_response());
                }
                Err(err) => {
                    exclude.push(attempt.assignment.backend.clone());
                    self.log_failure(&attempt, &err);
                    attempt.end(err.attempt_report());
                    if record.not_run().is_none() {
                        let detail = format!("the call may have run: {err}");
                        return (CallOutcome::Unknown, Err(Problem::unknown_outcome(detail)));
                    }
                }
            }
        }
    }

    // Steps

    async fn assign(&self, exclude: &[String], record: &RunRecord) -> Result<Assignment, Problem> {
        let attempts = exclude.len() as u32;
        if attempts >= self.shared.settings.max_attempts {
            return Err(Problem::attempts_exhausted(record));
        }
        let req = AssignRequest {
            target: Target::Service(self.call.service.clone()),
            customer: self.caller.customer().name.clone(),
            weight: self.caller.customer().weight,
            priority: self.caller.customer().priority,
            digest: self.caller.digest,
            affinity: None,
            parts: Vec::new(),
            prefix: Vec::new(),
            tokens: self.call.price,
            attempts,
            exclude: exclude.to_vec(),
            running_on: Vec::new(),
            software: SoftwareNeed::Any,
            regions: RegionNeed::of(&[], &self.caller.customer().regions),
            may_wait: true,
            deadline: self.caller.deadline,
        };
        let assignment = self.shared.control.assign(req).await;
        assignment.map_err(|refusal| Problem::from_refusal(&refusal, record))
    }

    /// Sends the call to a backend server and enters into `record` whether it may have run there.
    async fn send_attempt(
        &self,
        assignment: &Assignment,
        record: &mut RunRecord,
    ) -> Result<ServiceAnswer, BackendError> {
        record.begin_attempt(assignment.attempt);
        let exchange = self.exchange(assignment);
        let answer = tokio::time::timeout(duration(self.call.timeout), exchange)
            .await
            .unwrap_or(Err(BackendError::Timeout));
        if let Err(err) = &answer
            && let Some(proof) = AttemptNotRun::from_backend_error(assignment.attempt, err)
        {
            record.attempt_not_run(&proof);
        }
        answer
    }

    async fn exchange(&self, assignment: &Assignment) -> Result<ServiceAnswer, BackendError> {
        let req = self.call.to_request(assignment)?;
        let (backends, attempt) = (&self.shared.backends, assignment.attempt);
        let res = if self.call.idempotent {
            backends.send(attempt, req).await?
        } else {
            backends.send_once(attempt, req).await?
        };
        self.read_answer(res).await
    }

    async fn read_answer(&self, res: BackendResponse) -> Result<ServiceAnswer, BackendError> {
        let res = res.response;
        let status = res.status().as_u16();
        let kind = res.headers().get(header::CONTENT_TYPE);
        let kind = kind.and_then(|kind| kind.to_str().ok());
        let content_type = kind.unwrap_or_default().to_owned();
        let limit = self.shared.settings.max_answer_bytes;
        let body = backend::read_body(res.into_body(), limit).await?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    }

    /// Returns the problem of a call that the control refused.
    fn refused(&self, refusal: &Refusal, record: &RunRecord) -> Problem {
        let problem = Problem::from_refusal(refusal, record);
        self.caller.adjust_outcome(problem)
    }

    fn log_failure(&self, attempt: &Attempt<'_, C>, err: &BackendError) {
        let key = self.caller.key;
        log::warn!(request:% = key, attempt:% = attempt.id(), error:% = err; "attempt-failed");
    }

    // Requests

    fn reserve_request(&self) -> ReserveRequest {
        ReserveRequest {
            budget: self.caller.budget(),
            key: self.caller.key,
            digest: self.caller.digest,
            tokens: self.call.price,
            expires: self.caller.expires,
            deadline: self.caller.deadline,
        }
    }

    fn intent_request(&self) -> IntentRequest {
        IntentRequest {
            budget: self.caller.budget(),
            key: self.caller.key,
            digest: self.caller.digest,
            tokens: self.call.price,
            expires: self.caller.expires,
            deadline: self.caller.deadline,
        }
    }
}

/// Ends a committed call that is sent to no further backend server: not run if its record proves
/// that, else unknown.
fn unserved(record: &RunRecord, problem: Problem) -> (CallOutcome, CallResponse) {
    match record.not_run() {
        Some(proof) => (CallOutcome::NotRun(proof), Err(problem)),
        None => {
            let problem = Problem::unknown_outcome(problem.detail);
            (CallOutcome::Unknown, Err(problem))
        }
    }
}
