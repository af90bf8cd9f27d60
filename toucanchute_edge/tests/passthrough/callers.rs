//! Which requests of callers are accepted, and what the response is otherwise.

use toucanchute_core::placement::LinkBudget;

use crate::support::{Backend, Script, TestGateway, full_response};

async fn start_gateway() -> (Backend, TestGateway) {
    let answer = full_response("200 OK", "X-Seal: s\r\n", "hello");
    let backend = Backend::start(Script::Answer(answer)).await;
    let gateway = TestGateway::start("idempotent", "", &[&backend]).await;
    (backend, gateway)
}

#[tokio::test]
async fn the_route_with_the_longest_prefix_is_used() {
    let (_backend, gateway) = start_gateway().await;
    let open = "GET /a/open/x HTTP/1.1\r\nHost: SVC.example:80\r\nX-Attempt: a1\r\nConnection: close\r\n\r\n";
    assert!(gateway.send_raw(open).await.starts_with("HTTP/1.1 200"));
    let keyed = open.replace("/a/open/x", "/a/x");
    assert!(gateway.send_raw(&keyed).await.starts_with("HTTP/1.1 401"));
    let none = open.replace("/a/open/x", "/b/x");
    assert!(gateway.send_raw(&none).await.starts_with("HTTP/1.1 404"));
    let host = open.replace("SVC.example", "other.example");
    assert!(gateway.send_raw(&host).await.starts_with("HTTP/1.1 404"));
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let (backend, gateway) = start_gateway().await;
    let res = gateway.send("POST /a/b", &"x".repeat(3_000)).await;
    assert!(res.starts_with("HTTP/1.1 413"), "{res}");
    assert_eq!(backend.request_count(), 0);
}

#[tokio::test]
async fn a_body_in_chunks_arrives_whole() {
    let (backend, gateway) = start_gateway().await;
    let req = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
    assert!(gateway.send_raw(req).await.starts_with("HTTP/1.1 200"));
    assert!(backend.request(0).ends_with("abcdef"));
}

#[tokio::test]
async fn a_request_beyond_the_balance_is_not_sent() {
    let (backend, gateway) = start_gateway().await;
    let req = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        X-Tokens: 900+200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert!(gateway.send_raw(req).await.starts_with("HTTP/1.1 402"));
    assert_eq!(backend.request_count(), 0);
}

/// Guards against a full link of the host on which an admitted request waits behind those that come later.
#[tokio::test]
async fn a_request_that_the_link_cannot_carry_is_not_sent() {
    let (backend, gateway) = start_gateway().await;
    // 1 kB passes in the time in which the budget fills, less than the heads and the body together.
    *gateway.control.link.lock().unwrap() = Some(LinkBudget::new(20));
    let body = "x".repeat(500);
    assert!(
        gateway
            .send("POST /a/b", &body)
            .await
            .starts_with("HTTP/1.1 200")
    );
    let res = gateway.send("POST /a/b", &body).await;
    assert!(
        res.starts_with("HTTP/1.1 503") && res.contains("host-busy") && res.contains("retry-after"),
        "{res}"
    );
    assert_eq!(backend.request_count(), 1);
}

#[tokio::test]
async fn without_backend_servers_a_caller_gets_a_retry_time() {
    let gateway = TestGateway::start("idempotent", "", &[]).await;
    let res = gateway.send("GET /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 503") && res.contains("retry-after: 0.250"),
        "{res}"
    );
}
