use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt as _, Snafu};
use tokio::{net::TcpStream, time::timeout};

/// Time allowed for one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call got no response.
#[derive(Debug, Snafu)]
pub(crate) enum CallError {
    /// The connection was not opened.
    #[snafu(display("cannot connect: {source}"))]
    Connect { source: std::io::Error },
    /// The request is invalid.
    #[snafu(display("cannot build the request: {source}"))]
    Build { source: http::Error },
    /// The connection was lost before the head of the response.
    #[snafu(display("the connection was closed before the response: {source}"))]
    Exchange { source: hyper::Error },
    /// The response body is incomplete or too large.
    #[snafu(display("cannot read the response: {source}"))]
    Read {
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// [`TIMEOUT`] passed.
    #[snafu(display("no response within {} s", TIMEOUT.as_secs()))]
    TimedOut,
}

/// One request of a command.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
}

impl Call {
    /// Creates a request without a body.
    pub(crate) fn get(path: impl Into<String>) -> Call {
        Call {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// Creates a request with a JSON body.
    pub(crate) fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Call {
        Call {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
        }
    }

    /// Sends the request over a connection of its own.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        token: &str,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let exchange = self.exchange(address, token);
        timeout(TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| TimedOutSnafu.fail())
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        token: &str,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let stream = TcpStream::connect(address).await.context(ConnectSnafu)?;
        let io = TokioIo::new(stream);
        let (mut sender, conn) = http1::handshake(io).await.context(ExchangeSnafu)?;
        tokio::spawn(conn);
        let req = Request::builder()
            .method(&self.method)
            .uri(&self.path)
            .header(header::HOST, address.to_string())
            .header(header::AUTHORIZATION, format!("Bearer {token}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(self.body.clone()))
            .context(BuildSnafu)?;
        let res = sender.send_request(req).await.context(ExchangeSnafu)?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_RESPONSE_BYTES);
        let body = body.collect().await.context(ReadSnafu)?;
        Ok((status, body.to_bytes()))
    }
}
