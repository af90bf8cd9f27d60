//! One request from its admission to the head of its answer.

mod answers;
mod trace;
mod tries;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, Uri, request, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use toucanchute_core::routing::{BackendWord, Target, request_digest};
use toucanchute_proto::{
    Digest, Millis,
    config::{Customer, Route, RouteKind},
};

use super::{
    Dialect, Failure, ForwardInfo, RequestInfo, ResponseBody, ResponseInfo, RouteControl,
    TokenBound, TokenRequest,
    attempt::{Attempt, Held},
    handler::{Admitted, InFlight, Shared},
    headers::strip_connection_headers,
    pool::{Connection, SendError},
    relay,
    table::RouteTable,
};
use crate::{control::AssignRequest, settings::now};
pub(super) use trace::Trace;
pub(super) use tries::Tries;

/// Shared part of a prompt from which on it decides where a request runs, in tokens.
const MIN_SHARED_TOKENS: u64 = 64;

/// Least time left with which a request is sent to a backend server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Connections to backend servers that may fail for one request.
const MAX_UNREACHABLE: u32 = 4;

/// One request on its way.
pub(super) struct Run<C: RouteControl, D> {
    pub(super) shared: Arc<Shared<C, D>>,
    table: Arc<RouteTable>,
    admitted: Admitted,
    head: request::Parts,
    body: Bytes,
    pub(super) call: RequestInfo,
    /// Service that serves it, with all its attempts.
    service: String,
    /// Digest of path and body.
    digest: Digest,
    pub(super) deadline: Instant,
}

/// A backend server's answer whose body is still to come.
pub(super) struct Answered<C: RouteControl> {
    pub(super) attempt: Attempt<C>,
    pub(super) conn: Connection,
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    pub(super) info: ResponseInfo,
}

impl<C: RouteControl, D: Dialect> Run<C, D> {
    pub(super) fn new(
        shared: Arc<Shared<C, D>>,
        table: Arc<RouteTable>,
        admitted: Admitted,
        head: request::Parts,
        body: Bytes,
        call: RequestInfo,
        deadline: Instant,
    ) -> Run<C, D> {
        let service = choose_service(table.route_at(admitted.route));
        let digest = Digest::new(head.uri.path(), &body);
        Run {
            shared,
            table,
            admitted,
            head,
            body,
            call,
            service,
            digest,
            deadline,
        }
    }

    /// Serves the request; a stream goes on in a task of its own.
    pub(super) async fn serve(
        self,
        mut trace: Trace<C>,
        in_flight: InFlight,
    ) -> Response<ResponseBody> {
        let customer = self.customer().map_or("", |c| c.name.as_str());
        trace.digest = request_digest(customer, self.digest);
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
            match self.whole(answered, &mut tries, &trace).await {
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
            let info = self.shared.dialect.read_response(&head);
            self.tell_words(&attempt, &info);
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
        AssignRequest {
            target: Target::Service(self.service.clone()),
            customer: customer.map(|c| c.name.clone()).unwrap_or_default(),
            weight: customer.map_or(1, |c| c.weight),
            priority: priority.unwrap_or(self.route().priority),
            digest: self.digest,
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
        let forward = ForwardInfo {
            backend: &attempt.assignment.backend,
            customer: customer.map(|c| c.name.as_str()),
            time_left: Millis(u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX)),
            priority: priority.unwrap_or(self.route().priority),
            resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = origin_form(&self.head.uri);
        *req.headers_mut() = self.shared.dialect.forward_headers(&self.head, &forward);
        req
    }

    /// Tells what the head of an answer says of the backend server.
    fn tell_words(&self, attempt: &Attempt<C>, info: &ResponseInfo) {
        let control = &self.shared.control;
        let backend = &attempt.assignment.backend;
        if info.leaving {
            control.report_notice(backend, BackendWord::Leaving);
        }
        if let Some(span) = info.retry_after {
            control.report_notice(backend, BackendWord::Rest { span });
        }
        let Some(load) = info.load else {
            return;
        };
        control.report_load(toucanchute_proto::fleet::Load {
            backend: attempt.assignment.backend.clone(),
            running: load.running,
            waiting: load.waiting,
            capacity: load.slots,
            kv_used: 0,
            as_of: now(),
        });
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
pub(super) fn respond(head: &response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut res = Response::new(body);
    *res.status_mut() = head.status;
    let mut headers: HeaderMap = head.headers.clone();
    strip_connection_headers(&mut headers);
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
