use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt as _;
use http_body_util::BodyExt as _;
use tokio::sync::oneshot;

use crate::reply::{CallerGone, Reply};

fn piece() -> Bytes {
    Bytes::from_static(b"data: x\n\n")
}

#[tokio::test]
async fn slow_caller_blocks_the_sender() {
    let (tx, rx) = oneshot::channel();
    let mut reply = Reply::new(tx, Duration::from_secs(60));
    let mut sent = 0;
    while reply.send(piece()).now_or_never().is_some() {
        sent += 1;
    }
    assert_eq!(sent, 4);
    let mut body = rx.await.unwrap().into_body();
    body.frame().await.unwrap().unwrap();
    assert_eq!(reply.send(piece()).now_or_never(), Some(Ok(())));
}

#[tokio::test]
async fn caller_that_reads_nothing_is_treated_as_disconnected() {
    let (tx, _rx) = oneshot::channel();
    let mut reply = Reply::new(tx, Duration::from_millis(1));
    while reply.send(piece()).await.is_ok() {}
    assert!(reply.is_caller_gone());
    assert_eq!(reply.send(piece()).await, Err(CallerGone));
}

#[tokio::test]
async fn dropped_body_is_detected() {
    let (tx, rx) = oneshot::channel();
    let mut reply = Reply::new(tx, Duration::from_secs(60));
    reply.send(piece()).await.unwrap();
    assert_eq!(reply.caller_gone().now_or_never(), None);
    drop(rx);
    reply.caller_gone().await;
    assert_eq!(reply.send(piece()).await, Err(CallerGone));
}
