//! HTTP client for requests of callers and operators, and for the control of fake servers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use snafu::ensure;
use tokio::time::timeout;

use crate::error::{RequestSnafu, ScenarioError};

/// Timeout of an operator's request, or of a request that controls a fake server.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request over a new connection.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<Response<Incoming>, String> {
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(body)).map_err(|e| e.to_string())?;
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build_http();
    client.request(req).await.map_err(|e| e.to_string())
}

/// Sends a request and returns the JSON document in its response.
pub(crate) async fn request_json(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Value, ScenarioError> {
    let target = format!("{address}{path}");
    let request_error = |message: String| {
        RequestSnafu {
            target: target.clone(),
            message,
        }
        .build()
    };
    let exchange = async {
        let body = Bytes::copy_from_slice(body.as_bytes());
        let res = send(address, method, path, headers, body).await?;
        let status = res.status();
        let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
        Ok((status, body.to_bytes()))
    };
    let response = timeout(CONTROL_TIMEOUT, exchange).await;
    let response = response.unwrap_or_else(|_| Err("request timed out".to_owned()));
    let (status, body) = response.map_err(request_error)?;
    let message = format!("status {status}: {}", String::from_utf8_lossy(&body));
    ensure!(
        status.is_success(),
        RequestSnafu {
            target: &target,
            message
        }
    );
    serde_json::from_slice(&body).map_err(|e| request_error(e.to_string()))
}
