use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::time::Instant;
use toucanchute_proto::{
    Millis,
    config::{CallerLimits, Customer},
};

use super::{
    Dialect, Failure, FailureKind, RequestInfo, ResponseBody, RouteControl,
    pool::Pool,
    run::{Run, Trace},
    table::RouteTable,
};
use crate::settings::duration;

/// What all requests of one gateway share.
pub(super) struct Shared<C, D> {
    /// The router's decisions.
    pub(super) control: Arc<C>,
    /// How heads are written.
    pub(super) dialect: D,
    /// Connections to backend servers.
    pub(super) pool: Pool,
    /// Requests in progress.
    pub(super) in_flight: Arc<AtomicU64>,
    /// Tables of the configuration that was in force last.
    table: Mutex<Arc<RouteTable>>,
}

/// Counts a request in progress until it is dropped.
pub(super) struct InFlight(Arc<AtomicU64>);

impl InFlight {
    fn new(count: &Arc<AtomicU64>) -> InFlight {
        count.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl<C: RouteControl, D: Dialect> Shared<C, D> {
    pub(super) fn new(control: Arc<C>, dialect: D, in_flight: Arc<AtomicU64>) -> Shared<C, D> {
        let table = Mutex::new(Arc::new(RouteTable::new(control.config())));
        Shared {
            control,
            dialect,
            pool: Pool::default(),
            in_flight,
            table,
        }
    }

    /// Returns the tables of the configuration in force; builds them when its version is new.
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
    shared: Arc<Shared<C, D>>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let in_flight = InFlight::new(&shared.in_flight);
    let leaving = shared.control.is_leaving();
    let (head, body) = req.into_parts();
    let call = shared.dialect.read_request(&head);
    let trace = Trace::new(Arc::clone(&shared.control), call.attempt.clone());
    let mut res = serve(shared, head, body, call, trace, in_flight).await;
    if leaving {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

async fn serve<C: RouteControl, D: Dialect>(
    shared: Arc<Shared<C, D>>,
    head: request::Parts,
    body: Incoming,
    call: RequestInfo,
    mut trace: Trace<C>,
    in_flight: InFlight,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let table = shared.table();
    trace.version = table.version();
    match admit(&shared, &table, &head, &call, &mut trace) {
        Ok(admitted) => {
            let limits = table.config().callers.clone().unwrap_or_default();
            let timeout = duration(admitted.timeout);
            let deadline = arrived + timeout;
            match tokio::time::timeout_at(deadline, read_body(body, &limits)).await {
                Ok(Ok(body)) => {
                    let run = Run::new(shared, table, admitted, head, body, call, deadline);
                    run.serve(trace, in_flight).await
                }
                Ok(Err(failure)) => trace.fail(failure),
                Err(_) => trace.fail(Failure::new(FailureKind::TimedOut, "body-timeout")),
            }
        }
        Err(failure) => trace.fail(failure),
    }
}

/// A request whose route and customer are known.
#[derive(Clone, Copy, Debug)]
pub(super) struct Admitted {
    /// Place of the route in the configuration.
    pub(super) route: usize,
    /// Place of the customer in the configuration.
    pub(super) customer: Option<usize>,
    /// Longest time for the answer.
    pub(super) timeout: Millis,
}

fn admit<C: RouteControl, D: Dialect>(
    shared: &Shared<C, D>,
    table: &RouteTable,
    head: &request::Parts,
    call: &RequestInfo,
    trace: &mut Trace<C>,
) -> Result<Admitted, Failure> {
    if let Some(refusal) = shared.control.unready() {
        return Err(refusal.into());
    }
    let host = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let place = table.route(host, head.uri.path());
    let place = place.ok_or(Failure::new(FailureKind::NoRoute, "no-route"))?;
    let route = table.route_at(place);
    trace.route.clone_from(&route.name);
    let customer = call.credential.as_ref().and_then(|c| table.customer(c));
    if customer.is_none() && !route.public && table.has_customers() {
        return Err(Failure::new(FailureKind::Unauthorized, "unknown-token"));
    }
    if let Some(place) = customer {
        let customer: &Customer = table.customer_at(place);
        trace.customer.clone_from(&customer.name);
    }
    let limit = Millis(route.timeout_ms);
    Ok(Admitted {
        route: place,
        customer,
        timeout: call.timeout.map_or(limit, |p| p.min(limit)),
    })
}

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
