//! Backend servers whose responses do not end or arrive very slowly.

use std::time::{Duration, Instant};

use crate::support::{Backend, Script, TestGateway, chunk, event, full_response, stream_head};

/// Most bytes that a router may read of one response, including those that sockets buffer.
const MAX_BYTES_SENT: usize = 16 * 1024 * 1024;

/// Time by which an endless response must be abandoned. The route allows 3 s.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(2_000);

fn endless(head: &str, piece: String) -> Script {
    Script::Endless {
        head: head.to_owned(),
        piece,
        pause: Duration::ZERO,
    }
}

/// Guards against a router that runs out of memory while it reads an endless response.
async fn assert_abandoned(kind: &str, script: Script) {
    let backend = Backend::start(script).await;
    let gateway =
        TestGateway::start(kind, r#","attempts":1,"gap_target_ms":5000"#, &[&backend]).await;
    let started = Instant::now();
    let res = gateway.send("POST /a/b", "").await;
    assert!(
        started.elapsed() < ABANDON_TIMEOUT,
        "{:?}",
        started.elapsed()
    );
    let bytes_sent = backend.bytes_sent();
    assert!(bytes_sent < MAX_BYTES_SENT, "{bytes_sent} bytes sent");
    assert!(!res.starts_with("HTTP/1.1 200") || !res.contains("0\r\n\r\n"));
}

macro_rules! endless_responses_are_abandoned {
    ($($name:ident: $kind:expr, $script:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            assert_abandoned($kind, $script).await;
        }
    )*};
}

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const NO_LENGTH_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n\r\n";
const ERROR_HEAD: &str =
    "HTTP/1.1 500 Error\r\nX-Attempt: a1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const REFUSAL_HEAD: &str =
    "HTTP/1.1 503 Full\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

fn piece() -> String {
    "x".repeat(64 * 1024)
}

endless_responses_are_abandoned! {
    a_body_in_chunks: "non-idempotent", endless(CHUNKED_HEAD, chunk(&piece()));
    a_body_without_length: "non-idempotent", endless(NO_LENGTH_HEAD, piece());
    an_error_body: "non-idempotent", endless(ERROR_HEAD, chunk(&piece()));
    a_refusal_body: "non-idempotent", endless(REFUSAL_HEAD, chunk(&piece()));
    an_event: "stream", endless(&stream_head(), chunk(&piece()));
    a_header_line: "non-idempotent", endless("HTTP/1.1 200 OK\r\nX-Long: ", piece());
    header_lines: "non-idempotent", endless("HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n".repeat(4_096));
    what_is_no_answer: "non-idempotent", endless("", piece());
    interim_answers: "non-idempotent", endless("", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_024));
}

// Guards against a stalled stream that never ends because single bytes still arrive now and then.
#[tokio::test]
async fn a_stalled_stream_ends_although_bytes_come_now_and_then() {
    let stalled = Script::Endless {
        head: format!("{}{}", stream_head(), chunk(&event(1))),
        piece: chunk("x"),
        pause: Duration::from_millis(100),
    };
    let rest: String = (1..=3).map(|id| chunk(&event(id))).collect();
    let healthy = Script::Answer(format!("{}{rest}0\r\n\r\n", stream_head()));
    let (stalled, healthy) = (Backend::start(stalled).await, Backend::start(healthy).await);
    let extra = r#","attempts":2,"resumable":true,"gap_target_ms":300"#;
    let gateway = TestGateway::start("stream", extra, &[&stalled, &healthy]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert_eq!((stalled.request_count(), healthy.request_count()), (1, 1));
    assert!(res.contains("id: 3") && res.ends_with("0\r\n\r\n"), "{res}");
}

// Guards against a sound stream that is broken off because its events arrive slowly.
#[tokio::test]
async fn a_slow_but_sound_stream_is_not_cut() {
    let slow = Script::Endless {
        head: stream_head(),
        piece: chunk("data: d\n\n"),
        pause: Duration::from_millis(500),
    };
    let backend = Backend::start(slow).await;
    let extra = r#","attempts":2,"resumable":true,"gap_target_ms":600"#;
    let gateway = TestGateway::start("stream", extra, &[&backend, &backend]).await;
    let started = Instant::now();
    gateway.send("POST /a/b", "").await;
    assert_eq!(backend.request_count(), 1);
    assert!(started.elapsed() > Duration::from_millis(2_800));
}

// Guards against a response that is sent twice on one connection: the second copy must not reach
// the caller of the next request.
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_nobody_else() {
    let first = full_response("200 OK", "X-Seal: s\r\n", "first");
    let second = full_response("200 OK", "X-Seal: s\r\n", "second").replace("a1", "a2");
    let copies = Script::InTurn(vec![first.clone(), format!("{first}{second}")]);
    let backend = Backend::start(copies).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    assert!(gateway.send("POST /a/b", "").await.ends_with("first"));
    let res = gateway.send_as("a2", "POST /a/b", "").await;
    assert!(!res.contains("first"), "{res}");
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
}
