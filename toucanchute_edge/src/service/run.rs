use http::{HeaderValue, Response, header};
use hyper::body::Incoming;

use super::ServiceCall;
use toucanchute_core::routing::{AttemptReport, Target};

use crate::{
    attempt::{Attempt, Held},
    backend::{self, BackendError, answer_report},
    caller::CallerRequest,
    control::{
        AssignRequest, Assignment, CallOutcome, Control, IntentDecision, IntentRequest,
        RequestOutcome, ReserveRequest, ServiceAnswer,
    },
    edge::Shared,
    problem::Problem,
    reply::Reply,
    settings::{duration, now},
};

/// Header of an answer that was recorded earlier.
const REPLAYED: &str = "toucanchute-replayed";

/// Serves a call of a plain service to its end.
pub(crate) async fn run<C: Control>(
    shared: &Shared<C>,
    caller: &CallerRequest,
    call: &ServiceCall,
    reply: Reply,
) {
    let customer = &caller.customer().name;
    log::info!(request:% = caller.key, customer = customer, service = call.service; "request-started");
    let run = Run {
        shared,
        caller,
        call,
    };
    let answer = match shared.control.unready() {
        Some(refusal) => Err(caller.qualify(refusal.into())),
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

/// A call in progress.
struct Run<'a, C: Control> {
    shared: &'a Shared<C>,
    caller: &'a CallerRequest,
    call: &'a ServiceCall,
}

type Answer = Result<Response<crate::body::AnswerBody>, Problem>;

impl<C: Control> Run<'_, C> {
    // Idempotent calls

    async fn serve_idempotent(&self, reply: &Reply) -> Answer {
        let reservation = self.shared.control.reserve(self.reserve_request()).await;
        let reservation = reservation.map_err(|refusal| self.caller.qualify(refusal.into()))?;
        let held = Held::new(&*self.shared.control, reservation);
        let mut exclude = Vec::new();
        let mut ran = false;
        loop {
            let assignment = self.assign(&exclude).await;
            let assignment = assignment.map_err(|err| {
                if ran {
                    err.after_running()
                } else {
                    self.caller.qualify(err)
                }
            })?;
            let attempt = Attempt::new(&*self.shared.control, self.caller.key, assignment);
            if reply.is_gone() {
                attempt.end(AttemptReport::Unsent);
                return Err(Problem::failed(
                    "the caller went away",
                    RequestOutcome::NotRun,
                ));
            }
            match self.exchange(&attempt.assignment).await {
                Ok(answer) => {
                    attempt.end(answer_report(answer.status));
                    held.settle(self.call.price).await?;
                    return Ok(answer.into_response());
                }
                Err(err) => {
                    ran |= !err.is_not_run();
                    exclude.push(attempt.assignment.backend.clone());
                    self.log_failure(&attempt, &err);
                    attempt.end(err.report());
                }
            }
        }
    }

    // Calls that may run only once

    async fn serve_once(&self) -> Answer {
        let control = &self.shared.control;
        let intention = control.commit_intent(self.intent_request()).await;
        match intention.map_err(|refusal| self.caller.qualify(refusal.into()))? {
            IntentDecision::Recorded(answer) => {
                log::info!(request:% = self.caller.key; "answer-replayed");
                let mut res = answer.into_response();
                let replayed = HeaderValue::from_static("true");
                res.headers_mut().insert(REPLAYED, replayed);
                return Ok(res);
            }
            IntentDecision::Accepted => {}
        }
        let (recorded, answer) = self.send_accepted().await;
        control.record_outcome(self.caller.key, recorded);
        answer
    }

    /// Sends a call whose intent is committed: to one backend server after the other until the call
    /// may have run, and never after that.
    async fn send_accepted(&self) -> (CallOutcome, Answer) {
        let mut exclude = Vec::new();
        loop {
            let assignment = match self.assign(&exclude).await {
                Ok(assignment) => assignment,
                Err(problem) => return (CallOutcome::NotRun, Err(problem)),
            };
            let attempt = Attempt::new(&*self.shared.control, self.caller.key, assignment);
            if now() >= self.caller.deadline {
                attempt.end(AttemptReport::Unsent);
                return (CallOutcome::NotRun, Err(Problem::deadline_passed()));
            }
            match self.exchange(&attempt.assignment).await {
                Ok(answer) => {
                    attempt.end(answer_report(answer.status));
                    let limit = self.shared.settings.max_recorded_bytes;
                    let recorded = CallOutcome::Answer(answer.bounded(limit));
                    return (recorded, Ok(answer.into_response()));
                }
                Err(err) => {
                    exclude.push(attempt.assignment.backend.clone());
                    self.log_failure(&attempt, &err);
                    attempt.end(err.report());
                    if !err.is_not_run() {
                        let detail = format!("the call may have run: {err}");
                        return (CallOutcome::Unknown, Err(Problem::unknown(detail)));
                    }
                }
            }
        }
    }

    // Steps

    async fn assign(&self, exclude: &[String]) -> Result<Assignment, Problem> {
        let attempts = exclude.len() as u32;
        if attempts >= self.shared.settings.max_attempts {
            return Err(Problem::attempts_exhausted());
        }
        let req = AssignRequest {
            target: Target::Service(self.call.service.clone()),
            customer: self.caller.customer().name.clone(),
            weight: self.caller.customer().weight,
            priority: self.caller.customer().priority,
            digest: self.caller.digest,
            affinity: None,
            prefix: Vec::new(),
            tokens: self.call.price,
            attempts,
            exclude: exclude.to_vec(),
            deadline: self.caller.deadline,
        };
        Ok(self.shared.control.assign(req).await?)
    }

    async fn exchange(&self, assignment: &Assignment) -> Result<ServiceAnswer, BackendError> {
        let req = self.call.to_request(assignment)?;
        let backends = &self.shared.backends;
        let answer = async {
            let res = if self.call.idempotent {
                backends.send(req).await?
            } else {
                backends.send_once(req).await?
            };
            self.read(res).await
        };
        tokio::time::timeout(duration(self.call.timeout), answer)
            .await
            .unwrap_or(Err(BackendError::Timeout))
    }

    async fn read(&self, res: Response<Incoming>) -> Result<ServiceAnswer, BackendError> {
        let status = res.status().as_u16();
        let kind = res.headers().get(header::CONTENT_TYPE);
        let kind = kind.and_then(|kind| kind.to_str().ok());
        let content_type = kind.unwrap_or_default().to_owned();
        let limit = self.shared.settings.max_answer_bytes;
        let body = backend::collect(res.into_body(), limit).await?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
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
