//! What happens to callers' connections when the gateway stops as planned, and when either side closes
//! a connection early.

mod acceptance;
mod late;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::oneshot,
    task::JoinHandle,
};
use toucanchute_edge::{ConnectionCounts, passthrough::Gateway};

use crate::{
    raw_backend::{RawBackend, Step},
    support::{Backend, Script, ScriptedControl, TestDialect, full_response, read_all},
};

/// Number of times that each test repeats its stop.
const ROUNDS: usize = 20;

/// Longest time that a stop may take in these tests.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

/// A gateway that a test can stop.
struct StoppableGateway {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    served: JoinHandle<()>,
    control: Arc<ScriptedControl>,
    counts: Arc<ConnectionCounts>,
}

impl StoppableGateway {
    async fn start(kind: &str, connections: usize, backend: &Backend) -> StoppableGateway {
        StoppableGateway::start_with(kind, "", connections, &[backend]).await
    }

    /// Does the same as `start`, with several backend servers and with `extra` in the route's JSON.
    async fn start_with(
        kind: &str,
        extra: &str,
        connections: usize,
        backends: &[&Backend],
    ) -> StoppableGateway {
        let control = Arc::new(ScriptedControl::new(kind, extra, backends));
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener: TcpListener = socket.listen(1_024).unwrap();
        let address = listener.local_addr().unwrap();
        let counts: Arc<ConnectionCounts> = Arc::default();
        let gateway = Gateway::new(
            Arc::clone(&control),
            TestDialect,
            Arc::default(),
            connections,
        )
        .connection_counts(Arc::clone(&counts));
        let (stop, stopped) = oneshot::channel();
        let served = tokio::spawn(async move {
            gateway.serve(listener, async { drop(stopped.await) }).await;
        });
        StoppableGateway {
            address,
            stop: Some(stop),
            served,
            control,
            counts,
        }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Opens a connection and has one request answered on it.
    async fn connect_used(&self) -> TcpStream {
        let mut stream = self.connect().await;
        stream.write_all(request("a1").as_bytes()).await.unwrap();
        let res = read_response(&mut stream).await;
        assert!(is_answered(&res), "{res}");
        stream
    }

    fn begin_stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until the gateway has ended and returns how long that took.
    async fn ended(self) -> Duration {
        let begin = Instant::now();
        let ended = tokio::time::timeout(STOP_TIMEOUT, self.served).await;
        ended.expect("the gateway does not end").unwrap();
        begin.elapsed()
    }
}

/// Returns a request that keeps the connection open.
fn request(attempt: &str) -> String {
    format!(
        "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: {attempt}\r\nX-Key: secret\r\n\
        Content-Length: 4\r\n\r\nbody"
    )
}

async fn backend() -> RawBackend {
    let answer = full_response("200 OK", "X-Seal: s\r\n", "hello");
    let exchange = [Step::Run, Step::Write(answer)];
    let exchanges = exchange.iter().cycle().take(2 * ROUNDS).cloned().collect();
    RawBackend::start(vec![exchanges]).await
}

/// Reads one response whose body is `hello`, or what there is before the connection ends.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let mut part = [0; 4_096];
    let read = async {
        while !buf.ends_with(b"\r\n\r\nhello") {
            match stream.read(&mut part).await {
                Ok(0) | Err(_) => break,
                Ok(len) => buf.extend_from_slice(&part[..len]),
            }
        }
    };
    let read = tokio::time::timeout(STOP_TIMEOUT, read).await;
    read.expect("the response has no end");
    String::from_utf8_lossy(&buf).into_owned()
}

/// Whether a response is complete and tells the caller whether the request ran.
fn is_answered(res: &str) -> bool {
    res.starts_with("HTTP/1.1 200") && res.ends_with("hello") || res.starts_with("HTTP/1.1 503")
}

/// Asserts that each of these responses is there, and that it announces the close.
fn assert_all_answered(responses: &[String]) {
    let answered = responses.iter().filter(|r| is_answered(r)).count();
    let total = responses.len();
    assert_eq!(
        answered, total,
        "{answered} of {total} requests were answered"
    );
    assert!(responses.iter().all(|r| r.contains("connection: close")));
}

/// What a caller has done before the stop begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Before {
    /// One request was answered on the connection.
    Used,
    /// The connection was accepted.
    Accepted,
    /// The connection is in the listener's backlog.
    Queued,
}

/// Stops a gateway again and again, each time when a caller writes a request to its connection after
/// `delay`. Returns the responses.
async fn stop_when_a_request_arrives(before: Before, delay: Duration) -> Vec<String> {
    let mut responses = Vec::new();
    for _ in 0..ROUNDS {
        let backend = backend().await;
        let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
        let mut caller = match before {
            Before::Used => gateway.connect_used().await,
            Before::Accepted => {
                let caller = gateway.connect().await;
                // The gateway accepts in turn, so that `caller` has been accepted too.
                drop(gateway.connect_used().await);
                caller
            }
            Before::Queued => connect_now(gateway.address),
        };
        gateway.begin_stop();
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        drop(caller.write_all(request("a1").as_bytes()).await);
        responses.push(read_response(&mut caller).await);
        gateway.ended().await;
    }
    responses
}

/// Connects without giving the gateway, which runs on the same thread, a chance to accept.
fn connect_now(address: SocketAddr) -> TcpStream {
    let stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_nonblocking(true).unwrap();
    TcpStream::from_std(stream).unwrap()
}

/// Names tests of requests that arrive when a planned stop begins.
macro_rules! arrives_at_stop {
    ($($(#[$doc:meta])* $name:ident: $before:expr, $delay_ms:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let delay = Duration::from_millis($delay_ms);
            assert_all_answered(&stop_when_a_request_arrives($before, delay).await);
        }
    )*};
}

arrives_at_stop! {
    /// Guards against kept connections that a planned stop closes with a request in them.
    a_request_on_a_kept_connection_at_a_stop_is_answered: Before::Used, 0;
    /// Guards against kept connections that a planned stop closes at once.
    a_request_on_a_kept_connection_just_after_a_stop_is_answered: Before::Used, 50;
    /// Guards against new connections that a planned stop closes before their first request.
    a_request_on_an_unused_connection_at_a_stop_is_answered: Before::Accepted, 0;
    /// Guards against new connections that a planned stop closes before their first request.
    a_request_on_an_unused_connection_just_after_a_stop_is_answered: Before::Accepted, 50;
    /// Guards against connections in the backlog that a planned stop resets.
    a_request_on_a_queued_connection_at_a_stop_is_answered: Before::Queued, 0;
}

/// Guards against connections that a planned stop resets because the limit on connections kept them
/// in the backlog.
#[tokio::test]
async fn requests_beyond_the_limit_on_connections_are_answered_at_a_stop() {
    let backend = backend().await;
    let mut gateway = StoppableGateway::start("non-idempotent", 1, &backend.backend).await;
    let kept = gateway.connect_used().await;
    let mut callers = Vec::new();
    for _ in 0..ROUNDS {
        let mut caller = gateway.connect().await;
        let req = request("a1");
        caller.write_all(req.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    gateway.begin_stop();
    let mut responses = Vec::new();
    for mut caller in callers {
        responses.push(read_response(&mut caller).await);
    }
    assert_all_answered(&responses);
    drop(kept);
}

/// Guards against a reset that takes an answer with it, because the caller has sent bytes that were
/// not read.
#[tokio::test]
async fn an_answer_before_a_close_survives_bytes_that_are_not_read() {
    let mut answered = 0;
    for _ in 0..ROUNDS {
        let backend = backend().await;
        let gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
        let mut caller = gateway.connect().await;
        let first = request("a1").replace("X-Key", "Connection: close\r\nX-Key");
        caller.write_all(first.as_bytes()).await.unwrap();
        while backend.attempts_run().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // More than one read of the router, so that some of it stays in the kernel.
        let rest = "x".repeat(512 * 1024);
        drop(caller.try_write(rest.as_bytes()));
        tokio::time::sleep(Duration::from_millis(20)).await;
        answered += usize::from(is_answered(&read_all(caller).await));
    }
    assert_eq!(answered, ROUNDS, "of {ROUNDS} answers");
}

/// Guards against a reset that takes an early refusal with it, because the body is not read.
#[tokio::test]
async fn an_early_refusal_survives_a_body_that_is_not_read() {
    let mut refused = 0;
    for _ in 0..ROUNDS {
        let backend = backend().await;
        let gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
        let mut caller = gateway.connect().await;
        let head = request("a1").replace("Content-Length: 4", "Content-Length: 1000000");
        caller.write_all(head.as_bytes()).await.unwrap();
        let rest = vec![b'x'; 1_000_000 - "body".len()];
        drop(caller.write_all(&rest).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
        refused += usize::from(read_all(caller).await.starts_with("HTTP/1.1 413"));
    }
    assert_eq!(refused, ROUNDS, "of {ROUNDS} refusals");
}

/// Guards against a stop that waits for connections on which nothing happens.
#[tokio::test]
async fn quiet_connections_do_not_hold_up_a_stop() {
    let backend = backend().await;
    let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
    let quiet = [gateway.connect_used().await, gateway.connect().await];
    gateway.begin_stop();
    let took = gateway.ended().await;
    assert!(took < STOP_TIMEOUT, "{took:?}");
    for caller in quiet {
        assert_eq!(read_all(caller).await, "");
    }
}

/// Guards against a stop that waits although no connection is open.
#[tokio::test]
async fn a_stop_without_connections_ends_at_once() {
    let backend = backend().await;
    let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
    drop(gateway.connect_used().await);
    tokio::time::sleep(Duration::from_millis(50)).await;
    gateway.begin_stop();
    assert!(gateway.ended().await < Duration::from_millis(400));
}

/// Guards against a stop that cuts a request in progress.
#[tokio::test]
async fn a_stop_waits_for_a_request_in_progress() {
    let answer = full_response("200 OK", "X-Seal: s\r\n", "hello");
    let steps = vec![
        Step::Run,
        Step::Pause(Duration::from_secs(2)),
        Step::Write(answer),
    ];
    let backend = RawBackend::start(vec![steps]).await;
    let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
    let mut caller = gateway.connect().await;
    caller.write_all(request("a1").as_bytes()).await.unwrap();
    while backend.attempts_run().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    gateway.begin_stop();
    assert_all_answered(&[read_response(&mut caller).await]);
}

/// Guards against a large answer that a stop cuts because its caller reads slowly.
#[tokio::test]
async fn a_stop_waits_for_a_caller_that_reads_slowly() {
    let body = "y".repeat(3 * 1024 * 1024);
    let answer = full_response("200 OK", "X-Seal: s\r\n", &body);
    let backend = Backend::start(Script::Answer(answer)).await;
    let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend).await;
    let mut caller = gateway.connect().await;
    caller.write_all(request("a1").as_bytes()).await.unwrap();
    while backend.request_count() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    gateway.begin_stop();
    let mut len = 0;
    let mut part = vec![0; 512 * 1024];
    while let Ok(read @ 1..) = caller.read(&mut part).await {
        len += read;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(len > body.len(), "{len} bytes");
}

/// Says what a caller gets that closes its sending half after its request: nothing, since it cannot
/// be told from a caller that left, and rule GONE wants that noticed.
#[tokio::test]
async fn a_caller_that_closes_its_sending_half_counts_as_gone() {
    let steps = vec![Step::Run, Step::Pause(Duration::from_millis(100))];
    let backend = RawBackend::start(vec![steps]).await;
    let gateway = StoppableGateway::start("idempotent", 100, &backend.backend).await;
    let mut caller = gateway.connect().await;
    caller.write_all(request("a1").as_bytes()).await.unwrap();
    caller.shutdown().await.unwrap();
    assert_eq!(read_all(caller).await, "");
    let left = gateway
        .counts
        .ended(toucanchute_edge::ConnectionEnd::CallerLeft);
    assert_eq!(left, 1);
    drop(gateway.control);
}
