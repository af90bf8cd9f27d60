use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use http::{Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;
use toucanchute_proto::{
    Millis,
    config::{CallerLimits, Customer},
};

use super::{
    Dialect, Failure, FailureKind, RequestInfo, ResponseBody, RouteControl,
    pool::ConnectionPool,
    proxied_request::{ProxiedRequest, RequestTrace},
    table::RouteTable,
};
use crate::{run_record::RunRecord, settings::duration};

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
            table,
        }
    }

    /// Returns the lookup tables of the configuration in force. Rebuilds them when its version has
    /// changed.
    pub(super) fn table(&self) -> Arc<RouteTable> {
        let config = self.control.config();
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if table.version() != config.version {
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
    let record = RunRecord::new();
    match admit(&state, &table, &head, &info, &record, &mut trace) {
        Ok(admitted) => {
            let limits = table.config().callers.clone().unwrap_or_default();
            let timeout = duration(admitted.timeout);
            let deadline = received_at + timeout;
            match tokio::time::timeout_at(deadline, read_body(body, &limits)).await {
                Ok(Ok(body)) => {
                    let request =
                        ProxiedRequest::new(state, table, admitted, head, body, info, deadline);
                    request.serve(record, trace, in_flight).await
                }
                Ok(Err(failure)) => trace.fail(failure),
                Err(_) => trace.fail(Failure::new(FailureKind::TimedOut, "body-timeout")),
            }
        }
        Err(failure) => trace.fail(failure),
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
