//! What callers are told of a request that ran, whatever the backend server's bytes look like.
//!
//! The outcome `not-run` promises that a request did not run and never will. So do statuses 429,
//! 503, 408 and 421 of a response without a problem document.

mod repeatable;
mod starting;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use toucanchute_edge::{CallOutcome, Control as _, ServiceAnswer};
use toucanchute_proto::RequestKey;

use crate::{
    raw_backend::{OWN, RawBackend, Step},
    support::{TestEdge, read_json, send_request, start_services},
    test_control::TestControl,
};

/// Time after which the second response on a connection is late.
const LATE: Duration = Duration::from_millis(30);
/// Identifier of the first attempt of a test.
pub(crate) const FIRST: &str = "0000000000000005-1";
/// Head field of a response that states that the request did not run.
pub(crate) const NOT_RUN: &str = "Toucanchute-Outcome: not-run\r\n";

pub(crate) const BUSY: &str = "503 Service Unavailable";
pub(crate) const LIMITED: &str = "429 Too Many Requests";
const LATE_STATUS: &str = "408 Request Timeout";
pub(crate) const MISDIRECTED: &str = "421 Misdirected Request";

/// Returns a response to `attempt` with `fields`; without an attempt if it is empty.
pub(crate) fn response_to(attempt: &str, status: &str, fields: &str, body: &str) -> String {
    let attempt = match attempt {
        "" => String::new(),
        attempt => format!("Toucanchute-Attempt: {attempt}\r\n"),
    };
    let len = body.replace(OWN, FIRST).len();
    format!("HTTP/1.1 {status}\r\n{attempt}{fields}Content-Length: {len}\r\n\r\n{body}")
}

/// Returns a model engine's whole answer to the attempt of the request.
pub(crate) fn completion_answer() -> String {
    let usage = json!({"prompt_tokens": 2, "completion_tokens": 3});
    let body = json!({"id": OWN, "choices": [], "usage": usage}).to_string();
    response_to(OWN, "200 OK", "Content-Type: application/json\r\n", &body)
}

/// Returns a model engine's event stream of two tokens to the attempt of the request.
pub(crate) fn stream_answer() -> String {
    let chunk = |offset: u64, finish_reason: Value, usage: Value| {
        let choice = json!({"delta": {"content": "x"}, "finish_reason": finish_reason});
        let chunk = json!({"id": OWN, "offset": offset, "choices": [choice], "usage": usage});
        format!("data: {chunk}\n\n")
    };
    let usage = json!({"prompt_tokens": 2, "completion_tokens": 2});
    let body = [
        chunk(0, Value::Null, Value::Null),
        chunk(1, json!("stop"), usage),
        "data: [DONE]\n\n".to_owned(),
    ];
    let fields = "Content-Type: text/event-stream\r\n";
    response_to(OWN, "200 OK", fields, &body.concat())
}

/// What a caller received.
#[derive(Debug)]
pub(crate) struct Told {
    pub(crate) status: u16,
    /// The problem document, as the whole response or as the last event of a stream, else null.
    pub(crate) problem: Value,
    pub(crate) body: Bytes,
}

impl Told {
    /// Whether the response promises that the request did not run.
    pub(crate) fn promises(&self) -> bool {
        match self.problem["outcome"].as_str() {
            Some(outcome) => outcome == "not-run",
            None => matches!(self.status, 408 | 421 | 429 | 503),
        }
    }
}

/// Sends a request under `key` and reads the whole response.
pub(crate) async fn tell(edge: &TestEdge, path: &str, key: Option<&str>, body: &Value) -> Told {
    let key = key.map(|key| [("idempotency-key", key), ("toucanchute-retry", "0")]);
    let headers = key.as_ref().map_or(&[][..], |key| &key[..]);
    let res = edge.post_with(path, headers, body).await;
    let status = res.status().as_u16();
    let kind = res.headers().get("content-type");
    let is_problem = kind.is_some_and(|kind| kind == "application/problem+json");
    let body = res.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&body);
    let problem = match text.split_once("event: error\ndata: ") {
        _ if is_problem => serde_json::from_slice(&body).unwrap(),
        Some((_, event)) => serde_json::from_str(event).unwrap(),
        None => Value::Null,
    };
    Told {
        status,
        problem,
        body,
    }
}

pub(crate) async fn book(edge: &TestEdge, key: &str) -> Told {
    tell(edge, "/v1/services/vans/book", Some(key), &json!({})).await
}

pub(crate) async fn complete(edge: &TestEdge, stream: bool) -> Told {
    let body = json!({"model": "m", "max_tokens": 20, "stream": stream,
        "messages": [{"role": "user", "content": "why?"}]});
    tell(edge, "/v1/chat/completions", None, &body).await
}

async fn start_edge(backends: &[std::net::SocketAddr]) -> TestEdge {
    TestEdge::start(TestControl::new(backends)).await
}

// Calls that may run only once

/// Calls a service that runs the call and answers with `answer`. The outcome must be unknown, no
/// other server may get the call, and it must not run again under its key.
async fn check_answer_after_run(answer: String) {
    let first = RawBackend::start(vec![vec![Step::Run, Step::Write(answer)]]).await;
    let second = start_services(&[json!({})]).await;
    let edge = start_edge(&[first.backend.address, second[0].address()]).await;
    let told = book(&edge, "k1").await;
    assert_eq!(first.attempts_run(), [FIRST]);
    assert_eq!(told.problem["outcome"], "unknown", "{told:?}");
    assert_eq!(told.status, 502, "{told:?}");
    assert_eq!(edge.control.events().last().unwrap(), "record unknown");
    let again = book(&edge, "k1").await;
    assert_eq!(again.problem["outcome"], "unknown", "{again:?}");
    assert_eq!(first.attempts_run(), [FIRST]);
    let stats = send_request(second[0].address(), "GET", "/stats", &json!({})).await;
    assert_eq!(stats["runs"], 0, "the call was sent again");
}

/// Names tests of services that run a call and answer with these bytes.
macro_rules! ran {
    ($($name:ident: $answer:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_answer_after_run($answer).await;
        }
    )*};
}

// Guard against a status that is taken for a promise, or passed on as one, although the service ran
// the call.
ran! {
    a_503_is_no_promise: response_to(OWN, BUSY, "", "busy");
    a_503_with_a_retry_time_is_no_promise: response_to(OWN, BUSY, "Retry-After: 1\r\n", "busy");
    a_503_without_an_attempt_is_no_promise: response_to("", BUSY, "", "busy");
    a_429_is_no_promise: response_to(OWN, LIMITED, "", "busy");
    a_429_without_an_attempt_is_no_promise: response_to("", LIMITED, "", "busy");
    a_408_is_no_promise: response_to(OWN, LATE_STATUS, "", "late");
    a_421_without_an_attempt_is_no_promise: response_to("", MISDIRECTED, "", "");
    a_503_with_another_outcome_is_no_promise:
        response_to(OWN, BUSY, "Toucanchute-Outcome: unknown\r\n", "");
    a_503_with_two_outcomes_is_no_promise:
        response_to(OWN, BUSY, &format!("{NOT_RUN}Toucanchute-Outcome: failed\r\n"), "");
}

// Guard against a response to another attempt that is taken for one to this attempt.
ran! {
    a_refusal_of_another_attempt_is_no_promise: response_to("other", BUSY, NOT_RUN, "");
    a_refusal_without_an_attempt_is_no_promise: response_to("", BUSY, NOT_RUN, "");
    a_refusal_of_two_attempts_is_no_promise:
        response_to(OWN, BUSY, &format!("{NOT_RUN}Toucanchute-Attempt: other\r\n"), "");
    a_429_of_another_attempt_is_no_promise: response_to("other", LIMITED, NOT_RUN, "");
    a_misdirected_other_attempt_is_no_promise: response_to("other", MISDIRECTED, NOT_RUN, "");
    an_answer_of_another_attempt_reaches_nobody: response_to("other", "200 OK", "", "booked");
    an_error_of_another_attempt_reaches_nobody: response_to("other", "404 Not Found", "", "");
}

// Guard against bytes that are no whole response to the call.
ran! {
    half_a_head_is_no_promise:
        format!("HTTP/1.1 {BUSY}\r\n{NOT_RUN}Toucanchute-Attempt: {OWN}\r\n\r");
    bytes_that_are_no_response_are_no_promise: format!("{BUSY}\r\n\r\n");
    an_interim_refusal_is_no_promise:
        format!("HTTP/1.1 103 Early Hints\r\n{NOT_RUN}Toucanchute-Attempt: {OWN}\r\n\r\n");
}

/// Guards against an answer that breaks off and is taken for a refusal.
#[tokio::test]
async fn half_an_answer_is_no_promise() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_owned();
    let steps = vec![Step::Run, Step::Write(half), Step::Close];
    let first = RawBackend::start(vec![steps]).await;
    let edge = start_edge(&[first.backend.address]).await;
    assert_eq!(book(&edge, "k1").await.problem["outcome"], "unknown");
    assert_eq!(edge.control.events().last().unwrap(), "record unknown");
}

/// Guards against a recorded answer whose status promises, at its replay, that the call did not
/// run.
#[tokio::test]
async fn a_recorded_503_is_no_promise() {
    let edge = start_edge(&[]).await;
    let answer = ServiceAnswer {
        status: 503,
        content_type: String::new(),
        body: Bytes::new(),
    };
    let key = RequestKey::new("gates", b"k1");
    let outcome = CallOutcome::Answer(answer);
    edge.control.record_outcome(key, outcome);
    let told = book(&edge, "k1").await;
    assert_eq!(told.problem["outcome"], "unknown", "{told:?}");
}

/// Guards against a late refusal of an earlier call that reaches a later one over a kept
/// connection.
#[tokio::test]
async fn a_late_refusal_does_not_reach_the_next_call() {
    let answer = response_to(OWN, "200 OK", "", "one");
    let refusal = response_to(OWN, BUSY, NOT_RUN, "");
    let kept = vec![
        Step::Run,
        Step::Write(answer),
        Step::Pause(LATE),
        Step::Write(refusal),
    ];
    let fresh = vec![
        Step::Run,
        Step::Write(response_to(OWN, "200 OK", "", "two")),
    ];
    let only = RawBackend::start(vec![kept, fresh]).await;
    let edge = start_edge(&[only.backend.address]).await;
    assert_eq!(book(&edge, "k1").await.body, "one");
    assert_eq!(book(&edge, "k2").await.body, "two");
    assert_eq!(only.connection_count(), 2, "the connection was kept");
}

/// Guards against a promise for a key of a request that this router rejects, and that another router,
/// with another configuration, may have run.
#[tokio::test]
async fn a_rejected_request_under_a_key_is_no_promise() {
    let edge = start_edge(&[]).await;
    let path = "/v1/services/absent/a";
    let res = edge.post(path, Some("k1"), &json!({})).await;
    assert_eq!(read_json(res).await["outcome"], "unknown");
    let first_try = tell(&edge, path, Some("k1"), &json!({})).await;
    assert_eq!(first_try.problem["outcome"], "not-run", "{first_try:?}");
}

// What is proved

/// Guards against a cautious router that withholds a promise from a caller whose call was refused.
async fn check_refusal_is_believed(status: &str, fields: &str) {
    let answer = response_to(OWN, status, fields, "full");
    let only = RawBackend::start(vec![vec![Step::ReadRequest, Step::Write(answer)]]).await;
    let edge = start_edge(&[only.backend.address]).await;
    let told = book(&edge, "k1").await;
    assert_eq!(told.problem["outcome"], "not-run", "{told:?}");
    assert_eq!(edge.control.events().last().unwrap(), "record not-run");
}

#[tokio::test]
async fn a_refusal_of_this_attempt_is_a_promise() {
    check_refusal_is_believed(BUSY, NOT_RUN).await;
}

#[tokio::test]
async fn a_refusal_of_this_attempt_with_429_is_a_promise() {
    check_refusal_is_believed(LIMITED, NOT_RUN).await;
}

#[tokio::test]
async fn a_misdirected_request_of_this_attempt_is_a_promise() {
    check_refusal_is_believed(MISDIRECTED, "").await;
}

/// Guards against a refusal that is doubted because it arrives before the whole call was read.
#[tokio::test]
async fn a_refusal_before_the_body_was_read_is_a_promise() {
    let refusal = response_to(FIRST, BUSY, NOT_RUN, "");
    let early = RawBackend::start(vec![vec![Step::Read(40), Step::Write(refusal)]]).await;
    let second = start_services(&[json!({})]).await;
    let edge = start_edge(&[early.backend.address, second[0].address()]).await;
    let body = json!({"note": "x".repeat(1_900)});
    let told = tell(&edge, "/v1/services/vans/book", None, &body).await;
    assert_eq!(told.status, 200, "{told:?}");
}

// Where a connection fails

/// Calls a service whose connection ends after `steps`. Unless nothing of the call was received,
/// the caller must be promised nothing.
async fn check_failed_connection(steps: Vec<Step>) {
    let only = RawBackend::start(vec![steps]).await;
    let edge = start_edge(&[only.backend.address]).await;
    let body = json!({"note": "x".repeat(1_900)});
    let told = tell(&edge, "/v1/services/vans/book", None, &body).await;
    assert!(!told.promises() || only.requests_begun() == 0, "{told:?}");
    assert!(told.problem["outcome"].is_string(), "{told:?}");
}

/// Names tests of connections that fail at some point of a call.
macro_rules! fails {
    ($($name:ident: $steps:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_failed_connection($steps.to_vec()).await;
        }
    )*};
}

// Guard against a call that was written in part and counts as not sent.
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
