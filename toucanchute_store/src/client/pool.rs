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

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Pooled connections to the endpoints of one service.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    endpoints: Vec<SocketAddr>,
    /// Index of the endpoint that is tried first.
    preferred: AtomicUsize,
    timeout: Millis,
    counters: CallCounters,
}

impl ConnectionPool {
    pub(crate) fn new(endpoints: Vec<SocketAddr>, timeout: Millis) -> ConnectionPool {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Shorter than a call's, so that a connection that never came about is told apart.
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

    /// Sends a request and reads its whole answer.
    pub(crate) async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        req: &Q,
    ) -> Result<A, StoreError> {
        self.exchange(kind, Method::POST, path, encode(req)?).await
    }

    /// Reads a document.
    pub(crate) async fn get<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
    ) -> Result<A, StoreError> {
        self.exchange(kind, Method::GET, path, Bytes::new()).await
    }

    /// Sends a request whose answer has no end.
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

    /// Sends a request and waits for the head of its answer.
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

/// EndpointTries of one call at each endpoint in turn, until another would be of no use or no longer safe.
struct EndpointTries<'a> {
    pool: &'a ConnectionPool,
    kind: CallKind,
    /// Index of the endpoint tried first.
    first_index: usize,
    /// Number of tries so far.
    sent: usize,
    /// Why the latest try failed.
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

    /// Returns the endpoint to try next.
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

    fn record_success(&self, endpoint: SocketAddr) {
        let mut endpoints = self.pool.endpoints.iter();
        if let Some(index) = endpoints.position(|&e| e == endpoint) {
            self.pool.preferred.store(index, Ordering::Relaxed);
        }
    }

    fn record_failure(&mut self, e: StoreError) {
        log::debug!(kind:? = self.kind, error:% = e; "platform-call-failed");
        self.pool.counters.count_failure(e.write_effect());
        self.last_error = Some(e);
    }

    /// Returns why the call failed. The next call starts at another endpoint, lest each waits for
    /// one that hangs.
    fn into_error(self) -> StoreError {
        let len = self.pool.endpoints.len().max(1);
        let next = (self.first_index + self.sent) % len;
        self.pool.preferred.store(next, Ordering::Relaxed);
        self.last_error.unwrap_or_else(|| NoEndpointSnafu.build())
    }
}

/// Returns whether a call that failed may be sent to another endpoint.
fn may_fail_over(kind: CallKind, e: &StoreError) -> bool {
    let repeatable = match kind {
        CallKind::Read | CallKind::Watch | CallKind::Hosts => true,
        CallKind::Write | CallKind::Lease => e.write_effect() == WriteEffect::NotApplied,
    };
    repeatable && e.may_succeed_elsewhere()
}

/// Returns the error of an answer without success. Client errors prove that nothing was applied.
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

/// Raises the log's clock to the sender's.
fn observe_clock(res: &Response<Incoming>) {
    let stamp = res.headers().get(CLOCK_HEADER);
    let stamp = stamp.and_then(|v| v.to_str().ok()?.parse().ok());
    if let Some(stamp) = stamp {
        toucanchute_log::observe(stamp);
    }
}
