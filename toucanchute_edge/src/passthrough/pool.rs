use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
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
use toucanchute_proto::Millis;

use super::observed_ends::ObservedEnds;
use crate::settings::now;

/// Time limit for opening a connection to a backend server in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection is closed if a backend server does not acknowledge sent bytes.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which a backend server that accepts no connection is asked whether it has ended. A sound
/// one may be silent for a second or so.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// Idle timeout that is assumed for a backend server that announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time subtracted from a backend server's idle timeout, so that no connection is reused just when
/// the backend server closes it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);

/// Divisor of the longest idle time for requests that may run only once, so that they get no
/// connection that the backend server may be closing.
const NON_IDEMPOTENT_IDLE_DIVISOR: u32 = 2;

/// Most interim responses (status 1xx) that are accepted before the final response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Most requests that are sent over one connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 256;

/// Most idle connections that are kept to one backend server.
const MAX_IDLE_PER_BACKEND: usize = 32;

/// Idle connections to backend servers, by the name of the backend server.
#[derive(Debug, Default)]
pub(super) struct ConnectionPool {
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
    ends: Arc<ObservedEnds>,
}

#[derive(Debug)]
struct IdleConnection {
    conn: Connection,
    since: Instant,
    /// Longest idle time after which it may be reused.
    max_idle: Duration,
}

/// One connection to a backend server; closed when it is dropped.
#[derive(Debug)]
pub(super) struct Connection {
    tx: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Whether an earlier request was sent over it.
    pub(super) reused: bool,
    /// When it was opened.
    pub(super) opened_at: Millis,
    /// Hashes of the attempts that were sent over it. Invariant: no attempt is sent over it twice, so
    /// that a response that names an attempt answers the only request with it.
    carried: Vec<u64>,
}

/// Why a request got no response from a backend server.
#[derive(Debug, Snafu)]
pub(crate) enum SendError {
    /// The connection could not be opened, so that nothing was sent.
    #[snafu(display("cannot connect to the backend server: {source}"))]
    Connect {
        /// Cause.
        source: io::Error,
    },
    /// The connection was closed before the request was written.
    #[snafu(display("the connection was closed before the request was sent"))]
    Unsent,
    /// The connection may lead to a later run of the backend server, with another version of its
    /// software, so that nothing was sent.
    #[snafu(display("the backend server may have started again as another version"))]
    Unconfirmed,
    /// The backend server sent too many interim responses. It may have read the request.
    #[snafu(display("the backend server sent more than {MAX_INTERIM_RESPONSES} interim answers"))]
    TooManyInterim,
    /// The connection broke off. The backend server may have read the request.
    #[snafu(display("the connection to the backend server broke off: {source}"))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
}

impl SendError {
    /// Whether nothing of the request was written: the connection was not opened, or it ended while
    /// the request was still queued in front of it.
    pub(crate) fn is_unsent(&self) -> bool {
        match self {
            SendError::Connect { .. } | SendError::Unsent | SendError::Unconfirmed => true,
            SendError::TooManyInterim | SendError::Broken { .. } => false,
        }
    }

    /// Whether no connection was opened in time. The backend server may be sound and silent.
    pub(super) fn is_connect_timeout(&self) -> bool {
        match self {
            SendError::Connect { source } => source.kind() == io::ErrorKind::TimedOut,
            SendError::Unsent
            | SendError::Unconfirmed
            | SendError::TooManyInterim
            | SendError::Broken { .. } => false,
        }
    }

    /// Whether the address refuses connections, which means that the backend server no longer runs
    /// there.
    pub(super) fn is_connection_refused(&self) -> bool {
        match self {
            SendError::Connect { source } => source.kind() == io::ErrorKind::ConnectionRefused,
            SendError::Unsent
            | SendError::Unconfirmed
            | SendError::TooManyInterim
            | SendError::Broken { .. } => false,
        }
    }
}

impl ConnectionPool {
    /// Returns an idle connection to a backend server over which the attempt was not sent yet, or
    /// opens a new one. A `non_idempotent` request gets no connection that was idle so long that the
    /// backend server may be closing it.
    pub(super) async fn connect(
        &self,
        backend: &str,
        address: SocketAddr,
        attempt: Option<&str>,
        non_idempotent: bool,
    ) -> Result<Connection, SendError> {
        let attempt = attempt.map(attempt_hash);
        while let Some(mut conn) = self.take_idle(backend, attempt, non_idempotent) {
            let ready = timeout(Duration::from_millis(2), conn.tx.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                conn.carried.extend(attempt);
                return Ok(conn);
            }
        }
        self.open(backend, address, attempt).await
    }

    /// Opens a new connection for an attempt, without regard to idle ones.
    pub(super) async fn connect_new(
        &self,
        backend: &str,
        address: SocketAddr,
        attempt: Option<&str>,
    ) -> Result<Connection, SendError> {
        self.open(backend, address, attempt.map(attempt_hash)).await
    }

    /// Returns the ends of backend servers that their connections showed.
    pub(super) fn ends(&self) -> &ObservedEnds {
        &self.ends
    }

    async fn open(
        &self,
        backend: &str,
        address: SocketAddr,
        attempt: Option<u64>,
    ) -> Result<Connection, SendError> {
        let opened_at = now();
        let ends = Arc::clone(&self.ends);
        let opened = open(backend, address, ends).await;
        if opened.is_err() {
            self.ends.record(backend, opened_at);
        }
        let (tx, task) = opened?;
        Ok(Connection {
            tx,
            task,
            reused: false,
            opened_at,
            carried: attempt.into_iter().collect(),
        })
    }

    fn take_idle(
        &self,
        backend: &str,
        attempt: Option<u64>,
        non_idempotent: bool,
    ) -> Option<Connection> {
        let mut idle = self.lock();
        let conns = idle.get_mut(backend)?;
        let now = Instant::now();
        let mut used_by_attempt = Vec::new();
        let mut found = None;
        while let Some(idle) = conns.pop() {
            let limit = if non_idempotent {
                idle.max_idle / NON_IDEMPOTENT_IDLE_DIVISOR
            } else {
                idle.max_idle
            };
            if now.duration_since(idle.since) > limit || idle.conn.tx.is_closed() {
                continue;
            }
            if attempt.is_some_and(|a| idle.conn.carried.contains(&a)) {
                used_by_attempt.push(idle);
                continue;
            }
            found = Some(idle.conn);
            break;
        }
        conns.extend(used_by_attempt.into_iter().rev());
        found
    }

    /// Keeps a connection for reuse after its response was read to the end. `keep_alive` is the
    /// idle timeout that the backend server announced.
    pub(super) fn put_idle(
        &self,
        backend: &str,
        mut conn: Connection,
        keep_alive: Option<Duration>,
    ) {
        conn.reused = true;
        if conn.carried.len() >= MAX_REQUESTS_PER_CONNECTION {
            return;
        }
        let max_idle = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_TIMEOUT_MARGIN);
        let now = Instant::now();
        let mut idle = self.lock();
        for conns in idle.values_mut() {
            conns.retain(|i| now.duration_since(i.since) <= i.max_idle && !i.conn.tx.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
        let conns = idle.entry(backend.to_owned()).or_default();
        if conns.len() < MAX_IDLE_PER_BACKEND && !max_idle.is_zero() {
            let since = now;
            conns.push(IdleConnection {
                conn,
                since,
                max_idle,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    pub(super) async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let limit_exceeded = Arc::new(Notify::new());
        let (notifier, interim) = (Arc::clone(&limit_exceeded), AtomicU32::new(0));
        hyper::ext::on_informational(&mut req, move |_| {
            if interim.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
                notifier.notify_one();
            }
        });
        let sent = tokio::select! {
            sent = self.tx.try_send_request(req) => sent,
            () = limit_exceeded.notified() => return TooManyInterimSnafu.fail(),
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

/// Whether a backend server accepts new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// It accepts them.
    Accepts,
    /// No connection can be opened, so that it has ended.
    Ended,
    /// No connection was opened in time. It may be sound and silent.
    Unknown,
}

/// Returns the report for an attempt whose connection broke off. A backend server that refuses
/// connections has ended; any other one interrupted the attempt.
pub(super) async fn broken_connection_report(address: SocketAddr) -> AttemptReport {
    match reachability(address).await {
        Reachability::Ended => CrashKind::Disconnected.into(),
        Reachability::Accepts | Reachability::Unknown => CrashKind::Interrupted.into(),
    }
}

/// Returns the report for an attempt whose response has no length and ended with its connection. The
/// response is taken as whole only if the backend server accepts a connection afterwards. A silent
/// one is asked again until `deadline`, at most for [`CONFIRMATION_TIME`].
pub(super) async fn undelimited_end_report(
    address: SocketAddr,
    deadline: tokio::time::Instant,
) -> AttemptReport {
    let until = deadline.min(tokio::time::Instant::now() + CONFIRMATION_TIME);
    loop {
        match reachability(address).await {
            Reachability::Accepts => return AttemptReport::Unconfirmed,
            Reachability::Ended => return CrashKind::Disconnected.into(),
            Reachability::Unknown if tokio::time::Instant::now() < until => {}
            Reachability::Unknown => return CrashKind::Interrupted.into(),
        }
    }
}

/// Checks once whether a backend server accepts new connections.
async fn reachability(address: SocketAddr) -> Reachability {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reachability::Accepts,
        Ok(Err(_)) => Reachability::Ended,
        Err(_) => Reachability::Unknown,
    }
}

fn attempt_hash(attempt: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    hasher.finish()
}

/// Opens a connection to a backend server, and records its end in `ends` unless this side closes it.
async fn open(
    backend: &str,
    address: SocketAddr,
    ends: Arc<ObservedEnds>,
) -> Result<(SendRequest<Full<Bytes>>, JoinHandle<()>), SendError> {
    let opened = async {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        handshake.map_err(io::Error::other)
    };
    let (tx, conn) = opened
        .await
        .map_err(|source| SendError::Connect { source })?;
    let backend = backend.to_owned();
    let task = tokio::spawn(async move {
        if let Err(e) = conn.await {
            log::debug!(error:% = e; "backend-connection-ended");
        }
        ends.record(&backend, now());
    });
    Ok((tx, task))
}
