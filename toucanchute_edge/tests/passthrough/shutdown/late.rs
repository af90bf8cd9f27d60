//! Requests and callers that are late while a planned stop is under way.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use super::{
    ROUNDS, StoppableGateway, assert_all_answered, backend, is_answered, read_response, request,
};
use crate::{
    raw_backend::{RawBackend, Step},
    support::read_all,
};

/// Writes the beginning of a second request after the response to the first, stops the gateway, and
/// writes the rest `pause` later.
async fn finish_a_begun_request(pause: Duration) -> String {
    let backend = backend().await;
    let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
    let mut caller = gateway.connect_used().await;
    let second = request("a1");
    let (begin, rest) = second.split_at(30);
    caller.write_all(begin.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    gateway.begin_stop();
    tokio::time::sleep(pause).await;
    drop(caller.write_all(rest.as_bytes()).await);
    read_response(&mut caller).await
}

/// Guards against a stop that closes a connection on which a request has begun.
#[tokio::test]
async fn a_request_begun_after_a_response_is_answered_at_a_stop() {
    let res = finish_a_begun_request(Duration::from_millis(900)).await;
    assert!(is_answered(&res), "{res:?}");
}

/// Guards against an early refusal that a reset takes with it, because the caller writes its body
/// for longer than the router lingers and reads only then.
#[tokio::test]
async fn an_early_refusal_survives_a_body_that_is_written_slowly() {
    let backend = backend().await;
    let gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
    let mut caller = gateway.connect().await;
    let head = request("a1").replace("Content-Length: 4", "Content-Length: 1000000");
    caller.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..10 {
        drop(caller.write_all(&[b'x'; 1_000]).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let res = read_all(caller).await;
    assert!(res.starts_with("HTTP/1.1 413"), "{res:?}");
}

/// Guards against a caller whose request goes on at the backend server after it has left.
#[tokio::test]
async fn a_caller_that_leaves_during_a_stop_ends_its_request() {
    let steps = vec![Step::Run, Step::Pause(Duration::from_secs(2))];
    let backend = RawBackend::start(vec![steps]).await;
    let mut gateway = StoppableGateway::start("idempotent", 100, &backend.backend).await;
    let mut caller = gateway.connect().await;
    caller.write_all(request("a1").as_bytes()).await.unwrap();
    while backend.attempts_run().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    gateway.begin_stop();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    let took = gateway.ended().await;
    assert!(took < Duration::from_millis(500), "{took:?}");
}

/// Guards against a stop that closes a connection with a request in it, because the process was held
/// up while the request arrived and the time until the connection counts as quiet passed.
#[tokio::test]
async fn a_request_that_arrives_while_the_process_is_held_up_is_answered() {
    let mut responses = Vec::new();
    for _ in 0..ROUNDS {
        let backend = backend().await;
        let mut gateway = StoppableGateway::start("non-idempotent", 100, &backend.backend).await;
        let mut caller = gateway.connect_used().await;
        gateway.begin_stop();
        tokio::time::sleep(Duration::from_millis(100)).await;
        // The gateway runs on this thread, which does nothing else meanwhile.
        caller.try_write(request("a1").as_bytes()).unwrap();
        std::thread::sleep(Duration::from_millis(600));
        responses.push(read_response(&mut caller).await);
        gateway.ended().await;
    }
    assert_all_answered(&responses);
}
