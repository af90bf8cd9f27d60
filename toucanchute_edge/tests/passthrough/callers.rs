//! What callers may ask and what they are told.

use crate::support::{Backend, Rig, Script, whole};

async fn rig() -> (Backend, Rig) {
    let answer = whole("200 OK", "X-Seal: s\r\n", "hello");
    let backend = Backend::start(Script::Answer(answer)).await;
    let rig = Rig::start("idempotent", "", &[&backend]).await;
    (backend, rig)
}

#[tokio::test]
async fn the_longest_prefix_counts() {
    let (_backend, rig) = rig().await;
    let open = "GET /a/open/x HTTP/1.1\r\nHost: SVC.example:80\r\nX-Attempt: a1\r\nConnection: close\r\n\r\n";
    assert!(rig.send_raw(open).await.starts_with("HTTP/1.1 200"));
    let keyed = open.replace("/a/open/x", "/a/x");
    assert!(rig.send_raw(&keyed).await.starts_with("HTTP/1.1 401"));
    let none = open.replace("/a/open/x", "/b/x");
    assert!(rig.send_raw(&none).await.starts_with("HTTP/1.1 404"));
    let host = open.replace("SVC.example", "other.example");
    assert!(rig.send_raw(&host).await.starts_with("HTTP/1.1 404"));
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let (backend, rig) = rig().await;
    let res = rig.send("POST /a/b", &"x".repeat(3_000)).await;
    assert!(res.starts_with("HTTP/1.1 413"), "{res}");
    assert_eq!(backend.count(), 0);
}

#[tokio::test]
async fn a_body_in_chunks_arrives_whole() {
    let (backend, rig) = rig().await;
    let req = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
    assert!(rig.send_raw(req).await.starts_with("HTTP/1.1 200"));
    assert!(backend.request(0).ends_with("abcdef"));
}

#[tokio::test]
async fn a_request_beyond_the_balance_is_not_sent() {
    let (backend, rig) = rig().await;
    let req = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        X-Tokens: 900+200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert!(rig.send_raw(req).await.starts_with("HTTP/1.1 402"));
    assert_eq!(backend.count(), 0);
}

#[tokio::test]
async fn without_backend_servers_a_caller_is_told_when_to_come_back() {
    let rig = Rig::start("idempotent", "", &[]).await;
    let res = rig.send("GET /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 503") && res.contains("retry-after: 0.250"),
        "{res}"
    );
}
