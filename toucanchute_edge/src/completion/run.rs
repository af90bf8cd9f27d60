use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use toucanchute_proto::{AttemptId, Millis};

use super::{CompletionRequest, progress::AnswerProgress};
use toucanchute_core::routing::{AttemptReport, RegionNeed, SoftwareNeed, Target};

use crate::{
    attempt::{Attempt, ReservationGuard},
    backend::{self, ATTEMPT_HEADER, BackendError, BackendResponse, PRIORITY_HEADER},
    caller::CallerRequest,
    control::{AssignRequest, Assignment, Control, ReserveRequest},
    edge::EdgeState,
    error::RequestError,
    passthrough::AttemptMatch,
    problem::Problem,
    reply::{CallerGone, Reply},
    run_record::{AttemptNotRun, RunRecord},
    settings::{duration, now},
};

/// Largest body of a rejection that is forwarded to the caller.
const MAX_REJECTION_BYTES: usize = 1024;

/// A completion in progress.
pub(crate) struct CompletionRun<'a, C: Control> {
    pub(crate) shared: &'a EdgeState<C>,
    pub(crate) caller: &'a CallerRequest,
    pub(crate) req: CompletionRequest,
    pub(crate) reply: Reply,
    /// The part of the answer that was received so far, over all attempts.
    pub(crate) progress: AnswerProgress,
    /// Largest number of tokens of the answer: the number requested, limited by the reservation.
    max_tokens: u64,
    /// Attempts that a model engine may have started.
    record: RunRecord,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// The answer was received; its last part is still to be sent.
    Finished {
        /// Number of tokens to bill, prompt and answer together.
        tokens: u64,
        /// Part of the answer that is sent once the answer is billed.
        last: LastPart,
    },
    /// The model engine rejected the request as invalid.
    Rejected(RequestError),
    /// The attempt failed; another model engine may serve the request.
    Failed(BackendError),
    /// The caller disconnected.
    CallerGone,
}

/// The part of an answer that is held back until the answer is billed.
pub(crate) enum LastPart {
    /// Last chunk and end event of a stream, and the unread rest of the model engine's response.
    Stream(Bytes, Incoming),
    /// The whole answer.
    Whole(Response<crate::body::AnswerBody>),
}

/// Serves a completion request and sends the answer or the error.
pub(crate) async fn run<C: Control>(
    shared: &EdgeState<C>,
    caller: &CallerRequest,
    req: CompletionRequest,
    reply: Reply,
) {
    let customer = &caller.customer().name;
    log::info!(request:% = caller.key, customer = customer, model = req.model; "request-started");
    let record = RunRecord::new();
    if let Some(refusal) = shared.control.unready() {
        let problem = Problem::from_refusal(&refusal, &record);
        return send_failure(caller, reply, problem).await;
    }
    let reservation = match shared.control.reserve(reserve_request(caller, &req)).await {
        Ok(reservation) => reservation,
        Err(refusal) => {
            let problem = Problem::from_refusal(&refusal, &record);
            return send_failure(caller, reply, problem).await;
        }
    };
    let reservation = ReservationGuard::new(&*shared.control, reservation);
    let max_tokens = reservation.tokens.saturating_sub(req.prompt_tokens);
    if max_tokens == 0 {
        drop(reservation);
        return send_failure(caller, reply, Problem::budget_exhausted(&record)).await;
    }
    let max_tokens = max_tokens.min(req.max_tokens);
    let run = CompletionRun {
        max_tokens,
        shared,
        caller,
        req,
        reply,
        progress: AnswerProgress::new(max_tokens),
        record,
    };
    run.serve(reservation).await;
}

impl<C: Control> CompletionRun<'_, C> {
    async fn serve(mut self, reservation: ReservationGuard<'_, C>) {
        let mut exclude = Vec::new();
        loop {
            let attempts = exclude.len() as u32;
            if attempts >= self.shared.settings.max_attempts {
                let problem = Problem::attempts_exhausted(&self.record);
                return self.fail(reservation, problem).await;
            }
            let req = self.assign_request(attempts, exclude.clone());
            let assignment = match self.shared.control.assign(req).await {
                Ok(assignment) => assignment,
                Err(refusal) => {
                    let problem = Problem::from_refusal(&refusal, &self.record);
                    return self.fail(reservation, problem).await;
                }
            };
            let attempt = Attempt::new(&*self.shared.control, self.caller.key, assignment);
            if self.reply.is_caller_gone() {
                attempt.end(AttemptReport::NotTried);
                return self.settle_partial(reservation).await;
            }
            if now() >= self.caller.deadline {
                attempt.end(AttemptReport::NotTried);
                let problem = Problem::deadline_passed(&self.record);
                return self.fail(reservation, problem).await;
            }
            match self.run_attempt(&attempt).await {
                AttemptEnd::Finished { tokens, last } => {
                    attempt.end(AttemptReport::Done { tokens });
                    return self.finish(reservation, tokens, last).await;
                }
                AttemptEnd::Rejected(err) => {
                    attempt.end(AttemptReport::Rejected);
                    let problem = Problem::from_error(&err, &self.record);
                    return self.fail(reservation, problem).await;
                }
                AttemptEnd::Failed(BackendError::Timeout)
                    if self.caller.own_deadline_passed(now()) =>
                {
                    self.cancel(attempt);
                    let problem = Problem::deadline_passed(&self.record);
                    return self.fail(reservation, problem).await;
                }
                AttemptEnd::Failed(err) => {
                    if let Some(proof) = AttemptNotRun::from_backend_error(attempt.id(), &err) {
                        self.record.attempt_not_run(&proof);
                    }
                    exclude.push(attempt.assignment.backend.clone());
                    log::warn!(request:% = self.caller.key, attempt:% = attempt.id(), error:% = err; "attempt-failed");
                    attempt.end(err.attempt_report());
                }
                AttemptEnd::CallerGone => {
                    self.cancel(attempt);
                    return self.settle_partial(reservation).await;
                }
            }
        }
    }

    // Ends of the request

    fn cancel(&self, attempt: Attempt<'_, C>) {
        let address = attempt.assignment.address;
        self.shared.backends.cancel(address, attempt.id());
        attempt.end(AttemptReport::Cancelled);
    }

    async fn finish(self, reservation: ReservationGuard<'_, C>, tokens: u64, last: LastPart) {
        if let Err(refusal) = reservation.settle(tokens).await {
            let problem = Problem::from_refusal(&refusal, &self.record);
            return send_failure(self.caller, self.reply, problem).await;
        }
        let mut reply = self.reply;
        let delivered = match last {
            LastPart::Whole(res) => reply.respond(res),
            LastPart::Stream(event, rest) => {
                let sent = reply.send(event).await;
                drop(reply);
                super::stream::drain(rest).await;
                sent
            }
        };
        let delivered = delivered != Err(CallerGone);
        log::info!(request:% = self.caller.key, tokens = tokens, delivered = delivered; "request-ended");
    }

    /// Bills the tokens received so far, after the caller has disconnected. Without any, the
    /// reservation is released.
    async fn settle_partial(self, reservation: ReservationGuard<'_, C>) {
        let tokens = self.progress.tokens;
        log::info!(request:% = self.caller.key, tokens = tokens; "caller-disconnected");
        if tokens > 0 {
            let _ = reservation.settle(self.req.prompt_tokens + tokens).await;
        }
    }

    async fn fail(self, reservation: ReservationGuard<'_, C>, problem: Problem) {
        drop(reservation);
        send_failure(self.caller, self.reply, problem).await;
    }

    // One attempt

    async fn run_attempt(&mut self, attempt: &Attempt<'_, C>) -> AttemptEnd {
        self.record.begin_attempt(attempt.id());
        let res = match self.send_request(&attempt.assignment).await {
            Ok(Some(res)) => res,
            Ok(None) => return AttemptEnd::CallerGone,
            Err(err) => return AttemptEnd::Failed(err),
        };
        match self.check_response_head(res, attempt.id()).await {
            Ok(body) if self.req.stream => self.relay(attempt, body).await,
            Ok(body) => self.read_whole_answer(attempt, body).await,
            Err(end) => end,
        }
    }

    /// Sends the request and waits for the response head; `None` if the caller disconnects
    /// meanwhile.
    async fn send_request(
        &mut self,
        assignment: &Assignment,
    ) -> Result<Option<BackendResponse>, BackendError> {
        let req = self.backend_request(assignment)?;
        let timeout = self.head_timeout();
        let sent = self.shared.backends.send(assignment.attempt, req);
        let sent = tokio::time::timeout(duration(timeout), sent);
        tokio::select! {
            answer = sent => match answer {
                Ok(res) => res.map(Some),
                Err(_) => Err(BackendError::Timeout),
            },
            () = self.reply.caller_gone() => Ok(None),
        }
    }

    /// Returns how long the response head may take. A model engine sends the head of an answer that
    /// is not streamed only once the whole answer is ready.
    fn head_timeout(&self) -> Millis {
        if self.req.stream {
            return self.caller.deadline.since(now());
        }
        let longest = self.shared.settings.answer_timeout;
        self.caller.whole_answer_timeout(now(), longest)
    }

    /// Returns the body of a response that is the answer to `attempt`.
    async fn check_response_head(
        &mut self,
        res: BackendResponse,
        attempt: AttemptId,
    ) -> Result<Incoming, AttemptEnd> {
        let BackendResponse { record, response } = res;
        let status = record.status;
        let malformed = |detail| AttemptEnd::Failed(BackendError::Malformed { detail });
        match status {
            StatusCode::OK => {}
            StatusCode::NOT_FOUND => {
                let err = BackendError::Refused { response: record };
                return Err(AttemptEnd::Failed(err));
            }
            _ if status.is_client_error() => {
                if let Some(proof) = AttemptNotRun::from_response(attempt, &record) {
                    self.record.attempt_not_run(&proof);
                }
                return Err(read_rejection(response).await);
            }
            _ => return Err(malformed(format!("unexpected status {status}"))),
        }
        if record.attempt != AttemptMatch::Own {
            return Err(malformed("the response names no attempt".to_owned()));
        }
        Ok(response.into_body())
    }

    // Requests to engine and control

    fn backend_request(
        &mut self,
        assignment: &Assignment,
    ) -> Result<Request<Full<Bytes>>, BackendError> {
        let AnswerProgress { tokens, text, .. } = &self.progress;
        let resume = (*tokens > 0).then_some((*tokens, text.as_str()));
        let body = self.req.engine_body(self.max_tokens, resume);
        let malformed = |err: http::Error| BackendError::Malformed {
            detail: err.to_string(),
        };
        let uri =
            backend::backend_uri(assignment.address, self.req.kind.path()).map_err(malformed)?;
        Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header(header::CONTENT_TYPE, "application/json")
            .header(ATTEMPT_HEADER, assignment.attempt.to_string())
            .header(
                PRIORITY_HEADER,
                HeaderValue::from(u16::from(self.caller.customer().priority)),
            )
            .body(Full::new(body))
            .map_err(malformed)
    }

    fn assign_request(&self, attempts: u32, exclude: Vec<String>) -> AssignRequest {
        AssignRequest {
            target: Target::Model(self.req.model.clone()),
            customer: self.caller.customer().name.clone(),
            weight: self.caller.customer().weight,
            priority: self.caller.customer().priority,
            digest: self.caller.digest,
            affinity: None,
            parts: Vec::new(),
            prefix: self.req.prefix.clone(),
            tokens: self.req.prompt_tokens + self.max_tokens,
            attempts,
            exclude,
            running_on: Vec::new(),
            software: SoftwareNeed::Any,
            regions: RegionNeed::of(&[], &self.caller.customer().regions),
            may_wait: true,
            deadline: self.caller.deadline,
        }
    }
}

fn reserve_request(caller: &CallerRequest, req: &CompletionRequest) -> ReserveRequest {
    ReserveRequest {
        budget: caller.budget(),
        key: caller.key,
        digest: caller.digest,
        tokens: req.max_total_tokens(),
        expires: caller.expires,
        deadline: caller.deadline,
    }
}

async fn read_rejection(res: Response<Incoming>) -> AttemptEnd {
    let status = res.status().as_u16();
    let body = backend::read_body(res.into_body(), MAX_REJECTION_BYTES).await;
    let detail = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
    AttemptEnd::Rejected(RequestError::Rejected { status, detail })
}

async fn send_failure(caller: &CallerRequest, reply: Reply, problem: Problem) {
    let problem = caller.adjust_outcome(problem);
    let outcome = problem.outcome.name();
    log::info!(request:% = caller.key, reason = problem.reason, outcome = outcome; "request-failed");
    reply.fail(problem).await;
}
