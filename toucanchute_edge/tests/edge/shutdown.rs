//! What happens to callers' connections when the router stops as planned.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{support::TestEdge, test_control::TestControl};

/// Number of times that each test repeats its stop.
const ROUNDS: usize = 20;

/// Longest time that a stop may take in these tests.
const STOP_TIMEOUT: Duration = Duration::from_secs(8);

const REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: router\r\n\r\n";

/// End of the response to [`REQUEST`].
const RESPONSE_END: &[u8] = b"\"ok\"}";

/// Reads one response, or what there is before the connection ends.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let mut part = [0; 4_096];
    let read = async {
        while !buf.ends_with(RESPONSE_END) {
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

/// Stops a router again and again, each time when a caller writes a request to the connection that
/// `connect` opens. Returns how many requests were answered with a close.
async fn count_answered(connect: impl AsyncFn(&TestEdge) -> TcpStream) -> usize {
    let mut answered = 0;
    for _ in 0..ROUNDS {
        let edge = TestEdge::start(TestControl::new(&[])).await;
        let mut caller = connect(&edge).await;
        drop(edge.shutdown);
        drop(caller.write_all(REQUEST).await);
        let res = read_response(&mut caller).await;
        answered +=
            usize::from(res.starts_with("HTTP/1.1 200") && res.contains("connection: close"));
        drop(caller);
        let ended = tokio::time::timeout(STOP_TIMEOUT, edge.server_task).await;
        ended.expect("the router does not end").unwrap();
    }
    answered
}

/// Guards against kept connections that a planned stop closes with a request in them.
#[tokio::test]
async fn a_request_on_a_kept_connection_at_a_stop_of_a_router_is_answered() {
    let connect = async |edge: &TestEdge| {
        let mut caller = TcpStream::connect(edge.address).await.unwrap();
        caller.write_all(REQUEST).await.unwrap();
        let res = read_response(&mut caller).await;
        assert!(res.starts_with("HTTP/1.1 200"), "{res}");
        caller
    };
    assert_eq!(count_answered(connect).await, ROUNDS);
}

/// Guards against connections in the backlog that a planned stop resets.
#[tokio::test]
async fn a_request_on_a_queued_connection_at_a_stop_of_a_router_is_answered() {
    // Connects without giving the router, which runs on the same thread, a chance to accept.
    let connect = async |edge: &TestEdge| {
        let caller = std::net::TcpStream::connect(edge.address).unwrap();
        caller.set_nonblocking(true).unwrap();
        TcpStream::from_std(caller).unwrap()
    };
    assert_eq!(count_answered(connect).await, ROUNDS);
}
