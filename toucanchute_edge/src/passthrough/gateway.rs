use std::{
    future::Future,
    sync::{Arc, atomic::AtomicU64},
};

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use toucanchute_proto::Millis;

use super::{
    Dialect, ResponseBody, RouteControl,
    handler::{GatewayState, handle},
};
use crate::{
    connection::{CallerListener, ConnectionCounts, ConnectionLimits, Responder},
    settings::duration,
};

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
    /// Most connections of callers that are open at once.
    max_connections: usize,
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
            max_connections: connections,
            connection_counts: Arc::default(),
        }
    }

    /// Counts callers' connections in `counts`.
    #[must_use]
    pub fn connection_counts(mut self, counts: Arc<ConnectionCounts>) -> Gateway<C, D> {
        self.connection_counts = counts;
        self
    }

    /// Serves callers until `shutdown` resolves, then returns once every request in progress has ended
    /// and every connection is closed. Quiet connections are closed from then on.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        self.serve_in_stages(listener, shutdown, std::future::ready(()))
            .await;
    }

    /// Does the same as `serve` in the stages of a planned stop: accepts no new connections once
    /// `refusing` resolves, and closes quiet connections only once `closing` resolves too. The
    /// router's process uses this one.
    pub async fn serve_in_stages(
        &self,
        listener: TcpListener,
        refusing: impl Future<Output = ()>,
        closing: impl Future<Output = ()>,
    ) {
        let responder = GatewayResponder(Arc::clone(&self.state));
        let counts = Arc::clone(&self.connection_counts);
        let closing = async {
            closing.await;
            self.connection_counts.log_stop_begin();
        };
        CallerListener::new("callers", responder, counts, self.max_connections)
            .serve(listener, refusing, closing)
            .await;
    }
}

/// Answers the requests of callers' connections.
struct GatewayResponder<C, D>(Arc<GatewayState<C, D>>);

impl<C, D> Clone for GatewayResponder<C, D> {
    fn clone(&self) -> GatewayResponder<C, D> {
        GatewayResponder(Arc::clone(&self.0))
    }
}

impl<C: RouteControl, D: Dialect> Responder for GatewayResponder<C, D> {
    type Body = ResponseBody;

    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        handle(Arc::clone(&self.0), req).await
    }

    fn is_leaving(&self) -> bool {
        self.0.control.planned_stop().borrow().is_some()
    }

    fn limits(&self) -> ConnectionLimits {
        let table = self.0.table();
        let limits = table.config().callers.clone().unwrap_or_default();
        let header_timeout = Millis(limits.idle_timeout_ms) + Millis(limits.header_timeout_ms);
        let max_header_bytes = usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX);
        let read_buffer_bytes = max_header_bytes.saturating_mul(2);
        ConnectionLimits {
            header_timeout: duration(header_timeout),
            read_buffer_bytes: read_buffer_bytes.max(MIN_READ_BUFFER_BYTES),
        }
    }
}
