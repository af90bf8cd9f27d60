use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;
use toucanchute_core::placement::LinkRequest;
use toucanchute_proto::{
    Millis,
    config::{CallerLimits, Customer, RouteKind},
};

use super::{
    Dialect, Failure, FailureKind, RequestInfo, ResponseBody, RouteControl,
    pace::{PaceTable, RoutePace},
    planned_stop::while_it_can_end,
    pool::ConnectionPool,
    proxied_request::{ProxiedRequest, RequestTrace},
    table::RouteTable,
};
use crate::{connection::UnreadBody, run_record::RunRecord, settings::duration};

/// Bytes of the heads of a request and of its response.
const HEADS_BYTES: u64 = 800;

/// State that all requests of one gateway share.
pub(super) struct GatewayState<C, D> {
    /// Source of the router's decisions.
    pub(super) control: Arc<C>,
    /// Reads and writes the deployment's headers.
    pub(super) dialect: D,
    /// Idle connections to backend servers.
    pub(super) pool: ConnectionPool,
    /// Number of requests in progress.
    pub(super) in_flight: Arc<AtomicU64>,
    /// How long requests take.
    paces: PaceTable,
    /// Lookup tables of the last configuration that was seen in force.
    table: Mutex<Arc<RouteTable>>,
}

/// Counts a request as in progress until the guard is dropped.
pub(super) struct InFlightGuard(Arc<AtomicU64>);

impl InFlightGuard {
    fn new(count: &Arc<AtomicU64>) -> InFlightGuard {
        count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<C: RouteControl, D: Dialect> GatewayState<C, D> {
    pub(super) fn new(
        control: Arc<C>,
        dialect: D,
        in_flight: Arc<AtomicU64>,
    ) -> GatewayState<C, D> {
        let table = Mutex::new(Arc::new(RouteTable::new(control.config())));
        GatewayState {
            control,
            dialect,
            pool: ConnectionPool::default(),
            in_flight,
            paces: PaceTable::default(),
            table,
        }
    }

    /// Returns the lookup tables of the configuration in force. Rebuilds them when its version has
    /// changed.
    pub(super) fn table(&self) -> Arc<RouteTable> {
        let config = self.control.config();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if table.version() != config.version {
            self.paces.retain_configured(&config);
            *table = Arc::new(RouteTable::new(config));
        }
        Arc::clone(&table)
    }
}

/// Serves one request of a caller.
pub(super) async fn handle<C: RouteControl, D: Dialect>(
    state: Arc<GatewayState<C, D>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let in_flight = InFlightGuard::new(&state.in_flight);
    let (head, body) = req.into_parts();
    let info = state.dialect.read_request(&head);
    let trace = RequestTrace::new(Arc::clone(&state.control), info.attempt.clone());
    serve(state, head, body, info, trace, in_flight).await
}

async fn serve<C: RouteControl, D: Dialect>(
    state: Arc<GatewayState<C, D>>,
    head: request::Parts,
    body: Incoming,
    info: RequestInfo,
    mut trace: RequestTrace<C>,
    in_flight: InFlightGuard,
) -> Response<ResponseBody> {
    let received_at = Instant::now();
    let table = state.table();
    trace.config_version = table.version();
    trace.record_resumption(&info);
    let record = RunRecord::new();
    let admitted = admit(&state, &table, &head, &info, &record, &mut trace).and_then(|admitted| {
        admit_to_link(&state, &table, &admitted, &body, &record)?;
        Ok(admitted)
    });
    match admitted {
        Ok(admitted) => {
            let timing = RequestTiming::new(&state, &table, &admitted, &info, received_at);
            let limits = table.config().callers.clone().unwrap_or_default();
            let read = tokio::time::timeout_at(timing.deadline, read_body(body, &limits));
            let stop = state.control.planned_stop().clone();
            let expected = || timing.expected();
            match while_it_can_end(stop, timing.deadline, expected, read).await {
                Ok(Ok(Ok(body))) => {
                    let request =
                        ProxiedRequest::new(state, table, admitted, head, body, info, timing);
                    request.serve(record, trace, in_flight).await
                }
                Ok(Ok(Err(failure))) => with_unread_body(trace.fail(failure)),
                Ok(Err(_)) => {
                    let failure = Failure::new(FailureKind::TimedOut, "body-timeout");
                    with_unread_body(trace.fail(failure))
                }
                Err(refusal) => {
                    let failure = Failure::from_refusal(&record, &refusal);
                    with_unread_body(trace.fail(failure))
                }
            }
        }
        Err(failure) if body.is_end_stream() => trace.fail(failure),
        Err(failure) => with_unread_body(trace.fail(failure)),
    }
}

/// Marks a response that is sent although the request's body was not read to its end.
fn with_unread_body(mut res: Response<ResponseBody>) -> Response<ResponseBody> {
    res.extensions_mut().insert(UnreadBody);
    res
}

/// By when a request has to be answered, and how long that probably takes.
#[derive(Debug)]
pub(super) struct RequestTiming {
    /// When the caller or the route gives the request up.
    pub(super) deadline: Instant,
    /// Observed times of the route.
    pub(super) pace: Arc<RoutePace>,
    /// Number of events that a stream probably has at most, if that is known.
    events: Option<u64>,
}

impl RequestTiming {
    fn new<C: RouteControl, D: Dialect>(
        state: &GatewayState<C, D>,
        table: &RouteTable,
        admitted: &AdmittedRequest,
        info: &RequestInfo,
        received_at: Instant,
    ) -> RequestTiming {
        let route = table.route_at(admitted.route);
        let tokens = info.likely_output();
        let events = tokens.map(|tokens| table.events_of_route(route, tokens));
        RequestTiming {
            deadline: received_at + duration(admitted.timeout),
            pace: state.paces.route(&route.name),
            events: events.filter(|_| route.kind == RouteKind::Stream),
        }
    }

    /// Returns how long the request probably takes from the moment at which it is sent to a backend
    /// server, if that can be estimated.
    pub(super) fn expected(&self) -> Option<Duration> {
        self.pace.expected(self.events)
    }
}

/// A request that matched a route and whose credential was accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdmittedRequest {
    /// Index of the route in the configuration.
    pub(super) route: usize,
    /// Index of the customer in the configuration; `None` if no customer is known by the
    /// credential.
    pub(super) customer: Option<usize>,
    /// Time limit for the whole response: the caller's timeout, at most that of the route.
    pub(super) timeout: Millis,
}

/// Finds the route and the customer of a request. Refuses the request if the router accepts none,
/// no route matches, or a required credential is missing or unknown.
fn admit<C: RouteControl, D: Dialect>(
    state: &GatewayState<C, D>,
    table: &RouteTable,
    head: &request::Parts,
    info: &RequestInfo,
    record: &RunRecord,
    trace: &mut RequestTrace<C>,
) -> Result<AdmittedRequest, Failure> {
    if let Some(refusal) = state.control.unready() {
        return Err(Failure::from_refusal(record, &refusal));
    }
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let index = table.find_route(host, head.uri.path());
    let index = index.ok_or(Failure::new(FailureKind::NoRoute, "no-route"))?;
    let route = table.route_at(index);
    trace.route.clone_from(&route.name);
    let customer = info
        .credential
        .as_ref()
        .and_then(|c| table.find_customer(c));
    if customer.is_none() && !route.public && table.requires_credential() {
        return Err(Failure::new(FailureKind::Unauthorized, "unknown-token"));
    }
    if let Some(index) = customer {
        let customer: &Customer = table.customer_at(index);
        trace.customer.clone_from(&customer.name);
    }
    let route_timeout = Millis(route.timeout_ms);
    Ok(AdmittedRequest {
        route: index,
        customer,
        timeout: info.timeout.map_or(route_timeout, |t| t.min(route_timeout)),
    })
}

/// Refuses a request whose body and response the link of this router's host cannot carry now. It is asked
/// before the body is read, since a body that has been read was carried in vain.
fn admit_to_link<C: RouteControl, D: Dialect>(
    state: &GatewayState<C, D>,
    table: &RouteTable,
    admitted: &AdmittedRequest,
    body: &Incoming,
    record: &RunRecord,
) -> Result<(), Failure> {
    let route = table.route_at(admitted.route);
    let customer = admitted.customer.map(|index| table.customer_at(index));
    let body_bytes = body.size_hint().lower() + HEADS_BYTES;
    let req = LinkRequest {
        customer: customer.map_or("", |c| c.name.as_str()),
        rank: table.rank_of(RouteTable::priority_of(route, customer)),
        bytes: body_bytes + state.paces.route(&route.name).mean_response_bytes(),
    };
    let admitted = state.control.admit_to_link(req);
    admitted.map_err(|refusal| Failure::from_refusal(record, &refusal))
}

/// Reads the whole request body, at most as many bytes as callers may send.
async fn read_body(body: Incoming, limits: &CallerLimits) -> Result<Bytes, Failure> {
    let limit = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    if body.size_hint().lower() > limit as u64 {
        return Err(Failure::new(FailureKind::TooLarge, "body-too-large"));
    }
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            Err(Failure::new(FailureKind::TooLarge, "body-too-large"))
        }
        Err(_) => Err(Failure::new(FailureKind::BadRequest, "body-broken")),
    }
}
