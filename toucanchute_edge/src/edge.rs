use std::{
    convert::Infallible,
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};

use crate::{
    backend::BackendClient,
    config_index::ConfigIndex,
    control::Control,
    handler::Handler,
    settings::{EdgeSettings, duration},
};

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 * 1024;
/// Delay before the next connection is accepted after accepting one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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

    /// Serves callers until `shutdown` resolves, then stops accepting connections and returns once
    /// every request in progress has ended and every connection is closed.
    pub async fn serve(&self, listener: TcpListener, shutdown: impl Future<Output = ()>) {
        let connections = GracefulShutdown::new();
        let (running_guard, mut all_ended) = mpsc::channel::<Infallible>(1);
        let permits = Arc::new(Semaphore::new(self.shared.settings.max_connections));
        tokio::pin!(shutdown);
        loop {
            let accepted = tokio::select! {
                accepted = accept(&listener, &permits) => accepted,
                () = &mut shutdown => break,
            };
            match accepted {
                Ok(accepted) => {
                    let handler = Handler::new(Arc::clone(&self.shared), running_guard.clone());
                    self.spawn_connection(handler, accepted, &connections);
                }
                Err(err) => {
                    log::warn!(error:% = err; "accept-failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        drop(listener);
        drop(running_guard);
        connections.shutdown().await;
        all_ended.recv().await;
    }

    fn spawn_connection(
        &self,
        handler: Handler<C>,
        accepted: AcceptedConnection,
        connections: &GracefulShutdown,
    ) {
        let AcceptedConnection {
            stream,
            peer,
            permit,
        } = accepted;
        let _ = stream.set_nodelay(true);
        let settings = &self.shared.settings;
        let service = service_fn(move |req| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(req).await) }
        });
        let read_buffer = (2 * settings.max_header_bytes).max(MIN_READ_BUFFER_BYTES);
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(duration(settings.header_timeout))
            .max_buf_size(read_buffer)
            .serve_connection(TokioIo::new(stream), service);
        let conn = connections.watch(conn);
        tokio::spawn(async move {
            if let Err(err) = conn.await {
                log::debug!(peer:% = peer, error:% = err; "connection-failed");
            }
            drop(permit);
        });
    }
}

/// An accepted connection of a caller.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
    /// Permit that counts toward the limit on connections; released when the connection is closed.
    permit: Option<OwnedSemaphorePermit>,
}

/// Waits for a permit, then accepts a connection for it.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<AcceptedConnection> {
    let permit = Arc::clone(permits).acquire_owned().await.ok();
    let (stream, peer) = listener.accept().await?;
    Ok(AcceptedConnection {
        stream,
        peer,
        permit,
    })
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
