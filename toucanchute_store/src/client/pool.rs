use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as HttpClient, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;
use tokio::time::timeout;
use toucanchute_log::CLOCK_HEADER;
use toucanchute_proto::Millis;

use super::wire::ErrorBody;
use crate::{
    CallKind, StoreError, WriteEffect,
    counts::CallCounters,
    error::{
        ConnectSnafu, ConnectionLostSnafu, EncodeSnafu, FailedSnafu, MalformedSnafu,
        NoEndpointSnafu, RefusedSnafu, TimedOutSnafu, TruncatedSnafu,
    },
};

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pooled connections to the endpoints of one service. A call that fails at one endpoint is sent
/// to the next one where that is safe.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    endpoints: Vec<SocketAddr>,
    /// Index of the endpoint to which the next call is sent first.
    preferred: AtomicUsize,
    timeout: Millis,
    counters: CallCounters,
}

impl ConnectionPool {
    pub(crate) fn new(endpoints: Vec<SocketAddr>, timeout: Millis) -> ConnectionPool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than the timeout of a call, so that a connection that cannot be established is
        // reported as such: it proves that the call had no effect.
        connector.set_connect_timeout(Some(Duration::from_millis(timeout.0 / 2)));
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        ConnectionPool {
            http,
            endpoints,
            preferred: AtomicUsize::new(0),
            timeout,
            counters: CallCounters::default(),
        }
    }

    pub(crate) fn counters(&self) -> &CallCounters {
        &self.counters
    }

    /// Sends `req` by POST and decodes the JSON response.
    pub(crate) async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        req: &Q,
    ) -> Result<A, StoreError> {
        self.exchange(kind, Method::POST, path, encode(req)?).await
    }

    /// Reads the JSON document at `path`.
    pub(crate) async fn get<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
    ) -> Result<A, StoreError> {
        self.exchange(kind, Method::GET, path, Bytes::new()).await
    }

    /// Sends `req` by POST and returns the endpoint and the body of its endless response.
    pub(crate) async fn open_stream<Q: Serialize>(
        &self,
        path: &str,
        req: &Q,
    ) -> Result<(SocketAddr, Incoming), StoreError> {
        let body = encode(req)?;
        let mut tries = EndpointTries::new(self, CallKind::Watch);
        while let Some(endpoint) = tries.next_endpoint() {
            let res = self.send_request(endpoint, Method::POST, path, body.clone());
            match self.with_timeout(endpoint, res).await {
                Ok(res) => {
                    tries.record_success(endpoint);
                    return Ok((endpoint, res.into_body()));
                }
                Err(e) => tries.record_failure(e),
            }
        }
        Err(tries.into_error())
    }

    /// Sends a request to one endpoint after another until one succeeds or no other may be tried.
    async fn exchange<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<A, StoreError> {
        let mut tries = EndpointTries::new(self, kind);
        while let Some(endpoint) = tries.next_endpoint() {
            let result = self
                .fetch_body(endpoint, method.clone(), path, body.clone())
                .await;
            let result = result.and_then(|body| {
                serde_json::from_slice(&body).context(MalformedSnafu { endpoint })
            });
            match result {
                Ok(response) => {
                    tries.record_success(endpoint);
                    return Ok(response);
                }
                Err(e) => tries.record_failure(e),
            }
        }
        Err(tries.into_error())
    }

    /// Sends a request to `endpoint` and reads the whole response body.
    async fn fetch_body(
        &self,
        endpoint: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, StoreError> {
        let fetch = async {
            let res = self.send_request(endpoint, method, path, body).await?;
            let body = res.into_body().collect().await;
            Ok(body.context(TruncatedSnafu { endpoint })?.to_bytes())
        };
        self.with_timeout(endpoint, fetch).await
    }

    /// Applies the timeout of a call to `call`.
    async fn with_timeout<A>(
        &self,
        endpoint: SocketAddr,
        call: impl Future<Output = Result<A, StoreError>>,
    ) -> Result<A, StoreError> {
        match timeout(Duration::from_millis(self.timeout.0), call).await {
            Ok(result) => result,
            Err(_) => TimedOutSnafu {
                endpoint,
                timeout: self.timeout,
            }
            .fail(),
        }
    }

    /// Sends a request to `endpoint` and waits for the headers of the response. Returns an error
    /// for a status other than 2xx.
    async fn send_request(
        &self,
        endpoint: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, StoreError> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{endpoint}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(CLOCK_HEADER, toucanchute_log::now().to_string())
            .body(Full::new(body));
        let req = req.map_err(|e| {
            EncodeSnafu {
                message: e.to_string(),
            }
            .build()
        })?;
        let res = match self.http.request(req).await {
            Ok(res) => res,
            Err(e) if e.is_connect() => return Err(e).context(ConnectSnafu { endpoint }),
            Err(e) => return Err(e).context(ConnectionLostSnafu { endpoint }),
        };
        observe_clock(&res);
        match res.status() {
            status if status.is_success() => Ok(res),
            status => Err(status_error(endpoint, status, res).await),
        }
    }
}

fn encode<Q: Serialize>(req: &Q) -> Result<Bytes, StoreError> {
    match serde_json::to_vec(req) {
        Ok(body) => Ok(body.into()),
        Err(e) => EncodeSnafu {
            message: e.to_string(),
        }
        .fail(),
    }
}

/// Endpoints that one call is sent to, one after another, until it succeeds or fails in a way that
/// makes another endpoint useless or unsafe.
struct EndpointTries<'a> {
    pool: &'a ConnectionPool,
    kind: CallKind,
    /// Index of the endpoint that the call is sent to first.
    first_index: usize,
    /// Number of endpoints that the call has been sent to.
    sent: usize,
    /// Error of the latest endpoint.
    last_error: Option<StoreError>,
}

impl<'a> EndpointTries<'a> {
    fn new(pool: &'a ConnectionPool, kind: CallKind) -> EndpointTries<'a> {
        EndpointTries {
            pool,
            kind,
            first_index: pool.preferred.load(Ordering::Relaxed),
            sent: 0,
            last_error: None,
        }
    }

    /// Counts the call and returns the endpoint to send it to next; `None` if no endpoint is left
    /// or another must not be tried.
    fn next_endpoint(&mut self) -> Option<SocketAddr> {
        let endpoints = &self.pool.endpoints;
        let may_try = self
            .last_error
            .as_ref()
            .is_none_or(|e| may_fail_over(self.kind, e));
        if !may_try || self.sent == endpoints.len() {
            return None;
        }
        let endpoint = endpoints[(self.first_index + self.sent) % endpoints.len()];
        self.sent += 1;
        self.pool.counters.count_call(self.kind);
        Some(endpoint)
    }

    /// Makes `endpoint` the first endpoint of later calls.
    fn record_success(&self, endpoint: SocketAddr) {
        let mut endpoints = self.pool.endpoints.iter();
        if let Some(index) = endpoints.position(|&e| e == endpoint) {
            self.pool.preferred.store(index, Ordering::Relaxed);
        }
    }

    /// Logs and counts an error, and keeps it as the latest.
    fn record_failure(&mut self, e: StoreError) {
        log::debug!(kind:? = self.kind, error:% = e; "platform-call-failed");
        self.pool.counters.count_failure(e.write_effect());
        self.last_error = Some(e);
    }

    /// Returns the error of the whole call. The next call starts at another endpoint, so that an
    /// endpoint that hangs does not delay every call by the timeout.
    fn into_error(self) -> StoreError {
        let len = self.pool.endpoints.len().max(1);
        let next = (self.first_index + self.sent) % len;
        self.pool.preferred.store(next, Ordering::Relaxed);
        self.last_error.unwrap_or_else(|| NoEndpointSnafu.build())
    }
}

/// Returns whether a call that failed with `e` may be sent to another endpoint. The request itself
/// must not be the cause, and a write or lease call must provably have had no effect.
fn may_fail_over(kind: CallKind, e: &StoreError) -> bool {
    let repeatable = match kind {
        CallKind::Read | CallKind::Watch | CallKind::Hosts => true,
        CallKind::Write | CallKind::Lease => e.write_effect() == WriteEffect::NotApplied,
    };
    repeatable && e.may_succeed_elsewhere()
}

/// Returns the error of a response with an error status. A 4xx status proves that nothing was
/// applied, other statuses do not.
async fn status_error(
    endpoint: SocketAddr,
    status: StatusCode,
    res: Response<Incoming>,
) -> StoreError {
    let body = res.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let body: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
    let message = body.message;
    let code = status.as_u16();
    match status.is_client_error() {
        true => RefusedSnafu {
            endpoint,
            status: code,
            message,
        }
        .build(),
        false => FailedSnafu {
            endpoint,
            status: code,
            message,
        }
        .build(),
    }
}

/// Advances the hybrid clock of the log to the timestamp that the response carries, if any.
fn observe_clock(res: &Response<Incoming>) {
    let stamp = res.headers().get(CLOCK_HEADER);
    let stamp = stamp.and_then(|v| v.to_str().ok()?.parse().ok());
    if let Some(stamp) = stamp {
        toucanchute_log::observe(stamp);
    }
}
