use std::time::Duration;

use toucanchute_call::{CallError, Caller, CallerOptions, Request};
use toucanchute_proto::api::Outcome;

use crate::scripted::{Router, cut_stream, problem, whole_answer};

const BUSY: &str = "{\"reason\":\"overloaded\",\"outcome\":\"not-run\",\"retryable\":true}";
const EXHAUSTED: &str = "{\"reason\":\"budget-exhausted\",\"outcome\":\"not-run\"}";
const PARTIAL: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n";

fn options() -> CallerOptions {
    CallerOptions {
        max_tries: 3,
        retry_delay: Duration::from_millis(1),
        max_retry_delay: Duration::from_millis(5),
        try_timeout: Duration::from_secs(20),
        first_address: None,
    }
}

fn request() -> Request {
    Request::completion("m", "p", 9)
}

/// Defines test cases with a single router: the router's replies, and a check of the result that
/// the caller returns.
macro_rules! single_router {
    ($($name:ident: $replies:expr => $check:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let replies: Vec<String> = $replies;
            let replies: Vec<&str> = replies.iter().map(String::as_str).collect();
            let router = Router::start(&replies);
            let caller = Caller::new(vec![router.address], "t", options());
            let result = caller.send(&request().streamed().fresh_key(), "k").await;
            let check: fn(Result<_, CallError>) = $check;
            check(result);
            let keys = router.requests().iter().filter(|r| r.contains("idempotency-key: k\r\n")).count();
            assert_eq!(keys, replies.len());
            for (i, sent) in router.requests().iter().enumerate() {
                // Tries with outcome `not-run` are not counted as earlier tries.
                let reported_not_run = |reply: &&&str| reply.contains("\"outcome\":\"not-run\"");
                let earlier = i - replies[..i].iter().filter(reported_not_run).count();
                assert!(sent.contains(&format!("toucanchute-retry: {earlier}\r\n")), "{sent}");
            }
        }
    )*};
}

single_router! {
    retryable_refusal_is_tried_again: vec![
        problem("429 Too Many Requests", "retry-after: 1\r\n", BUSY),
        stream(),
    ] => |result: Result<toucanchute_call::Answer, _>| {
        let answer = result.unwrap();
        assert_eq!((answer.tries, answer.text.as_str()), (2, "a "));
    };
    final_refusal_is_not_tried_again: vec![
        problem("402 Payment Required", "", EXHAUSTED),
    ] => |result: Result<toucanchute_call::Answer, _>| {
        let err = result.unwrap_err();
        assert_eq!((err.reason(), err.outcome()), ("budget-exhausted", Outcome::NotRun));
    };
    cut_stream_is_tried_again: vec![cut_stream(PARTIAL), stream()]
        => |result: Result<toucanchute_call::Answer, _>| {
        assert_eq!(result.unwrap().text, "a ");
    };
    stream_without_end_mark_is_tried_again: vec![
        stream().replace("data: [DONE]", ": no  mark "),
        stream(),
    ] => |result: Result<toucanchute_call::Answer, _>| {
        assert_eq!(result.unwrap().tries, 2);
    };
    end_mark_without_last_chunk_is_tried_again: vec![
        event_stream(&format!("{PARTIAL}data: [DONE]\n\n")),
        stream(),
    ] => |result: Result<toucanchute_call::Answer, _>| {
        assert_eq!(result.unwrap().tries, 2);
    };
    error_event_ends_a_stream: vec![
        event_stream(&format!("{PARTIAL}event: error\ndata: {EXHAUSTED}\n\n")),
    ] => |result: Result<toucanchute_call::Answer, _>| {
        assert_eq!(result.unwrap_err().reason(), "budget-exhausted");
    };
    tries_are_limited: vec![String::new(), String::new(), String::new()]
        => |result: Result<toucanchute_call::Answer, _>| {
        let err = result.unwrap_err();
        assert!(matches!(err, CallError::Unreachable { tries: 3, .. }), "{err}");
        assert_eq!(err.outcome(), Outcome::Unknown);
    };
}

#[tokio::test]
async fn unreachable_address_is_skipped() {
    let router = Router::start(&[&whole_answer("x"), &whole_answer("x")]);
    let dead = "127.0.0.1:1".parse().unwrap();
    router.advertise(&[dead, router.address]);
    let caller = Caller::new(vec![dead, router.address], "t", options());
    // The first tries of the two keys go to different addresses of the list.
    let a = caller.send(&request(), "a").await.unwrap();
    let b = caller.send(&request(), "b").await.unwrap();
    assert_eq!((a.address, b.address), (router.address, router.address));
    assert_eq!(a.tries + b.tries, 3);
}

#[tokio::test]
async fn first_address_is_tried_first() {
    let (first, other) = (Router::start(&[""]), Router::start(&[&whole_answer("x")]));
    let options = CallerOptions {
        first_address: Some(first.address),
        ..options()
    };
    let caller = Caller::new(vec![other.address], "t", options);
    let answer = caller.send(&request(), "k").await.unwrap();
    assert_eq!((answer.address, answer.tries), (other.address, 2));
    assert_eq!(first.requests().len(), 1);
}

#[tokio::test]
async fn retry_goes_to_suggested_address() {
    let other = Router::start(&[&whole_answer("from the other")]);
    let body = format!(
        "{{\"retryable\":true,\"outcome\":\"not-run\",\"elsewhere\":\"{}\"}}",
        other.address
    );
    let router = Router::start(&[&problem("429 Too Many Requests", "", &body)]);
    let caller = Caller::new(vec![router.address], "t", options());
    let answer = caller.send(&request(), "k").await.unwrap();
    assert!(!other.requests()[0].contains("toucanchute-retry"));
    assert_eq!(answer.address, other.address);
    assert_eq!(answer.text, "from the other");
}

fn stream() -> String {
    let end = "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";
    event_stream(&format!("{PARTIAL}{end}"))
}

fn event_stream(events: &str) -> String {
    crate::scripted::ok("text/event-stream", events)
}
