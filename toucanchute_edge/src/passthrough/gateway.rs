use std::{
    convert::Infallible,
    future::Future,
    io,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use http::header;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use super::{
    Dialect, RouteControl,
    handler::{GatewayState, handle},
};
use crate::{
    connection::{
        CallerStream, ConnectionCounts, ConnectionTracker, TrackedBody, has_unread_bytes,
    },
    settings::duration,
};

/// Delay before the next connection is accepted after accepting one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Lower limit of the read buffer that hyper is given, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 64 * 1024;

/// HTTP server that forwards callers' requests along the configured routes.
///
/// ```
/// use std::sync::Arc;
/// use toucanchute_edge::passthrough::{Dialect, Gateway, RouteControl};
///
/// async fn run<C: RouteControl, D: Dialect>(control: Arc<C>, dialect: D) -> std::io::Result<()> {
///     let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
///     let gateway = Gateway::new(control, dialect, Arc::default(), 1_000);
///     gateway.serve(listener, std::future::pending()).await;
///     Ok(())
/// }
/// ```
pub struct Gateway<C, D> {
    state: Arc<GatewayState<C, D>>,
    /// Limits the number of callers' connections.
    connection_permits: Arc<Semaphore>,
    connection_counts: Arc<ConnectionCounts>,
}

impl<C: RouteControl, D: Dialect> Gateway<C, D> {
    /// Creates a gateway. It takes the router's decisions from `control`, keeps the number of
    /// requests in progress in `in_flight` and has at most `connections` connections of callers
    /// open.
    #[must_use]
    pub fn new(
        control: Arc<C>,
        dialect: D,
        in_flight: Arc<AtomicU64>,
        connections: usize,
    ) -> Gateway<C, D> {
        Gateway {
            state: Arc::new(GatewayState::new(control, dialect, in_flight)),
            connection_permits: Arc::new(Semaphore::new(connections)),
            connection_counts: Arc::default(),
        }
    }

    /// Counts callers' connections in `counts`.
    #[must_use]
    pub fn connection_counts(mut self, counts: Arc<ConnectionCounts>) -> Gateway<C, D> {
        self.connection_counts = counts;
        self
    }

    /// Accepts callers until `shutdown` resolves, then returns once every request in progress has
    /// ended and every connection is closed.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let connections = GracefulShutdown::new();
        tokio::pin!(shutdown);
        loop {
            let accepted = tokio::select! {
                accepted = self.accept(&listener) => accepted,
                () = &mut shutdown => break,
            };
            match accepted {
                Ok((stream, permit)) => self.spawn_connection(stream, permit, &connections),
                Err(err) => {
                    log::warn!(error:% = err; "accept-failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        self.connection_counts.log_stop_begin();
        connections.shutdown().await;
    }

    async fn accept(
        &self,
        listener: &TcpListener,
    ) -> io::Result<(TcpStream, Option<OwnedSemaphorePermit>)> {
        let permit = Arc::clone(&self.connection_permits)
            .acquire_owned()
            .await
            .ok();
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, permit))
    }

    fn spawn_connection(
        &self,
        stream: TcpStream,
        permit: Option<OwnedSemaphorePermit>,
        connections: &GracefulShutdown,
    ) {
        let limits = self
            .state
            .table()
            .config()
            .callers
            .clone()
            .unwrap_or_default();
        let idle_timeout = Duration::from_millis(limits.idle_timeout_ms);
        let max_header_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
        let state = Arc::clone(&self.state);
        let tracker = Arc::new(ConnectionTracker::new(Arc::clone(&self.connection_counts)));
        let request_tracker = Arc::clone(&tracker);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            let tracker = Arc::clone(&request_tracker);
            async move {
                tracker.request_started();
                let res = handle(state, req).await;
                if res.headers().contains_key(header::CONNECTION) {
                    tracker.announced_close();
                }
                Ok::<_, Infallible>(res.map(|body| TrackedBody::new(body, tracker)))
            }
        });
        let stream = Arc::new(stream);
        let caller_stream = CallerStream::new(Arc::clone(&stream), Arc::clone(&tracker));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(
                idle_timeout + duration(toucanchute_proto::Millis(limits.header_timeout_ms)),
            )
            .max_buf_size(
                max_header_bytes
                    .saturating_mul(2)
                    .max(MIN_READ_BUFFER_BYTES),
            )
            .serve_connection(TokioIo::new(caller_stream), service);
        let conn = connections.watch(conn);
        tokio::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!(error:% = err; "connection-failed");
            }
            if has_unread_bytes(&stream) {
                tracker.crossed();
            }
            drop(permit);
        });
    }
}
