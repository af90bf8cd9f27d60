use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

use crate::reply::{Abort, Reply};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time between attempts to listen again on an address that is still in use.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Handles the requests to one fake.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the reply to `req`. On an error, the connection is closed without a reply.
    fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, Abort>> + Send;
}

/// Simulates a crash of a server: its connections are closed, and it listens again later.
#[derive(Clone, Debug)]
pub(crate) struct Crash(watch::Sender<Outage>);

/// The latest requested crash.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    /// Number of crashes so far.
    count: u64,
    /// Time until the server listens again.
    downtime: Duration,
}

impl Crash {
    pub(crate) fn new() -> Crash {
        Crash(watch::Sender::new(Outage::default()))
    }

    /// Closes all connections immediately and refuses new ones for `downtime`.
    pub(crate) fn trigger(&self, downtime: Duration) {
        self.0.send_modify(|outage| {
            outage.count += 1;
            outage.downtime = downtime;
        });
    }
}

/// A running HTTP/1.1 server. Dropping it closes its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    pub(crate) async fn bind<H: Handler>(
        address: SocketAddr,
        handler: Arc<H>,
        crash: Crash,
    ) -> io::Result<Server> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(run(address, listener, handler, crash));
        Ok(Server { address, task })
    }

    /// Returns the address on which the server listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(_) => sleep(REBIND_INTERVAL).await,
        }
    }
}

async fn run<H: Handler>(
    address: SocketAddr,
    mut listener: TcpListener,
    handler: Arc<H>,
    crash: Crash,
) {
    let mut outages = crash.0.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, Arc::clone(&handler)));
                }
            }
            Some(_) = connections.join_next() => {}
            Ok(()) = outages.changed() => {
                let downtime = outages.borrow_and_update().downtime;
                drop(listener);
                connections.shutdown().await;
                sleep(downtime).await;
                listener = rebind(address).await;
            }
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        observe_clock(&req);
        let reply = Arc::clone(&handler).handle(req);
        async { reply.await.map(stamp_clock) }
    });
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new());
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
}

/// Advances the log's clock to the sender's, so that causes precede effects in a merged log.
fn observe_clock(req: &Request<Incoming>) {
    let stamp = req.headers().get(toucanchute_log::CLOCK_HEADER);
    let stamp = stamp.and_then(|v| v.to_str().ok()?.parse().ok());
    if let Some(stamp) = stamp {
        toucanchute_log::observe(stamp);
    }
}

/// Adds the time of the log's clock to a reply.
fn stamp_clock(mut reply: Reply) -> Reply {
    if let Ok(stamp) = toucanchute_log::now().to_string().parse() {
        let headers = reply.headers_mut();
        headers.insert(toucanchute_log::CLOCK_HEADER, stamp);
    }
    reply
}
