//! One request from its admission to the head of its answer.

mod trace;
mod tries;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, Uri, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use toucanchute_core::routing::{CrashKind, Report, Target};
use toucanchute_proto::{
    Digest, Millis,
    config::{Customer, Route, RouteKind},
};

use super::{
    AnswerHead, Call, Dialect, Failure, FailureKind, Forward, RouteBody, RouteControl, TokenBound,
    TokenRequest,
    attempt::{Attempt, Held},
    handler::{Admitted, InFlight, Shared},
    headers::strip_connection,
    pool::{Connection, SendError, is_reachable},
    relay,
    table::RouteTable,
};
use crate::{backend::collect, control::AssignRequest, settings::now};
pub(super) use trace::Trace;
pub(super) use tries::Tries;

/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Shared part of a prompt from which on it decides where a request runs, in tokens.
const MIN_SHARED_TOKENS: u64 = 64;

/// Least time left with which a request is sent to a backend server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// When to come back to a service whose backend servers refuse.
const SHED_RETRY: Millis = Millis(200);

/// Connections to backend servers that may fail for one request.
const MAX_UNREACHABLE: u32 = 4;

/// One request on its way.
pub(super) struct Run<C: RouteControl, D> {
    pub(super) shared: Arc<Shared<C, D>>,
    table: Arc<RouteTable>,
    admitted: Admitted,
    head: request::Parts,
    body: Bytes,
    pub(super) call: Call,
    /// Service that serves it, with all its attempts.
    service: String,
    pub(super) deadline: Instant,
}

/// A backend server's answer whose body is still to come.
pub(super) struct Answered<C: RouteControl> {
    pub(super) attempt: Attempt<C>,
    pub(super) conn: Connection,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) info: AnswerHead,
}

impl<C: RouteControl, D: Dialect> Run<C, D> {
    pub(super) fn new(
        shared: Arc<Shared<C, D>>,
        table: Arc<RouteTable>,
        admitted: Admitted,
        head: request::Parts,
        body: Bytes,
        call: Call,
        deadline: Instant,
    ) -> Run<C, D> {
        let service = choose_service(table.route_at(admitted.route));
        Run {
            shared,
            table,
            admitted,
            head,
            body,
            call,
            service,
            deadline,
        }
    }

    /// Serves the request; a stream goes on in a task of its own.
    pub(super) async fn serve(
        self,
        mut trace: Trace<C>,
        in_flight: InFlight,
    ) -> Response<RouteBody> {
        let held = match self.reserve(&mut trace).await {
            Ok(held) => held,
            Err(failure) => return trace.fail(failure),
        };
        let mut tries = Tries::new(self.route());
        loop {
            let answered = match self.next_answer(&mut tries, &mut trace, None).await {
                Ok(answered) => answered,
                Err(failure) => return tries.fall_back(trace, failure),
            };
            trace.first_byte();
            let stream = self.route().kind == RouteKind::Stream;
            if stream && answered.head.status.is_success() {
                return relay::start(self, answered, tries, held, trace, in_flight);
            }
            match self.whole(answered, &mut tries).await {
                Ok(res) => return trace.deliver(res),
                Err(failure) if tries.may_repeat() => trace.retry(failure.reason),
                Err(failure) => return tries.fall_back(trace, failure),
            }
        }
    }

    pub(super) fn route(&self) -> &Route {
        self.table.route_at(self.admitted.route)
    }

    fn customer(&self) -> Option<&Customer> {
        self.admitted
            .customer
            .map(|place| self.table.customer_at(place))
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The deadline by the router's clock.
    fn deadline_at(&self) -> Millis {
        let left = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        now() + Millis(left)
    }

    // Tokens

    async fn reserve(&self, trace: &mut Trace<C>) -> Result<Held<C>, Failure> {
        let control = &self.shared.control;
        let budget = self.customer().and_then(|c| self.table.prepaid(c));
        let (Some(budget), Some(bound)) = (budget, self.call.tokens) else {
            return Ok(Held::new(Arc::clone(control), None));
        };
        let req = TokenRequest {
            request: trace.request().to_owned(),
            budget,
            tokens: bound.total(),
            deadline: self.deadline_at(),
        };
        let hold = control.reserve(req).await?;
        trace.reserved(&hold);
        Ok(Held::new(Arc::clone(control), Some(hold)))
    }

    /// Notes that `events` of the answer were relayed. The prompt counts with the first one.
    pub(super) fn charge_events(&self, held: &mut Held<C>, events: u64) {
        let Some(bound) = self.call.tokens else {
            return;
        };
        let each = self.table.tokens_per_event(&self.service);
        let output = bound.output.min(events.saturating_mul(each));
        held.used = bound.prompt + output;
    }

    // Attempts

    /// Sends the request to one backend server after the other, as far as it may be repeated,
    /// until one answers.
    pub(super) async fn next_answer(
        &self,
        tries: &mut Tries,
        trace: &mut Trace<C>,
        resume_after: Option<u64>,
    ) -> Result<Answered<C>, Failure> {
        loop {
            if self.time_left() < MIN_TIME_LEFT {
                return Err(tries.out_of_time());
            }
            let attempt = self.assign(tries).await?;
            trace.assigned(&attempt.assignment);
            let (res, conn) = match self.exchange(&attempt, tries, resume_after).await {
                Ok(answer) => answer,
                Err(e) => {
                    self.failed(e, attempt, tries, trace).await?;
                    continue;
                }
            };
            let (head, body) = res.into_parts();
            let info = self.shared.dialect.answer(&head);
            self.tell_load(&attempt, &info);
            let answered = Answered {
                attempt,
                conn,
                head,
                body,
                info,
            };
            if let Some(answered) = self.check(answered, tries, trace).await? {
                return Ok(answered);
            }
        }
    }

    async fn assign(&self, tries: &Tries) -> Result<Attempt<C>, Failure> {
        let control = &self.shared.control;
        let assigned = timeout_at(self.deadline, control.assign(self.assign_request(tries))).await;
        match assigned {
            Ok(Ok(assignment)) => Ok(Attempt::new(Arc::clone(control), assignment)),
            Ok(Err(refusal)) => Err(tries.qualify(refusal.into())),
            Err(_) => Err(tries.out_of_time()),
        }
    }

    fn assign_request(&self, tries: &Tries) -> AssignRequest {
        let customer = self.customer();
        let priority = customer.and_then(|c| c.route_priority);
        let path = self.head.uri.path();
        AssignRequest {
            target: Target::Service(self.service.clone()),
            customer: customer.map(|c| c.name.clone()).unwrap_or_default(),
            weight: customer.map_or(1, |c| c.weight),
            priority: priority.unwrap_or(self.route().priority),
            digest: Digest::new(path, &self.body),
            prefix: Vec::new(),
            affinity: self.affinity(),
            tokens: self.call.tokens.map_or(1, TokenBound::total),
            attempts: tries.sends(),
            exclude: tries.exclude().to_vec(),
            deadline: self.deadline_at(),
        }
    }

    /// Hashes the parts of the prompt that other requests may share.
    fn affinity(&self) -> Option<u64> {
        let (_, shared) = self.call.prompt.split_last()?;
        let tokens: u64 = shared.iter().map(|p| p.tokens).sum();
        let mut hasher = blake3::Hasher::new();
        for part in shared {
            hasher.update(&part.id.to_le_bytes());
        }
        let mut hash = [0; 8];
        hasher.finalize_xof().fill(&mut hash);
        (tokens >= MIN_SHARED_TOKENS).then_some(u64::from_le_bytes(hash))
    }

    async fn exchange(
        &self,
        attempt: &Attempt<C>,
        tries: &Tries,
        resume_after: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), ExchangeError> {
        let assignment = &attempt.assignment;
        let pool = &self.shared.pool;
        let once = !tries.is_idempotent();
        let connect = pool.connect(&assignment.backend, assignment.address, once);
        let mut conn = in_time(self.deadline, connect).await?;
        let bound = tries.first_byte_bound(self.route(), self.deadline);
        let sent = in_time(bound, conn.send(self.request(attempt, resume_after))).await;
        match sent {
            Err(ExchangeError::Send {
                source: SendError::Unsent,
            }) if conn.reused => {
                let connect = pool.connect_anew(assignment.address);
                let mut conn = in_time(self.deadline, connect).await?;
                let bound = tries.first_byte_bound(self.route(), self.deadline);
                let sent = in_time(bound, conn.send(self.request(attempt, resume_after))).await;
                Ok((sent?, conn))
            }
            sent => Ok((sent?, conn)),
        }
    }

    fn request(&self, attempt: &Attempt<C>, resume_after: Option<u64>) -> Request<Full<Bytes>> {
        let customer = self.customer();
        let priority = customer.and_then(|c| c.route_priority);
        let forward = Forward {
            backend: &attempt.assignment.backend,
            customer: customer.map(|c| c.name.as_str()),
            time_left: Millis(u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX)),
            priority: priority.unwrap_or(self.route().priority),
            resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = origin_form(&self.head.uri);
        *req.headers_mut() = self.shared.dialect.forward(&self.head, &forward);
        req
    }

    fn tell_load(&self, attempt: &Attempt<C>, info: &AnswerHead) {
        let Some(load) = info.load else {
            return;
        };
        self.shared.control.load(toucanchute_proto::fleet::Load {
            backend: attempt.assignment.backend.clone(),
            running: load.running,
            waiting: load.waiting,
            capacity: load.slots,
            kv_used: 0,
            as_of: now(),
        });
    }

    // What went wrong

    /// Ends an attempt that got no answer; an error ends the request.
    async fn failed(
        &self,
        error: ExchangeError,
        attempt: Attempt<C>,
        tries: &mut Tries,
        trace: &mut Trace<C>,
    ) -> Result<(), Failure> {
        let address = attempt.assignment.address;
        tries.exclude_backend(&attempt.assignment.backend);
        trace.attempt_failed(&attempt.assignment, &error.to_string());
        match error {
            ExchangeError::Send {
                source: SendError::Connect { .. } | SendError::Unsent,
            } => {
                attempt.end(Report::Unsent);
                return tries.unreachable();
            }
            ExchangeError::Send {
                source: SendError::Broken { .. },
            } => {
                let kind = match is_reachable(address).await {
                    true => CrashKind::Interrupted,
                    false => CrashKind::Disconnected,
                };
                attempt.end(Report::Crashed { kind });
            }
            ExchangeError::TimedOut => {
                let kind = CrashKind::TimedOut;
                attempt.end(Report::Crashed { kind });
            }
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
    async fn check(
        &self,
        answered: Answered<C>,
        tries: &mut Tries,
        trace: &mut Trace<C>,
    ) -> Result<Option<Answered<C>>, Failure> {
        let info = &answered.info;
        let status = answered.head.status;
        if info.not_run || info.misdirected {
            let report = match info.misdirected {
                true => Report::Unsent,
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
            let kind = CrashKind::Malformed;
            tries.exclude_backend(&answered.attempt.assignment.backend);
            trace.attempt_failed(&answered.attempt.assignment, "answer is not this request's");
            answered.attempt.end(Report::Crashed { kind });
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
        trace.attempt_failed(&answered.attempt.assignment, "refused, not run");
        answered.attempt.end(report);
        let keep = !answered.info.closes;
        let read = timeout_at(self.deadline, collect(answered.body, MAX_ANSWER_BYTES)).await;
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
        trace.attempt_failed(&answered.attempt.assignment, "backend failed");
        let (head, info) = (answered.head, answered.info);
        let backend = answered.attempt.assignment.backend.clone();
        let kind = CrashKind::Malformed;
        answered.attempt.end(Report::Crashed { kind });
        let body = timeout_at(self.deadline, collect(answered.body, MAX_ANSWER_BYTES)).await;
        if let Ok(Ok(body)) = body {
            if !info.closes {
                self.shared
                    .pool
                    .keep(&backend, answered.conn, info.keep_alive);
            }
            tries.put_aside(respond(&head, RouteBody::whole(body)));
        }
    }

    /// Reads an answer as a whole.
    async fn whole(
        &self,
        answered: Answered<C>,
        tries: &mut Tries,
    ) -> Result<Response<RouteBody>, Failure> {
        let Answered {
            attempt,
            conn,
            head,
            body,
            info,
        } = answered;
        attempt.first();
        let backend = attempt.assignment.backend.clone();
        match timeout_at(self.deadline, body.collect()).await {
            Ok(Ok(body)) => {
                attempt.end(Report::Done { tokens: 0 });
                if !info.closes {
                    self.shared.pool.keep(&backend, conn, info.keep_alive);
                }
                Ok(respond(&head, RouteBody::whole(body.to_bytes())))
            }
            Ok(Err(_)) => {
                tries.exclude_backend(&backend);
                let kind = CrashKind::Interrupted;
                attempt.end(Report::Crashed { kind });
                Err(Failure::new(FailureKind::Failed, "answer-broke-off"))
            }
            Err(_) => {
                let kind = CrashKind::TimedOut;
                attempt.end(Report::Crashed { kind });
                Err(tries.out_of_time())
            }
        }
    }
}

/// An exchange with a backend server that brought no answer.
#[derive(Debug, snafu::Snafu)]
enum ExchangeError {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Send {
        /// Cause.
        source: SendError,
    },
    /// No answer came within the time allowed.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

async fn in_time<T>(
    deadline: Instant,
    work: impl Future<Output = Result<T, SendError>>,
) -> Result<T, ExchangeError> {
    match timeout_at(deadline, work).await {
        Ok(result) => Ok(result?),
        Err(_) => TimedOutSnafu.fail(),
    }
}

/// Returns an answer to the caller with a backend server's status and headers.
pub(super) fn respond(head: &response::Parts, body: RouteBody) -> Response<RouteBody> {
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    let mut headers: HeaderMap = head.headers.clone();
    strip_connection(&mut headers);
    *res.headers_mut() = headers;
    res
}

/// Chooses one of the services that share a route's requests.
fn choose_service(route: &Route) -> String {
    let total: u32 = route.targets.iter().map(|t| t.weight).sum();
    let mut at = rand::random_range(0..total.max(1));
    for target in &route.targets {
        if at < target.weight {
            return target.service.clone();
        }
        at -= target.weight;
    }
    route
        .targets
        .first()
        .map(|t| t.service.clone())
        .unwrap_or_default()
}

/// Returns a URI without scheme and host.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}
