//! Backend servers whose bytes have no end, or come one now and then.

use std::time::{Duration, Instant};

use crate::support::{Backend, Rig, Script, chunk, event, stream_head, whole};

/// Most bytes that a router may take of one answer, with what sockets hold.
const MOST_TAKEN: usize = 16 * 1024 * 1024;

/// Time by which an answer without end has to be given up; the route allows 3 s.
const SOON: Duration = Duration::from_millis(2_000);

fn endless(head: &str, piece: String) -> Script {
    Script::Endless {
        head: head.to_owned(),
        piece,
        pause: Duration::ZERO,
    }
}

/// Guards against a router that runs out of memory under bytes without end.
async fn is_given_up(kind: &str, script: Script) {
    let backend = Backend::start(script).await;
    let rig = Rig::start(kind, r#","attempts":1,"gap_target_ms":5000"#, &[&backend]).await;
    let began = Instant::now();
    let res = rig.send("POST /a/b", "").await;
    assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    let taken = backend.sent();
    assert!(taken < MOST_TAKEN, "{taken} bytes taken");
    assert!(!res.starts_with("HTTP/1.1 200") || !res.contains("0\r\n\r\n"));
}

macro_rules! bytes_without_end_are_given_up {
    ($($name:ident: $kind:expr, $script:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            is_given_up($kind, $script).await;
        }
    )*};
}

const WHOLE_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n\r\n";
const FAILED_HEAD: &str =
    "HTTP/1.1 500 Error\r\nX-Attempt: a1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const FULL_HEAD: &str =
    "HTTP/1.1 503 Full\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n";

fn piece() -> String {
    "x".repeat(64 * 1024)
}

bytes_without_end_are_given_up! {
    a_body_in_chunks: "non-idempotent", endless(WHOLE_HEAD, chunk(&piece()));
    a_body_without_length: "non-idempotent", endless(PLAIN_HEAD, piece());
    a_failures_body: "non-idempotent", endless(FAILED_HEAD, chunk(&piece()));
    a_refusals_body: "non-idempotent", endless(FULL_HEAD, chunk(&piece()));
    an_event: "stream", endless(&stream_head(), chunk(&piece()));
    a_head: "non-idempotent", endless("HTTP/1.1 200 OK\r\nX-Long: ", piece());
    heads_after_heads: "non-idempotent", endless("HTTP/1.1 200 OK\r\n", "X-Line: 1\r\n".repeat(4_096));
    what_is_no_answer: "non-idempotent", endless("", piece());
    interim_answers: "non-idempotent", endless("", "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(1_024));
}

// Guards against a stalled stream that never ends, since a byte of it comes now and then.
#[tokio::test]
async fn a_stalled_stream_ends_although_bytes_come_now_and_then() {
    let stalled = Script::Endless {
        head: format!("{}{}", stream_head(), chunk(&event(1))),
        piece: chunk("x"),
        pause: Duration::from_millis(100),
    };
    let rest: String = (1..=3).map(|id| chunk(&event(id))).collect();
    let good = Script::Answer(format!("{}{rest}0\r\n\r\n", stream_head()));
    let (stalled, good) = (Backend::start(stalled).await, Backend::start(good).await);
    let extra = r#","attempts":2,"resumable":true,"gap_target_ms":300"#;
    let rig = Rig::start("stream", extra, &[&stalled, &good]).await;
    let res = rig.send("POST /a/b", "").await;
    assert_eq!((stalled.count(), good.count()), (1, 1));
    assert!(res.contains("id: 3") && res.ends_with("0\r\n\r\n"), "{res}");
}

// Guards against a sound stream that is cut since its events come slowly.
#[tokio::test]
async fn a_slow_but_sound_stream_is_not_cut() {
    let slow = Script::Endless {
        head: stream_head(),
        piece: chunk("data: d\n\n"),
        pause: Duration::from_millis(500),
    };
    let backend = Backend::start(slow).await;
    let extra = r#","attempts":2,"resumable":true,"gap_target_ms":600"#;
    let rig = Rig::start("stream", extra, &[&backend, &backend]).await;
    let began = Instant::now();
    rig.send("POST /a/b", "").await;
    assert_eq!(backend.count(), 1);
    assert!(began.elapsed() > Duration::from_millis(2_800));
}

// Guards against a second copy of an answer that reaches the caller after it.
#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_nobody_else() {
    let first = whole("200 OK", "X-Seal: s\r\n", "first");
    let second = whole("200 OK", "X-Seal: s\r\n", "second").replace("a1", "a2");
    let copies = Script::InTurn(vec![first.clone(), format!("{first}{second}")]);
    let backend = Backend::start(copies).await;
    let rig = Rig::start("non-idempotent", "", &[&backend]).await;
    assert!(rig.send("POST /a/b", "").await.ends_with("first"));
    let res = rig.send_as("a2", "POST /a/b", "").await;
    assert!(!res.contains("first"), "{res}");
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
}
