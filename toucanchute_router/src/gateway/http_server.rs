//! A minimal HTTP server for responses that need no waiting.

use std::{future::Future, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use toucanchute_edge::{CallerListener, ConnectionLimits, Responder};

/// Longest time that a connection may be idle or that a request's head may take.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Serves `listener` until `ended` resolves; then answers what has arrived and closes all
/// connections. Log lines carry `name` as the field `server`.
pub(super) async fn serve<F>(
    listener: TcpListener,
    name: &'static str,
    respond: F,
    ended: impl Future<Output = ()>,
) where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    CallerListener::new(
        name,
        ImmediateResponder(respond),
        Arc::default(),
        usize::MAX,
    )
    .serve(listener, ended, std::future::ready(()))
    .await;
}

/// Answers requests at once.
#[derive(Clone)]
struct ImmediateResponder<F>(F);

impl<F> Responder for ImmediateResponder<F>
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + Sync + 'static,
{
    type Body = Full<Bytes>;

    async fn respond(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        (self.0)(&req)
    }

    fn is_leaving(&self) -> bool {
        false
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            header_timeout: HEADER_TIMEOUT,
            read_buffer_bytes: READ_BUFFER_BYTES,
        }
    }
}

#[cfg(test)]
mod tests;
