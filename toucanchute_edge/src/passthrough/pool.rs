use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::SockRef;
use tokio::{net::TcpStream, sync::Notify, task::JoinHandle, time::timeout};
use toucanchute_core::routing::{AttemptReport, CrashKind};

/// Longest time to open a connection to a backend server in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which bytes that a backend server does not acknowledge break the connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time after which a connection is not used again whose backend server names no bound.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Time by which the bound that a backend server names is undercut.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Share of that bound after which a request that may run only once takes a new connection.
const ONCE_IDLE_DIVISOR: u32 = 2;

/// Most interim answers (status 1xx) that come before an answer.
const MAX_INTERIM: u32 = 16;

/// Most idle connections kept to one backend server.
const MAX_IDLE: usize = 32;

/// Connections to backend servers, kept by backend server.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    conn: Connection,
    since: Instant,
    /// Time for which the backend server keeps it.
    keep: Duration,
}

/// One connection to a backend server; closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    tx: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Whether it has carried a request before.
    pub(super) reused: bool,
}

/// A request that got no answer.
#[derive(Debug, Snafu)]
pub(super) enum SendError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect: {source}"))]
    Connect {
        /// Cause.
        source: io::Error,
    },
    /// The connection was closed before the request was written.
    #[snafu(display("the connection was closed"))]
    Unsent,
    /// Interim answers came without end; the request may have been read.
    #[snafu(display("more than {MAX_INTERIM} interim answers"))]
    Interim,
    /// The connection broke off after the request may have been read.
    #[snafu(display("the connection broke off: {source}"))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
}

impl SendError {
    /// Whether the address refuses connections, so that the backend server is not there any more.
    pub(super) fn is_refusal(&self) -> bool {
        match self {
            SendError::Connect { source } => source.kind() == io::ErrorKind::ConnectionRefused,
            SendError::Unsent | SendError::Interim | SendError::Broken { .. } => false,
        }
    }
}

impl Pool {
    /// Returns a kept connection to a backend server, or opens one. A request that may run `once`
    /// only takes none that may be closed just now.
    pub(super) async fn connect(
        &self,
        backend: &str,
        address: SocketAddr,
        once: bool,
    ) -> Result<Connection, SendError> {
        while let Some(mut conn) = self.take(backend, once) {
            let ready = timeout(Duration::from_millis(2), conn.tx.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(conn);
            }
        }
        open(address).await
    }

    /// Opens a connection that has carried nothing.
    pub(super) async fn connect_anew(&self, address: SocketAddr) -> Result<Connection, SendError> {
        open(address).await
    }

    fn take(&self, backend: &str, once: bool) -> Option<Connection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(backend)?;
        let now = Instant::now();
        while let Some(Idle { conn, since, keep }) = kept.pop() {
            let bound = if once { keep / ONCE_IDLE_DIVISOR } else { keep };
            if now.duration_since(since) <= bound && !conn.tx.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn keep(&self, backend: &str, mut conn: Connection, keep: Option<Duration>) {
        conn.reused = true;
        let keep = keep.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        let now = Instant::now();
        let mut idle = self.lock();
        for kept in idle.values_mut() {
            kept.retain(|i| now.duration_since(i.since) <= i.keep && !i.conn.tx.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
        let kept = idle.entry(backend.to_owned()).or_default();
        if kept.len() < MAX_IDLE && !keep.is_zero() {
            let since = now;
            kept.push(Idle { conn, since, keep });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let too_many = Arc::new(Notify::new());
        let (told, interim) = (Arc::clone(&too_many), AtomicU32::new(0));
        hyper::ext::on_informational(&mut req, move |_| {
            if interim.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM {
                told.notify_one();
            }
        });
        let sent = tokio::select! {
            sent = self.tx.try_send_request(req) => sent,
            () = too_many.notified() => return InterimSnafu.fail(),
        };
        match sent {
            Ok(res) => Ok(res),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(SendError::Broken {
                    source: e.into_error(),
                }),
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns what to report of an attempt whose connection broke off: whether the backend server still
/// takes connections tells whether it ended.
pub(super) async fn report_of_break(address: SocketAddr) -> AttemptReport {
    match is_reachable(address).await {
        true => CrashKind::Interrupted.into(),
        false => CrashKind::Disconnected.into(),
    }
}

/// Whether a backend server takes new connections.
async fn is_reachable(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn open(address: SocketAddr) -> Result<Connection, SendError> {
    let opened = async {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        shaken.map_err(io::Error::other)
    };
    let (tx, conn) = opened
        .await
        .map_err(|source| SendError::Connect { source })?;
    let task = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::debug!(error:% = e; "backend-connection-ended");
        }
    });
    Ok(Connection {
        tx,
        task,
        reused: false,
    })
}
