//! Which requests are sent to a second backend server and which are not.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use toucanchute_edge::CrashKind;

use crate::support::{Backend, Script, TestGateway, full_response};

async fn healthy_backend() -> Backend {
    Backend::start(Script::Answer(full_response(
        "200 OK",
        "X-Seal: s\r\n",
        "hello",
    )))
    .await
}

#[tokio::test]
async fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    let (first, second) = (Backend::start(Script::Reset).await, healthy_backend().await);
    let gateway =
        TestGateway::start("non-idempotent", r#","attempts":2"#, &[&first, &second]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
    assert_eq!((first.request_count(), second.request_count()), (1, 0));
    assert!(gateway.control.crashed(CrashKind::Interrupted));
}

#[tokio::test]
async fn an_idempotent_request_that_may_have_run_is_retried() {
    let (first, second) = (Backend::start(Script::Reset).await, healthy_backend().await);
    let gateway = TestGateway::start("idempotent", r#","attempts":2"#, &[&first, &second]).await;
    assert!(gateway.send("GET /a/b", "").await.ends_with("hello"));
    assert_eq!((first.request_count(), second.request_count()), (1, 1));
}

#[tokio::test]
async fn retries_are_limited_by_the_attempts_of_the_route() {
    let (first, second) = (Backend::start(Script::Reset).await, healthy_backend().await);
    let gateway = TestGateway::start("idempotent", r#","attempts":1"#, &[&first, &second]).await;
    assert!(
        gateway
            .send("GET /a/b", "")
            .await
            .starts_with("HTTP/1.1 502")
    );
    assert_eq!(second.request_count(), 0);
}

#[tokio::test]
async fn a_refused_request_is_sent_to_another_backend_server() {
    let refusal = full_response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let (first, second) = (
        Backend::start(Script::Answer(refusal)).await,
        healthy_backend().await,
    );
    let gateway =
        TestGateway::start("non-idempotent", r#","attempts":2"#, &[&first, &second]).await;
    assert!(gateway.send("POST /a/b", "").await.ends_with("hello"));
}

#[tokio::test]
async fn a_request_that_no_backend_server_accepts_did_not_run() {
    let refusal = full_response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let first = Backend::start(Script::Answer(refusal)).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&first]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 503") && res.contains("retry-after"),
        "{res}"
    );
}

#[tokio::test]
async fn an_error_without_a_not_run_header_may_have_run() {
    let failed = full_response("503 Service Unavailable", "X-Seal: s\r\n", "");
    let (first, second) = (
        Backend::start(Script::Answer(failed)).await,
        healthy_backend().await,
    );
    let gateway =
        TestGateway::start("non-idempotent", r#","attempts":2"#, &[&first, &second]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
    assert_eq!(second.request_count(), 0);
}

#[tokio::test]
async fn an_unreachable_backend_server_received_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    drop(listener);
    let closed = Backend::absent(address);
    let second = healthy_backend().await;
    let gateway = TestGateway::start("non-idempotent", "", &[&closed, &second]).await;
    assert!(gateway.send("POST /a/b", "").await.ends_with("hello"));
}

#[tokio::test]
async fn a_silent_backend_server_is_abandoned_if_the_request_is_idempotent() {
    let (first, second) = (
        Backend::start(Script::Silence).await,
        healthy_backend().await,
    );
    let extra = r#","attempts":2,"target_ms":100"#;
    let gateway = TestGateway::start("idempotent", extra, &[&first, &second]).await;
    assert!(gateway.send("GET /a/b", "").await.ends_with("hello"));
}

#[tokio::test]
async fn an_error_is_relayed_if_no_other_backend_server_does_better() {
    let failed = full_response("500 Internal Server Error", "X-Seal: f\r\n", "failed");
    let first = Backend::start(Script::Answer(failed)).await;
    let gateway = TestGateway::start("idempotent", r#","attempts":2"#, &[&first]).await;
    let res = gateway.send("GET /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 500") && res.contains("x-seal: f"),
        "{res}"
    );
}
