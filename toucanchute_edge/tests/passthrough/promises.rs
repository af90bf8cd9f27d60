//! What callers are told of a request that ran, whatever the backend server's bytes look like.
//!
//! Statuses 429, 503, 408 and 421 promise that a request did not run and never will.

use std::time::{Duration, Instant};

use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use crate::{
    raw_backend::{RawBackend, Step, read_request},
    support::{Backend, Script, TestGateway, full_response},
};

/// Time after which the second response on a connection is late.
const LATE: Duration = Duration::from_millis(30);

/// Response head fields of a refusal.
const REFUSAL: &str = "X-Not-Run: 1\r\n";

/// Returns a response to `attempt` with `headers`; without an attempt if it is empty.
fn response_to(attempt: &str, status: &str, headers: &str, body: &str) -> String {
    let attempt = match attempt {
        "" => String::new(),
        attempt => format!("X-Attempt: {attempt}\r\n"),
    };
    let len = body.len();
    format!("HTTP/1.1 {status}\r\n{attempt}{headers}Content-Length: {len}\r\n\r\n{body}")
}

/// Returns the status of a response; 0 if there is none.
fn status(res: &str) -> u16 {
    let status = res.split(' ').nth(1);
    status.and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Asserts that a response to the caller promises nothing and does not look like the backend
/// server's own.
fn assert_promises_nothing(res: &str) {
    assert!(
        !matches!(status(res), 408 | 421 | 429 | 503) && !res.starts_with("HTTP/1.1 2"),
        "{res}"
    );
    assert!(!res.contains("x-seal"), "{res}");
}

async fn healthy_backend() -> Backend {
    let answer = full_response("200 OK", "X-Seal: s\r\n", "hello");
    Backend::start(Script::Answer(answer)).await
}

/// Sends a request to a server that runs it and answers with `answer`. The caller must be promised
/// nothing, and no other server may get a request that is not idempotent.
async fn check_answer_after_run(kind: &str, answer: String) {
    let first = RawBackend::start(vec![vec![Step::Run, Step::Write(answer)]]).await;
    let second = healthy_backend().await;
    let backends = [&first.backend, &second];
    let gateway = TestGateway::start(kind, r#","attempts":2"#, &backends).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert_eq!(first.attempts_run(), ["a1"]);
    assert_promises_nothing(&res);
    assert_eq!(second.request_count(), 0, "the request was sent again");
}

/// Names tests of servers that run a request and answer with these bytes.
macro_rules! ran {
    ($($name:ident: $kind:expr, $answer:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_answer_after_run($kind, $answer).await;
        }
    )*};
}

// Guard against a status that is passed on as a promise although the server ran the request.
ran! {
    a_sealed_503_is_no_promise: "non-idempotent",
        response_to("a1", "503 Service Unavailable", "X-Seal: s\r\n", "busy");
    an_unsealed_503_is_no_promise: "non-idempotent",
        response_to("a1", "503 Service Unavailable", "", "busy");
    a_503_with_a_retry_time_is_no_promise: "non-idempotent",
        response_to("a1", "503 Service Unavailable", "X-Seal: s\r\nRetry-After: 1\r\n", "busy");
    a_sealed_429_is_no_promise: "non-idempotent",
        response_to("a1", "429 Too Many Requests", "X-Seal: s\r\n", "busy");
    an_unsealed_429_is_no_promise: "non-idempotent",
        response_to("a1", "429 Too Many Requests", "", "busy");
    a_sealed_408_is_no_promise: "non-idempotent",
        response_to("a1", "408 Request Timeout", "X-Seal: s\r\n", "late");
    an_unsealed_408_is_no_promise: "non-idempotent",
        response_to("a1", "408 Request Timeout", "", "late");
    a_503_without_an_attempt_is_no_promise: "non-idempotent",
        response_to("", "503 Service Unavailable", "X-Seal: s\r\n", "busy");
    a_503_to_a_stream_is_no_promise: "stream",
        response_to("a1", "503 Service Unavailable", "X-Seal: s\r\n", "busy");
}

// Guard against a refusal of another attempt that is taken for one of this attempt.
ran! {
    a_refusal_of_another_attempt_is_no_promise: "non-idempotent",
        response_to("other", "503 Service Unavailable", REFUSAL, "");
    a_refusal_without_an_attempt_is_no_promise: "non-idempotent",
        response_to("", "503 Service Unavailable", REFUSAL, "");
    a_429_of_another_attempt_is_no_promise: "non-idempotent",
        response_to("other", "429 Too Many Requests", REFUSAL, "");
    a_misdirected_other_attempt_is_no_promise: "non-idempotent",
        response_to("other", "421 Misdirected Request", REFUSAL, "");
    a_misdirected_status_without_an_attempt_is_no_promise: "non-idempotent",
        response_to("", "421 Misdirected Request", "", "");
    a_refused_stream_of_another_attempt_is_no_promise: "stream",
        response_to("other", "503 Service Unavailable", REFUSAL, "");
}

// Guard against bytes that are no whole response to the request.
ran! {
    half_a_head_is_no_promise: "non-idempotent",
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Attempt: a1\r\n\r".to_owned();
    bytes_that_are_no_response_are_no_promise: "non-idempotent",
        "503 Service Unavailable\r\n\r\n".to_owned();
    an_interim_refusal_is_no_promise: "non-idempotent",
        "HTTP/1.1 103 Early Hints\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\n\r\n".to_owned();
}

/// Guards against an error of the first server that is kept as a fallback and passed on as a
/// promise when no other server does better.
#[tokio::test]
async fn a_503_kept_as_a_fallback_is_no_promise() {
    let answer = response_to("a1", "503 Service Unavailable", "X-Seal: s\r\n", "busy");
    let only = RawBackend::start(vec![vec![Step::Run, Step::Write(answer)]]).await;
    let gateway = TestGateway::start("idempotent", r#","attempts":2"#, &[&only.backend]).await;
    assert_promises_nothing(&gateway.send("GET /a/b", "").await);
}

/// Guards against a promise for an idempotent request that ran and was then refused elsewhere.
#[tokio::test]
async fn a_run_followed_by_a_refusal_is_no_promise() {
    let broken = RawBackend::start(vec![vec![Step::Run, Step::Reset]]).await;
    let refusal = response_to("a1", "503 Service Unavailable", REFUSAL, "");
    let full = Backend::start(Script::Answer(refusal)).await;
    let backends = [&broken.backend, &full];
    let gateway = TestGateway::start("idempotent", r#","attempts":2"#, &backends).await;
    assert_promises_nothing(&gateway.send("GET /a/b", "").await);
}

/// Plays a server that answers the first request, then refuses it late on the kept connection, when
/// the second one has arrived and runs.
async fn check_late_refusal(extra: &str, late: String) {
    let connection = vec![
        Step::Run,
        Step::Write(response_to("a1", "200 OK", "X-Seal: s\r\n", "one")),
        Step::Run,
        Step::Write(late),
        Step::Pause(LATE),
        Step::Write(response_to("a2", "200 OK", "X-Seal: s\r\n", "two")),
    ];
    let first = RawBackend::start(vec![connection]).await;
    let second = healthy_backend().await;
    let gateway = TestGateway::start("non-idempotent", extra, &[&first.backend, &second]).await;
    let res = gateway.send_as("a1", "POST /a/b", "").await;
    assert!(res.ends_with("one"), "{res}");
    let res = gateway.send_as("a2", "POST /a/b", "").await;
    assert_eq!(first.attempts_run(), ["a1", "a2"]);
    assert_eq!(first.connection_count(), 1, "the connection was not kept");
    assert_promises_nothing(&res);
    assert_eq!(second.request_count(), 0, "the request was sent again");
}

/// Names tests of late responses on a kept connection.
macro_rules! late {
    ($($name:ident: $extra:expr, $answer:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_late_refusal($extra, $answer).await;
        }
    )*};
}

// Guard against a late refusal of an earlier attempt that ends a later one with a promise, or has
// it sent again, while it runs.
late! {
    a_late_refusal_is_no_promise: "",
        response_to("a1", "503 Service Unavailable", REFUSAL, "");
    a_late_refusal_does_not_repeat_the_next_request: r#","attempts":2"#,
        response_to("a1", "503 Service Unavailable", REFUSAL, "");
    a_late_misdirected_status_is_no_promise: r#","attempts":2"#,
        response_to("a1", "421 Misdirected Request", REFUSAL, "");
    a_late_refusal_without_an_attempt_is_no_promise: r#","attempts":2"#,
        response_to("", "429 Too Many Requests", REFUSAL, "");
    a_late_success_reaches_nobody: r#","attempts":2"#,
        response_to("a1", "200 OK", "X-Seal: s\r\n", "one");
}

/// Guards against a second response that arrives together with the first one and is taken for the
/// response to the next request.
#[tokio::test]
async fn a_response_sent_twice_at_once_spoils_its_connection_only() {
    let refusal = response_to("a1", "503 Service Unavailable", REFUSAL, "");
    let spoilt = vec![
        Step::Run,
        Step::Write(response_to("a1", "200 OK", "X-Seal: s\r\n", "one") + &refusal),
    ];
    let fresh = vec![
        Step::Run,
        Step::Write(response_to("a2", "200 OK", "X-Seal: s\r\n", "two")),
    ];
    let only = RawBackend::start(vec![spoilt, fresh]).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&only.backend]).await;
    let res = gateway.send_as("a1", "POST /a/b", "").await;
    assert!(res.ends_with("one"), "{res}");
    tokio::time::sleep(LATE).await;
    let res = gateway.send_as("a2", "POST /a/b", "").await;
    assert!(res.ends_with("two"), "{res}");
}

// What is proved

/// Guards against a cautious gateway that withholds a promise from a caller whose request was
/// refused.
async fn check_refusal_is_believed(status_line: &str, headers: &str) {
    let answer = response_to("a1", status_line, headers, "full");
    let only = RawBackend::start(vec![vec![Step::ReadRequest, Step::Write(answer)]]).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&only.backend]).await;
    let res = gateway.send("POST /a/b", "").await;
    assert!(status(&res) == 503 && res.contains("retry-after"), "{res}");
}

#[tokio::test]
async fn a_refusal_of_this_attempt_is_a_promise() {
    check_refusal_is_believed("503 Service Unavailable", REFUSAL).await;
}

#[tokio::test]
async fn a_refusal_of_this_attempt_with_429_is_a_promise() {
    check_refusal_is_believed("429 Too Many Requests", REFUSAL).await;
}

#[tokio::test]
async fn a_misdirected_request_of_this_attempt_is_a_promise() {
    check_refusal_is_believed("421 Misdirected Request", "").await;
}

/// Guards against a refusal that is doubted because it arrives before the whole request was read.
#[tokio::test]
async fn a_refusal_before_the_body_was_read_is_a_promise() {
    let refusal = response_to("a1", "503 Service Unavailable", REFUSAL, "");
    let steps = vec![Step::Read(40), Step::Write(refusal)];
    let early = RawBackend::start(vec![steps]).await;
    let second = healthy_backend().await;
    let backends = [&early.backend, &second];
    let gateway = TestGateway::start("non-idempotent", r#","attempts":2"#, &backends).await;
    let res = gateway.send("POST /a/b", &"x".repeat(1_900)).await;
    assert!(res.ends_with("hello"), "{res}");
}

/// Time within which a request that was refused has to be answered by another server.
const RESEND_TIME: Duration = Duration::from_millis(1_000);

/// Plays a server whose response lacks the end of its body. The request must be sent to another
/// server at once.
async fn check_unfinished_body(kind: &str, status_line: &str, headers: &str) {
    let half = response_to("a1", status_line, headers, "full") + "\r\n";
    let half = half.replace("Content-Length: 4", "Content-Length: 400");
    let first = RawBackend::start(vec![vec![Step::ReadRequest, Step::Write(half)]]).await;
    let second = healthy_backend().await;
    let backends = [&first.backend, &second];
    let gateway = TestGateway::start(kind, r#","attempts":2"#, &backends).await;
    let started = Instant::now();
    let res = gateway.send("POST /a/b", "").await;
    assert!(res.ends_with("hello"), "{res}");
    assert!(started.elapsed() < RESEND_TIME, "{:?}", started.elapsed());
}

/// Guards against a refused request that waits until its deadline for the rest of the refusal.
#[tokio::test]
async fn a_refusal_without_the_end_of_its_body_is_retried_at_once() {
    check_unfinished_body("non-idempotent", "503 Service Unavailable", REFUSAL).await;
}

/// Guards against a failed request that waits until its deadline for the rest of the error.
#[tokio::test]
async fn an_error_without_the_end_of_its_body_is_retried_at_once() {
    check_unfinished_body("idempotent", "500 Internal Server Error", "X-Seal: s\r\n").await;
}

/// Guards against a request that is written to a connection which opens only after its caller was
/// told that it did not run.
#[tokio::test]
async fn nothing_is_sent_after_a_deadline_that_passed_while_connecting() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let listener = socket.listen(1).unwrap();
    // Further connections wait until one of these is accepted.
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(LATE, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    let gateway = TestGateway::start("non-idempotent", "", &[&Backend::absent(address)]).await;
    let req = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        X-Patience: 200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let res = gateway.send_raw(req).await;
    assert_eq!(status(&res), 503, "{res}");
    drop(queued);
    while let Ok(accepted) = timeout(RESEND_TIME, listener.accept()).await {
        assert_eq!(read_request(&mut accepted.unwrap().0).await, None);
    }
}

// Where a connection fails

/// Plays a server whose connection ends after `steps`. Unless nothing of the request was received,
/// the caller must be promised nothing.
async fn check_failed_connection(steps: Vec<Step>) {
    let first = RawBackend::start(vec![steps]).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&first.backend]).await;
    let res = gateway.send("POST /a/b", &"x".repeat(1_900)).await;
    let promised = matches!(status(&res), 408 | 421 | 429 | 503);
    assert!(!promised || first.requests_begun() == 0, "{res}");
    assert!(status(&res) >= 500, "{res}");
}

/// Names tests of connections that fail at some point of a request.
macro_rules! fails {
    ($($name:ident: $steps:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_failed_connection($steps.to_vec()).await;
        }
    )*};
}

// Guard against a request that was written in part and counts as not sent.
fails! {
    a_close_before_the_head: [Step::Close];
    a_reset_before_the_head: [Step::Reset];
    a_close_within_the_head: [Step::Read(30), Step::Close];
    a_reset_within_the_head: [Step::Read(30), Step::Reset];
    a_close_within_the_body: [Step::Read(600), Step::Close];
    a_reset_within_the_body: [Step::Read(600), Step::Reset];
    a_close_after_the_body: [Step::Run, Step::Close];
    a_reset_after_the_body: [Step::Run, Step::Reset];
    a_closed_sending_half_before_the_head: [Step::ShutDownWrite];
    a_closed_sending_half_within_the_head: [Step::Read(30), Step::ShutDownWrite];
    a_closed_sending_half_after_the_body: [Step::Run, Step::ShutDownWrite];
}

/// Rounds of a race between a server that closes a kept connection and the next request on it.
const RACE_ROUNDS: u32 = 150;

/// Guards against a request that is written to a kept connection while the server closes it, and
/// counts as not sent.
#[tokio::test]
async fn a_kept_connection_that_is_closed_meanwhile_is_no_proof() {
    for round in 0..RACE_ROUNDS {
        let delay = Duration::from_micros(u64::from(round % 50) * 40);
        let end = if round % 2 == 0 {
            Step::Close
        } else {
            Step::Reset
        };
        let kept = vec![
            Step::Run,
            Step::Write(response_to("a1", "200 OK", "X-Seal: s\r\n", "one")),
            Step::Pause(delay),
            end,
        ];
        let fresh = vec![Step::ReadRequest, Step::Close];
        let only = RawBackend::start(vec![kept, fresh]).await;
        let gateway = TestGateway::start("non-idempotent", "", &[&only.backend]).await;
        gateway.send_as("a1", "POST /a/b", "").await;
        let res = gateway.send_as("a2", "POST /a/b", "").await;
        let promised = matches!(status(&res), 408 | 421 | 429 | 503);
        assert!(
            !promised || only.requests_begun() < 2,
            "round {round}: {res}"
        );
    }
}
