use std::{
    convert::Infallible,
    future::Future,
    sync::{Arc, Mutex, PoisonError},
};

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{net::TcpListener, sync::mpsc};

use crate::{
    backend::BackendClient,
    body::AnswerBody,
    config_index::ConfigIndex,
    connection::{CallerListener, ConnectionCounts, ConnectionLimits, Responder},
    control::{Control, RefusalReason},
    handler::Handler,
    settings::{EdgeSettings, duration},
};

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;

/// The HTTP edge of a router.
///
/// Cloning is cheap; clones share the connections to backend servers.
///
/// ```
/// use std::sync::Arc;
/// use toucanchute_edge::{Control, Edge, EdgeSettings};
///
/// async fn run<C: Control>(control: Arc<C>) -> std::io::Result<()> {
///     let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
///     let edge = Edge::new(control, EdgeSettings::default());
///     edge.serve(listener, std::future::pending()).await;
///     Ok(())
/// }
/// ```
#[derive(Debug)]
pub struct Edge<C: Control> {
    shared: Arc<EdgeState<C>>,
}

impl<C: Control> Clone for Edge<C> {
    fn clone(&self) -> Edge<C> {
        Edge {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<C: Control> Edge<C> {
    /// Creates an edge whose decisions are made by `control`.
    #[must_use]
    pub fn new(control: Arc<C>, settings: EdgeSettings) -> Edge<C> {
        let index = ConfigIndex::new(control.config());
        let shared = EdgeState {
            backends: BackendClient::new(&settings),
            index: Mutex::new(Arc::new(index)),
            control,
            settings,
        };
        Edge {
            shared: Arc::new(shared),
        }
    }

    /// Serves callers until `shutdown` resolves, then returns once every request in progress has ended
    /// and every connection is closed. Quiet connections are closed from then on.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let (running_guard, mut all_ended) = mpsc::channel::<Infallible>(1);
        let handler = Handler::new(Arc::clone(&self.shared), running_guard);
        let counts = Arc::<ConnectionCounts>::default();
        let connections = self.shared.settings.max_connections;
        let callers = CallerListener::new("callers", handler, Arc::clone(&counts), connections);
        let closing = async { counts.log_stop_begin() };
        callers.serve(listener, shutdown, closing).await;
        drop(callers);
        all_ended.recv().await;
        counts.log_process_end();
    }
}

impl<C: Control> Responder for Handler<C> {
    type Body = AnswerBody;

    async fn respond(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        self.handle(req).await
    }

    fn is_leaving(&self) -> bool {
        let refusal = self.edge().control.unready();
        refusal.is_some_and(|r| r.reason == RefusalReason::Draining)
    }

    fn limits(&self) -> ConnectionLimits {
        let settings = &self.edge().settings;
        ConnectionLimits {
            header_timeout: duration(settings.header_timeout),
            read_buffer_bytes: (2 * settings.max_header_bytes).max(MIN_READ_BUFFER_BYTES),
        }
    }
}

/// State shared by all requests of one edge.
#[derive(Debug)]
pub(crate) struct EdgeState<C> {
    /// The router's decisions.
    pub(crate) control: Arc<C>,
    /// Limits and timeouts.
    pub(crate) settings: EdgeSettings,
    /// Connections to backend servers.
    pub(crate) backends: BackendClient,
    /// Look-up tables of the configuration version that was last used.
    index: Mutex<Arc<ConfigIndex>>,
}

impl<C: Control> EdgeState<C> {
    /// Returns the look-up tables of the configuration in force, and rebuilds them if its version
    /// has changed.
    pub(crate) fn index(&self) -> Arc<ConfigIndex> {
        let config = self.control.config();
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        if index.config().version != config.version {
            *index = Arc::new(ConfigIndex::new(config));
        }
        Arc::clone(&index)
    }
}
