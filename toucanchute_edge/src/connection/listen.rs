use std::{convert::Infallible, future::Future, io, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, header};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::Instant,
};

use super::{
    CallerStream, ConnectionCounts, ConnectionTracker, TrackedBody,
    close::{UnreadBody, linger, quiet_at_stop},
};

/// Delay before the next connection is accepted after accepting one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a planned stop tries to accept what is in the backlog while accepting fails.
const BACKLOG_RETRY_TIME: Duration = Duration::from_secs(1);

/// Answers the requests of callers.
pub trait Responder: Clone + Send + Sync + 'static {
    /// Body of the responses.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Send + Unpin + 'static;

    /// Answers one request.
    fn respond(&self, req: Request<Incoming>) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Whether the process is about to stop, so that each response should close its connection.
    fn is_leaving(&self) -> bool;

    /// Returns the limits for a connection that is accepted now.
    fn limits(&self) -> ConnectionLimits;
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest time from the accept, or from the last response, to the end of the next request's
    /// head.
    pub header_timeout: Duration,
    /// Size of the read buffer, in bytes.
    pub read_buffer_bytes: usize,
}

/// Accepts callers' connections and serves their requests.
#[derive(Debug)]
pub struct CallerListener<R> {
    /// Name of the server in logs.
    name: &'static str,
    responder: R,
    counts: Arc<ConnectionCounts>,
    /// Limits the number of connections.
    permits: Arc<Semaphore>,
    /// Set to true when the stop closes quiet connections. Each connection holds a receiver.
    stopping: watch::Sender<bool>,
}

impl<R: Responder> CallerListener<R> {
    /// Creates a listener that has at most `connections` connections open, and counts them. Log lines
    /// carry `name` as the field `server`.
    #[must_use]
    pub fn new(
        name: &'static str,
        responder: R,
        counts: Arc<ConnectionCounts>,
        connections: usize,
    ) -> CallerListener<R> {
        CallerListener {
            name,
            responder,
            counts,
            permits: Arc::new(Semaphore::new(connections.min(Semaphore::MAX_PERMITS))),
            stopping: watch::Sender::new(false),
        }
    }

    /// Serves callers until a planned stop has ended all connections.
    ///
    /// Once `refusing` resolves, what the kernel has accepted is still served, then new connections
    /// are rejected. Once `closing` resolves too, each response closes its connection, and
    /// connections on which nothing happens are closed.
    pub async fn serve(
        &self,
        listener: TcpListener,
        refusing: impl Future<Output = ()>,
        closing: impl Future<Output = ()>,
    ) {
        tokio::select! {
            () = self.accept_all(&listener) => {}
            () = refusing => {}
        }
        let accepted = self.accept_backlog(&listener).await;
        // The kernel resets connections that it accepts between the last accept and this line.
        drop(listener);
        if accepted > 0 {
            log::info!(server = self.name, accepted = accepted; "backlog-accepted");
        }
        closing.await;
        self.stopping.send_replace(true);
        self.stopping.closed().await;
    }

    /// Accepts connections without end.
    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            // A semaphore that is never closed always grants a permit.
            let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
            match listener.accept().await {
                Ok((stream, _)) => self.spawn_connection(stream, permit),
                Err(err) => {
                    log::warn!(server = self.name, error:% = err; "accept-failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts what is in the listener's backlog, whose connections the kernel would reset, and
    /// returns their number. The limit on connections does not apply to them. While accepting fails,
    /// as without free file descriptors, it is tried again for a limited time.
    async fn accept_backlog(&self, listener: &TcpListener) -> u64 {
        let until = Instant::now() + BACKLOG_RETRY_TIME;
        let mut accepted = 0;
        loop {
            match accept_now(listener) {
                None => return accepted,
                Some(Ok(stream)) => {
                    accepted += 1;
                    self.spawn_connection(stream, None);
                }
                Some(Err(err)) => {
                    log::warn!(server = self.name, error:% = err; "accept-failed");
                    if Instant::now() >= until {
                        return accepted;
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, permit: Option<OwnedSemaphorePermit>) {
        let connection = CallerConnection {
            responder: self.responder.clone(),
            stream: Arc::new(stream),
            tracker: Arc::new(ConnectionTracker::new(Arc::clone(&self.counts))),
            stopping: self.stopping.subscribe(),
        };
        tokio::spawn(async move {
            connection.serve().await;
            drop(permit);
        });
    }
}

/// Accepts a connection if one is in the backlog.
fn accept_now(listener: &TcpListener) -> Option<io::Result<TcpStream>> {
    // The runtime may not have noticed the connection yet, so the kernel is asked.
    let socket = socket2::SockRef::from(listener);
    let stream = match socket.accept() {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
        Err(e) => return Some(Err(e)),
        Ok((stream, _)) => stream,
    };
    let stream: std::net::TcpStream = stream.into();
    let nonblocking = stream.set_nonblocking(true);
    Some(nonblocking.and_then(|()| TcpStream::from_std(stream)))
}

/// One connection of a caller.
struct CallerConnection<R> {
    responder: R,
    stream: Arc<TcpStream>,
    tracker: Arc<ConnectionTracker>,
    stopping: watch::Receiver<bool>,
}

impl<R: Responder> CallerConnection<R> {
    async fn serve(self) {
        // Responses are written in whole pieces, so a failure only makes them slower.
        let _ = self.stream.set_nodelay(true);
        let limits = self.responder.limits();
        let service = service_fn(|req| self.respond(req).map(Ok::<_, Infallible>));
        let stream = CallerStream::new(Arc::clone(&self.stream), Arc::clone(&self.tracker));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_timeout)
            .max_buf_size(limits.read_buffer_bytes)
            .serve_connection(TokioIo::new(stream), service);
        {
            let mut conn = pin!(conn);
            let served = tokio::select! {
                served = &mut conn => served,
                () = quiet_at_stop(&self.stream, &self.tracker, self.stopping.clone()) => {
                    conn.as_mut().graceful_shutdown();
                    conn.await
                }
            };
            if let Err(err) = served {
                log::debug!(error:% = err; "connection-failed");
            }
        }
        linger(&self.stream, &self.tracker).await;
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<TrackedBody<R::Body>> {
        self.tracker.request_started();
        let mut res = self.responder.respond(req).await;
        if self.responder.is_leaving() || *self.stopping.borrow() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
            self.tracker.announced_close();
        }
        if res.extensions_mut().remove::<UnreadBody>().is_some() {
            self.tracker.left_body_unread();
        }
        res.map(|body| TrackedBody::new(body, Arc::clone(&self.tracker)))
    }
}
