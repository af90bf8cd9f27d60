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

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A call that failed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(crate) enum HttpClientError {
    /// The address and path make no URI.
    #[snafu(display("{source}"), context(false))]
    Uri { source: http::uri::InvalidUri },
    /// The call could not be built.
    #[snafu(display("{source}"), context(false))]
    Build { source: http::Error },
    /// The call did not complete.
    #[snafu(display("{source}"), context(false))]
    Call {
        source: hyper_util::client::legacy::Error,
    },
    /// The answer broke off or is too large.
    #[snafu(display("cannot read the answer: {detail}"))]
    Body { detail: String },
    /// The answer is no JSON of the type expected.
    #[snafu(display("{source}"), context(false))]
    Json { source: serde_json::Error },
    /// No answer came in time.
    #[snafu(display("no answer in time"))]
    Timeout,
}

/// Small client for documents that backend servers publish beside their work.
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

    /// Posts a JSON document; returns the answer's status.
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
