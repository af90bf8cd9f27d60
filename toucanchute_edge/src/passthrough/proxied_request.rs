//! One request from its admission to the head of its response.

mod exchange;
mod hedge;
mod origin;
mod reports;
mod responses;
mod retry;
mod trace;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, request, response};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};
use toucanchute_core::routing::{RegionNeed, SoftwareNeed, Target, request_digest};
use toucanchute_proto::{
    Digest, Millis,
    config::{Customer, Route, RouteKind},
};

use super::{
    Dialect, Failure, RequestInfo, ResponseBody, ResponseInfo, ResponseRecord, RouteControl,
    SharedParts, TokenBound, TokenRequest,
    framing::Framing,
    guards::AttemptGuard,
    handler::{AdmittedRequest, GatewayState, InFlightGuard, RequestTiming},
    is_promise,
    planned_stop::while_it_can_end,
    pool::Connection,
    relay,
    relayable_head::RelayableHead,
    request_tokens::RequestTokens,
    table::RouteTable,
};
use crate::{
    control::{AssignRequest, Refusal},
    run_record::RunRecord,
    settings::now,
};
use exchange::{Exchange, Exchanged, SendTerms};
pub(super) use hedge::{FirstAttempt, Hedged, event_patience};
pub(super) use origin::ServerRun;
pub(super) use retry::RetryState;
pub(super) use trace::RequestTrace;

/// Shortest shared part of a prompt, in tokens, that influences which backend server runs the
/// request.
const MIN_AFFINITY_TOKENS: u64 = 64;

/// Shortest time left until the deadline with which a request is still sent to a backend server.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// A request fails after this many failed connections to backend servers.
const MAX_CONNECT_FAILURES: u32 = 4;

/// Least number of events of a stream whose tokens are reserved before it begins.
const MIN_FIRST_EVENTS: u64 = 4;

/// A request that was admitted and is forwarded to backend servers.
pub(super) struct ProxiedRequest<C: RouteControl, D> {
    pub(super) state: Arc<GatewayState<C, D>>,
    table: Arc<RouteTable>,
    admitted: AdmittedRequest,
    head: request::Parts,
    body: Bytes,
    pub(super) info: RequestInfo,
    /// Service that was chosen for all attempts of the request.
    service: String,
    /// Digest of path and body.
    digest: Digest,
    pub(super) deadline: Instant,
    pub(super) timing: RequestTiming,
}

/// A backend server's response whose head has not been checked yet.
struct UncheckedResponse<C: RouteControl> {
    attempt: AttemptGuard<C>,
    conn: Connection,
    head: response::Parts,
    body: Incoming,
    info: ResponseInfo,
    record: ResponseRecord,
}

/// A backend server's response that may be relayed and whose body has not been read yet.
pub(super) struct BackendResponse<C: RouteControl> {
    pub(super) attempt: AttemptGuard<C>,
    pub(super) conn: Connection,
    pub(super) head: RelayableHead,
    pub(super) framing: Framing,
    pub(super) body: Incoming,
    pub(super) info: ResponseInfo,
}

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    pub(super) fn new(
        state: Arc<GatewayState<C, D>>,
        table: Arc<RouteTable>,
        admitted: AdmittedRequest,
        head: request::Parts,
        body: Bytes,
        info: RequestInfo,
        timing: RequestTiming,
    ) -> ProxiedRequest<C, D> {
        let service = choose_service(table.route_at(admitted.route));
        let digest = Digest::new(head.uri.path(), &body);
        ProxiedRequest {
            state,
            table,
            admitted,
            head,
            body,
            info,
            service,
            digest,
            deadline: timing.deadline,
            timing,
        }
    }

    /// Serves the request. The events of a stream are relayed in a separate task.
    pub(super) async fn serve(
        mut self,
        record: RunRecord,
        mut trace: RequestTrace<C>,
        in_flight: InFlightGuard,
    ) -> Response<ResponseBody> {
        let customer = self.customer().map_or("", |c| c.name.as_str());
        trace.digest = request_digest(customer, self.digest);
        trace.shared_parts = SharedParts::new(&self.info.prompt);
        let software = match self.find_software(&record).await {
            Ok(software) => software,
            Err(failure) => return trace.fail(failure),
        };
        let tokens = match self.reserve_tokens(&record, &mut trace).await {
            Ok(tokens) => tokens,
            Err(failure) => return trace.fail(failure),
        };
        let mut retries = RetryState::new(self.route(), record).needing(software);
        loop {
            let response = match self.next_response(&mut retries, &mut trace, None).await {
                Ok(response) => response,
                Err(failure) => return self.finish_failed(retries, trace, failure).await,
            };
            trace.record_first_byte();
            let is_stream = self.route().kind == RouteKind::Stream;
            if is_stream && response.head.status().is_success() {
                return relay::start(self, response, retries, tokens, trace, in_flight);
            }
            let assigned_at = response.attempt.assigned_at;
            match self.read_whole(response, &mut retries, &trace).await {
                Ok(res) => {
                    self.timing.pace.record_whole(assigned_at.elapsed());
                    return trace.finish(res);
                }
                Err(failure) if retries.may_rerun() => trace.log_retry(failure.reason),
                Err(failure) => return self.finish_failed(retries, trace, failure).await,
            }
        }
    }

    async fn finish_failed(
        &self,
        retries: RetryState,
        trace: RequestTrace<C>,
        failure: Failure,
    ) -> Response<ResponseBody> {
        retries.finish_failed(trace, failure, self.deadline).await
    }

    pub(super) fn route(&self) -> &Route {
        self.table.route_at(self.admitted.route)
    }

    fn customer(&self) -> Option<&Customer> {
        self.admitted
            .customer
            .map(|index| self.table.customer_at(index))
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the deadline since the Unix epoch, by the router's clock.
    fn unix_deadline(&self) -> Millis {
        let left = u64::try_from(self.time_left().as_millis()).unwrap_or(u64::MAX);
        now() + Millis(left)
    }

    // Tokens

    async fn reserve_tokens(
        &self,
        record: &RunRecord,
        trace: &mut RequestTrace<C>,
    ) -> Result<RequestTokens<C>, Failure> {
        let control = Arc::clone(&self.state.control);
        let budget = self.customer().and_then(|c| self.table.prepaid_budget(c));
        let (Some(budget), Some(bound)) = (budget, self.info.tokens) else {
            return Ok(RequestTokens::free(control));
        };
        let output = self.first_output(bound);
        let demand = TokenRequest {
            request: trace.request().to_owned(),
            budget,
            tokens: bound.prompt.saturating_add(output),
            rest: bound.output - output,
            extends: None,
            deadline: self.unix_deadline(),
        };
        let reserve = RequestTokens::reserve(control, demand, bound.prompt);
        let tokens = self.while_it_can_end(reserve).await;
        let tokens = tokens.map_err(|refusal| Failure::from_refusal(record, &refusal))?;
        let tokens = tokens.map_err(|refusal| Failure::from_token_refusal(record, refusal))?;
        trace.record_tokens(&tokens);
        Ok(tokens)
    }

    /// Returns the output tokens to reserve before the response begins: those that it probably has at
    /// most. All that it may have if it arrives in one piece, or if the process is stopping and could not
    /// wait for more later.
    fn first_output(&self, bound: TokenBound) -> u64 {
        let is_stopping = self.state.control.planned_stop().borrow().is_some();
        if is_stopping || self.route().kind != RouteKind::Stream {
            return bound.output;
        }
        let tokens_per_event = self.table.tokens_per_event(&self.service);
        let seen = self.timing.pace.likely_length();
        let seen = seen.map(|events| events.saturating_mul(tokens_per_event));
        let least = MIN_FIRST_EVENTS * tokens_per_event;
        self.info
            .first_output(bound, seen)
            .max(least)
            .min(bound.output)
    }

    /// Returns the tokens used once `events` events of the response were relayed: the prompt and the
    /// tokens of these events, at most those that the response may have. `None` for requests that cost
    /// nothing.
    pub(super) fn tokens_of(&self, events: u64) -> Option<u64> {
        let bound = self.info.tokens?;
        let tokens_per_event = self.table.tokens_per_event(&self.service);
        let output = bound.output.min(events.saturating_mul(tokens_per_event));
        Some(bound.prompt + output)
    }

    // Attempts

    /// Sends the request to one backend server after the other, as far as it may be retried, until
    /// one returns a response that can be relayed.
    pub(super) async fn next_response(
        &self,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
        resume_after: Option<u64>,
    ) -> Result<BackendResponse<C>, Failure> {
        loop {
            if self.time_left() < MIN_TIME_LEFT {
                return Err(retries.deadline_failure());
            }
            let attempt = match resume_after {
                None => self.assign_in_time(retries).await?,
                // The caller has part of the response, which only this process can continue.
                Some(_) => self.assign(retries).await?,
            };
            trace.record_assignment(&attempt.assignment);
            retries.begin_attempt(attempt.assignment.attempt);
            let assignment = attempt.assignment.clone();
            let first = FirstAttempt {
                assignment: &assignment,
                patience: hedge::head_patience(self.route()),
                resume_after,
            };
            let terms = SendTerms {
                non_idempotent: !retries.is_idempotent(),
                needs_software: *retries.software() != SoftwareNeed::Any,
                resume_after,
            };
            let exchange = self.run_exchange(attempt, terms);
            let is_answer = |exchanged: &Exchanged<C>| self.is_answer(exchanged);
            let hedged = self.hedge(first, exchange, is_answer, retries, trace).await;
            let response = match hedged {
                Hedged::First(exchanged) => self.end_exchange(exchanged, retries, trace).await?,
                Hedged::Second(response) => Some(response),
                Hedged::Both(exchanged, Ok(second)) if second.head.status().is_success() => {
                    drop(self.end_exchange(exchanged, retries, trace).await);
                    Some(second)
                }
                Hedged::Both(exchanged, second) => {
                    let first = self.end_exchange(exchanged, retries, trace).await;
                    match (first, second) {
                        (Ok(Some(response)), _) | (_, Ok(response)) => Some(response),
                        (first, Err(_)) => first?,
                    }
                }
                Hedged::Silent => None,
            };
            if let Some(response) = response {
                return Ok(response);
            }
        }
    }

    /// Handles the result of an exchange. Returns `None` if the request is to be sent to another backend
    /// server.
    async fn end_exchange(
        &self,
        exchanged: Exchanged<C>,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Result<Option<BackendResponse<C>>, Failure> {
        let Exchange {
            attempt,
            conn,
            head,
            body,
        } = match exchanged {
            Ok(exchange) => exchange,
            Err(failed) => {
                self.handle_failed_exchange(failed, retries, trace)?;
                return Ok(None);
            }
        };
        let info = self.state.dialect.read_response(&head);
        let record = self.record_response(&attempt, &conn, &head, &info, trace);
        self.report_backend_info(&attempt, &info, &record);
        let response = UncheckedResponse {
            attempt,
            conn,
            head,
            body,
            info,
            record,
        };
        self.check_response(response, retries, trace).await
    }

    /// Whether an exchange ended with a response that another backend server would not better: a valid
    /// one that is neither a refusal nor a server's failure.
    fn is_answer(&self, exchanged: &Exchanged<C>) -> bool {
        let Ok(Exchange { head, .. }) = exchanged else {
            return false;
        };
        let info = self.state.dialect.read_response(head);
        let is_failure = head.status.is_server_error() || is_promise(head.status);
        !is_failure && self.is_own_response(head.status, &info)
    }

    /// Does the same as `assign`, as long as the request can still end before a planned stop does.
    async fn assign_in_time(&self, retries: &RetryState) -> Result<AttemptGuard<C>, Failure> {
        match self.while_it_can_end(self.assign(retries)).await {
            Ok(assigned) => assigned,
            Err(refusal) => Err(retries.refused(&refusal)),
        }
    }

    /// Runs `work` as long as the request can still end before a planned stop does.
    async fn while_it_can_end<T>(&self, work: impl Future<Output = T>) -> Result<T, Refusal> {
        let stop = self.state.control.planned_stop().clone();
        while_it_can_end(stop, self.deadline, || self.timing.expected(), work).await
    }

    async fn assign(&self, retries: &RetryState) -> Result<AttemptGuard<C>, Failure> {
        if let Some(run) = retries.begun_by()
            && !self.confirm(run).await
        {
            return Err(retries.unserved("stream-origin-unknown", None));
        }
        let control = &self.state.control;
        let assigned =
            timeout_at(self.deadline, control.assign(self.assign_request(retries))).await;
        match assigned {
            Ok(Ok(assignment)) => Ok(AttemptGuard::new(Arc::clone(control), assignment)),
            Ok(Err(refusal)) => Err(retries.refused(&refusal)),
            Err(_) => Err(retries.deadline_failure()),
        }
    }

    fn assign_request(&self, retries: &RetryState) -> AssignRequest {
        let customer = self.customer();
        AssignRequest {
            target: Target::Service(self.service.clone()),
            customer: customer.map(|c| c.name.clone()).unwrap_or_default(),
            weight: customer.map_or(1, |c| c.weight),
            priority: RouteTable::priority_of(self.route(), customer),
            digest: self.digest,
            parts: SharedParts::new(&self.info.prompt).into_ids(),
            prefix: Vec::new(),
            affinity: self.prompt_affinity(),
            tokens: self.info.tokens.map_or(1, TokenBound::total),
            attempts: retries.sends(),
            exclude: retries.excluded().to_vec(),
            running_on: retries.running_on().to_vec(),
            software: retries.software().clone(),
            regions: RegionNeed::of(
                &self.route().regions,
                customer.map_or(&[], |c| c.regions.as_slice()),
            ),
            may_wait: retries.may_wait(),
            deadline: self.unix_deadline(),
        }
    }

    /// Returns a hash of the parts of the prompt that other requests may share, if they are long
    /// enough.
    fn prompt_affinity(&self) -> Option<u64> {
        let (_, shared_parts) = self.info.prompt.split_last()?;
        let tokens: u64 = shared_parts.iter().map(|p| p.tokens).sum();
        let mut hasher = blake3::Hasher::new();
        for part in shared_parts {
            hasher.update(&part.id.to_le_bytes());
        }
        let mut hash = [0; 8];
        hasher.finalize_xof().fill(&mut hash);
        (tokens >= MIN_AFFINITY_TOKENS).then_some(u64::from_le_bytes(hash))
    }
}

/// Chooses one of a route's services at random, by their weights.
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
