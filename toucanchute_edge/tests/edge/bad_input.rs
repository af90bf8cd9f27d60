use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::{
    support::{MAX_CONNECTIONS, TestEdge},
    test_control::TestControl,
};

/// Sends raw bytes and returns the whole response.
async fn exchange(edge: &TestEdge, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(edge.address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut out = Vec::new();
    let _ = stream.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).into_owned()
}

fn post(headers: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
         authorization: Bearer secret\r\ncontent-length: {len}\r\n{headers}\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Checks that an invalid request is rejected with a status and a reason, and reserves no tokens.
macro_rules! rejected {
    ($($name:ident: $bytes:expr, $status:literal, $reason:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let edge = TestEdge::start(TestControl::new(&[])).await;
            let answer = exchange(&edge, $bytes.as_ref()).await;
            let status = concat!("HTTP/1.1 ", $status);
            assert!(answer.starts_with(status), "{answer}");
            assert!(answer.contains("application/problem+json"), "{answer}");
            assert!(answer.contains(concat!("\"reason\":\"", $reason, "\"")), "{answer}");
            assert!(answer.contains("\"outcome\":\"not-run\""), "{answer}");
            assert!(edge.control.events().is_empty());
        }
    )*};
}

const GOOD: &[u8] = br#"{"model":"m","prompt":"p"}"#;
const CLOSE: &str = "host: t\r\nconnection: close\r\n";

rejected! {
    no_token: format!("POST /v1/completions HTTP/1.1\r\n{CLOSE}\r\n"), "401", "unauthorized";
    wrong_token: format!("POST /v1/completions HTTP/1.1\r\n{CLOSE}authorization: Bearer secre\r\n\r\n"),
        "401", "unauthorized";
    admin_without_token: format!("GET /v1/admin/status HTTP/1.1\r\n{CLOSE}\r\n"), "401", "unauthorized";
    unknown_path: format!("GET /v2 HTTP/1.1\r\n{CLOSE}\r\n"), "404", "unknown-path";
    no_service_name: format!("POST /v1/services/ HTTP/1.1\r\n{CLOSE}\r\n"), "404", "unknown-path";
    wrong_method: format!("GET /v1/completions HTTP/1.1\r\n{CLOSE}\r\n"), "405", "method-not-allowed";
    large_headers: post(&format!("x: {}\r\n", "y".repeat(3000)), GOOD), "431", "headers-too-large";
    large_body: post("", &[b' '; 5000]), "413", "body-too-large";
    slow_body: post("", GOOD)[..130], "408", "body-timeout";
    invalid_utf8: post("", b"{\"model\":\"m\",\"prompt\":\"\xff\"}"), "400", "bad-json";
    no_json: post("", b"model=m"), "400", "bad-json";
    no_model: post("", br#"{"prompt":"p"}"#), "400", "bad-field";
    unknown_model: post("", br#"{"model":"x","prompt":"p"}"#), "404", "unknown-model";
    no_prompt: post("", br#"{"model":"m"}"#), "400", "bad-field";
    two_choices: post("", br#"{"model":"m","prompt":"p","n":2}"#), "400", "bad-field";
    no_tokens: post("", br#"{"model":"m","prompt":"p","max_tokens":0}"#), "400", "bad-field";
    own_resume: post("", br#"{"model":"m","prompt":"p","resume":{}}"#), "400", "bad-field";
    empty_key: post("idempotency-key: \r\n", GOOD), "400", "bad-header";
    two_keys: post("idempotency-key: a\r\nidempotency-key: b\r\n", GOOD), "400", "bad-header";
    long_key: post(&format!("idempotency-key: {}\r\n", "k".repeat(257)), GOOD), "400", "bad-header";
    bad_expiry: post("idempotency-expires: soon\r\n", GOOD), "400", "bad-header";
    far_expiry: post("idempotency-expires: 99999999999999\r\n", GOOD), "400", "bad-header";
    expired_key: post("idempotency-expires: 1700000000000\r\n", GOOD), "410", "key-expired";
    bad_deadline: post("toucanchute-deadline-ms: -1\r\n", GOOD), "400", "bad-header";
}

#[tokio::test]
async fn slow_headers_close_the_connection() {
    let edge = TestEdge::start(TestControl::new(&[])).await;
    let answer = exchange(&edge, b"POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(!answer.contains(" 200 "), "{answer}");
}

#[tokio::test]
async fn huge_headers_are_refused() {
    let edge = TestEdge::start(TestControl::new(&[])).await;
    let huge = format!("x: {}\r\n", "y".repeat(100_000));
    let answer = exchange(&edge, &post(&huge, GOOD)).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
}

#[tokio::test]
async fn connections_beyond_the_limit_wait() {
    let edge = TestEdge::start(TestControl::new(&[])).await;
    let mut open = Vec::new();
    for _ in 0..MAX_CONNECTIONS {
        open.push(TcpStream::connect(edge.address).await.unwrap());
    }
    let req = b"GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n";
    let extra = exchange(&edge, req);
    tokio::pin!(extra);
    let early = tokio::time::timeout(Duration::from_millis(100), &mut extra).await;
    assert!(early.is_err(), "{early:?}");
    open.pop();
    assert!(extra.await.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn admin_and_health_answer() {
    let edge = TestEdge::start(TestControl::new(&[])).await;
    let admin =
        format!("GET /v1/admin/status HTTP/1.1\r\n{CLOSE}authorization: Bearer secret\r\n\r\n");
    let cases = [
        (admin.as_str(), "{\"path\":\"/v1/admin/status\"}"),
        (
            "GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n",
            "{\"status\":\"ok\"}",
        ),
        (
            "GET /readyz HTTP/1.1\r\nconnection: close\r\n\r\n",
            "{\"status\":\"ready\"}",
        ),
        (
            "GET /v1/addresses HTTP/1.1\r\nconnection: close\r\n\r\n",
            "{\"addresses\":[],\"max_age_ms\":500}",
        ),
    ];
    for (req, body) in cases {
        let answer = exchange(&edge, req.as_bytes()).await;
        assert!(answer.ends_with(body), "{answer}");
    }
}
