//! Responses that are complete, broken off or belong to another request.

use toucanchute_edge::CrashKind;

use crate::support::{Backend, Script, TestGateway, full_response};

#[tokio::test]
async fn a_whole_answer_is_relayed_unchanged() {
    let answer = full_response("200 OK", "X-Seal: s\r\nX-Other: o\r\n", "hello");
    let backend = Backend::start(Script::Answer(answer)).await;
    let gateway = TestGateway::start("idempotent", "", &[&backend]).await;
    let res = gateway.send("POST /a/b?c=d", "the body").await;
    assert!(res.starts_with("HTTP/1.1 200 OK"), "{res}");
    assert!(
        res.contains("x-seal: s") && res.contains("x-other: o"),
        "{res}"
    );
    assert!(res.ends_with("hello"));
    let req = backend.request(0);
    assert!(req.starts_with("POST /a/b?c=d HTTP/1.1"), "{req}");
    assert!(
        req.ends_with("the body") && req.contains("x-attempt: a1"),
        "{req}"
    );
    assert!(
        req.contains("x-customer: north") && !req.contains("secret"),
        "{req}"
    );
}

#[tokio::test]
async fn a_backend_servers_error_is_relayed() {
    let answer = full_response("404 Not Found", "X-Seal: s\r\n", "none");
    let backend = Backend::start(Script::Answer(answer)).await;
    let gateway = TestGateway::start("idempotent", "", &[&backend]).await;
    let res = gateway.send("GET /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 404") && res.contains("x-seal: s"),
        "{res}"
    );
}

#[tokio::test]
async fn an_answer_to_another_request_reaches_nobody() {
    let answer = "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nno";
    let backend = Backend::start(Script::Answer(answer.to_owned())).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 502") && !res.contains("x-seal"),
        "{res}"
    );
    assert!(gateway.control.crashed(CrashKind::Malformed));
}

#[tokio::test]
async fn a_success_without_a_seal_is_not_relayed() {
    let backend = Backend::start(Script::Answer(full_response("200 OK", "", "forged"))).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 502") && !res.contains("forged"),
        "{res}"
    );
}

#[tokio::test]
async fn an_encoded_answer_is_not_relayed() {
    let answer = full_response("200 OK", "X-Seal: s\r\nContent-Encoding: gzip\r\n", "zzz");
    let backend = Backend::start(Script::Answer(answer)).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    assert!(
        gateway
            .send("POST /a/b", "")
            .await
            .starts_with("HTTP/1.1 502")
    );
}

#[tokio::test]
async fn a_truncated_answer_does_not_look_complete() {
    let answer = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 50\r\n\r\nhalf";
    let backend = Backend::start(Script::AnswerAndClose(answer.to_owned())).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(
        res.starts_with("HTTP/1.1 502") && !res.contains("half"),
        "{res}"
    );
}

#[tokio::test]
async fn an_answer_without_length_ends_with_its_connection() {
    let answer = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n\r\nall of it";
    let backend = Backend::start(Script::AnswerAndClose(answer.to_owned())).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    assert!(gateway.send("POST /a/b", "").await.ends_with("all of it"));
}

#[tokio::test]
async fn a_silent_backend_server_is_abandoned_at_the_route_timeout() {
    let backend = Backend::start(Script::Silence).await;
    let gateway = TestGateway::start("non-idempotent", r#","target_ms":100"#, &[&backend]).await;
    let started = std::time::Instant::now();
    let res = gateway.send("POST /a/b", "").await;
    assert!(res.starts_with("HTTP/1.1 504"), "{res}");
    assert!(started.elapsed().as_millis() < 3_800);
}
