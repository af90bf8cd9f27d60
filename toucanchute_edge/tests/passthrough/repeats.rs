//! What is sent to a second backend server and what is not.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use toucanchute_edge::CrashKind;

use crate::support::{Backend, Rig, Script, whole};

async fn good() -> Backend {
    Backend::start(Script::Answer(whole("200 OK", "X-Seal: s\r\n", "hello"))).await
}

#[tokio::test]
async fn a_call_that_may_have_run_is_not_sent_again() {
    let (first, second) = (Backend::start(Script::Reset).await, good().await);
    let rig = Rig::start("non-idempotent", r#","attempts":2"#, &[&first, &second]).await;
    let res = rig.send("POST /a/b", "").await;
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
    assert_eq!((first.count(), second.count()), (1, 0));
    assert!(rig.control.crashed(CrashKind::Interrupted));
}

#[tokio::test]
async fn an_idempotent_request_is() {
    let (first, second) = (Backend::start(Script::Reset).await, good().await);
    let rig = Rig::start("idempotent", r#","attempts":2"#, &[&first, &second]).await;
    assert!(rig.send("GET /a/b", "").await.ends_with("hello"));
    assert_eq!((first.count(), second.count()), (1, 1));
}

#[tokio::test]
async fn no_more_often_than_the_route_allows() {
    let (first, second) = (Backend::start(Script::Reset).await, good().await);
    let rig = Rig::start("idempotent", r#","attempts":1"#, &[&first, &second]).await;
    assert!(rig.send("GET /a/b", "").await.starts_with("HTTP/1.1 502"));
    assert_eq!(second.count(), 0);
}

#[tokio::test]
async fn a_call_that_was_refused_goes_on_elsewhere() {
    let full = whole("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let (first, second) = (Backend::start(Script::Answer(full)).await, good().await);
    let rig = Rig::start("non-idempotent", r#","attempts":2"#, &[&first, &second]).await;
    assert!(rig.send("POST /a/b", "").await.ends_with("hello"));
}

#[tokio::test]
async fn a_refusal_that_nobody_took_over_says_not_run() {
    let full = whole("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let first = Backend::start(Script::Answer(full)).await;
    let rig = Rig::start("non-idempotent", "", &[&first]).await;
    let res = rig.send("POST /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 503") && res.contains("retry-after"),
        "{res}"
    );
}

#[tokio::test]
async fn a_failure_without_that_word_may_have_run() {
    let failed = whole("503 Service Unavailable", "X-Seal: s\r\n", "");
    let (first, second) = (Backend::start(Script::Answer(failed)).await, good().await);
    let rig = Rig::start("non-idempotent", r#","attempts":2"#, &[&first, &second]).await;
    rig.send("POST /a/b", "").await;
    assert_eq!(second.count(), 0);
}

#[tokio::test]
async fn a_backend_server_that_cannot_be_reached_was_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let closed = Backend::absent(address);
    let second = good().await;
    let rig = Rig::start("non-idempotent", "", &[&closed, &second]).await;
    assert!(rig.send("POST /a/b", "").await.ends_with("hello"));
}

#[tokio::test]
async fn a_silent_one_is_left_where_the_request_may_be_repeated() {
    let (first, second) = (Backend::start(Script::Silence).await, good().await);
    let extra = r#","attempts":2,"target_ms":100"#;
    let rig = Rig::start("idempotent", extra, &[&first, &second]).await;
    assert!(rig.send("GET /a/b", "").await.ends_with("hello"));
}

#[tokio::test]
async fn a_failure_is_told_if_no_other_one_does_better() {
    let failed = whole("500 Internal Server Error", "X-Seal: f\r\n", "failed");
    let first = Backend::start(Script::Answer(failed)).await;
    let rig = Rig::start("idempotent", r#","attempts":2"#, &[&first]).await;
    let res = rig.send("GET /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 500") && res.contains("x-seal: f"),
        "{res}"
    );
}
