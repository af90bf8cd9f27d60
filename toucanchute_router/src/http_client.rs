use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Uri;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Error of a call.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(crate) enum HttpClientError {
    /// The address and path do not form a valid URI.
    #[snafu(display("invalid URI: {source}"), context(false))]
    Uri { source: http::uri::InvalidUri },
    /// The request cannot be built.
    #[snafu(display("cannot build the request: {source}"), context(false))]
    Build { source: http::Error },
    /// The call did not complete.
    #[snafu(display("the call failed: {source}"), context(false))]
    Call {
        source: hyper_util::client::legacy::Error,
    },
    /// The response body was cut off or is too large.
    #[snafu(display("cannot read the response body: {detail}"))]
    Body { detail: String },
    /// The response body is not JSON of the expected type.
    #[snafu(
        display("malformed JSON in the response body: {source}"),
        context(false)
    )]
    Json { source: serde_json::Error },
    /// The call did not complete within the timeout.
    #[snafu(display("the call timed out"))]
    Timeout,
}

/// HTTP client for JSON documents that backend servers publish or accept in addition to the
/// requests of callers.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client.
    pub(crate) fn new() -> HttpClient {
        HttpClient {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Gets a JSON document.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, HttpClientError> {
        match tokio::time::timeout(CALL_TIMEOUT, self.get(address, path)).await {
            Ok(body) => Ok(serde_json::from_slice(&body?)?),
            Err(_) => TimeoutSnafu.fail(),
        }
    }

    /// Posts a JSON document and returns the status of the response.
    pub(crate) async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        document: &serde_json::Value,
    ) -> Result<StatusCode, HttpClientError> {
        let req = Request::post(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(document.to_string()))?;
        match tokio::time::timeout(CALL_TIMEOUT, self.client.request(req)).await {
            Ok(res) => Ok(res?.status()),
            Err(_) => TimeoutSnafu.fail(),
        }
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Result<Bytes, HttpClientError> {
        let uri: Uri = format!("http://{address}{path}").parse()?;
        let res = self.client.get(uri).await?;
        match Limited::new(res.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        {
            Ok(body) => Ok(body.to_bytes()),
            Err(e) => BodySnafu {
                detail: e.to_string(),
            }
            .fail(),
        }
    }
}
