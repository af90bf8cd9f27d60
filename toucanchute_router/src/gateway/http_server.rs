//! A minimal HTTP server for responses that need no waiting.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

/// Pause after a failed accept: while file descriptors are exhausted, every further accept would
/// fail immediately.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves `listener` until the process ends. Log lines carry `name` as the field `server`.
pub(super) async fn serve<F>(listener: TcpListener, name: &'static str, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Full<Bytes>> + Clone + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(server = name, error:% = e; "accept-failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let respond = respond.clone();
        let service = service_fn(move |req| {
            let res = respond(&req);
            async move { Ok::<_, Infallible>(res) }
        });
        tokio::spawn(async move {
            let conn = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(e) = conn.await {
                log::debug!(server = name, error:% = e; "connection-failed");
            }
        });
    }
}
