use std::time::Duration;

use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};
use toucanchute_edge::RefusalReason;

use crate::{
    support::{
        PROMPT, ReceivedStream, TestEdge, answer_text, read_json, send_request, start_engines,
    },
    test_control::TestControl,
};

async fn start_edge(faults: &[Value]) -> (TestEdge, Vec<toucanchute_fakes::Engine>) {
    let engines = start_engines(faults).await;
    let addresses: Vec<_> = engines
        .iter()
        .map(toucanchute_fakes::Engine::address)
        .collect();
    (TestEdge::start(TestControl::new(&addresses)).await, engines)
}

/// Checks that the caller receives the whole answer, billed once, when the first of two engines
/// has a fault.
macro_rules! fault_cases {
    ($($name:ident: $stream:literal, $fault:tt, $reported:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (edge, _engines) = start_edge(&[json!($fault), json!({})]).await;
            let res = edge.complete($stream).await;
            assert_eq!(res.status(), 200);
            let (text, tokens) = if $stream {
                let stream = ReceivedStream::read(&mut res.into_body(), |_| false).await;
                assert!(stream.done, "{stream:?}");
                assert!(stream.ids.iter().all(|id| *id == stream.ids[0]));
                (stream.text, stream.tokens)
            } else {
                let body = read_json(res).await;
                let text = body["choices"][0]["message"]["content"].as_str().unwrap().to_owned();
                (text, body["usage"]["completion_tokens"].as_u64().unwrap())
            };
            assert!(tokens >= 4);
            assert_eq!(text, answer_text(tokens));
            let billed = tokens + toucanchute_fakes::prompt_tokens(PROMPT);
            let mut expected = vec!["reserve".to_owned()];
            if !$reported.is_empty() {
                expected.push($reported.to_owned());
            }
            let end = [format!("done {billed}"), "settling".to_owned(), format!("settled {billed}")];
            expected.extend(end);
            assert_eq!(edge.control.events(), expected);
        }
    )*};
}

fault_cases! {
    stream_works: true, {}, "";
    stream_drops_duplicates: true, {"mode": "duplicated"}, "";
    stream_survives_crash: true, {"mode": "crash-on", "after": 2}, "crashed Disconnected";
    stream_survives_early_crash: true, {"mode": "crash-on", "after": 0}, "crashed Disconnected";
    stream_survives_truncation: true, {"mode": "truncated", "after": 2}, "crashed Disconnected";
    stream_survives_garbage: true, {"mode": "malformed", "after": 2}, "crashed Malformed";
    stream_survives_foreign_chunk: true, {"mode": "wrong-attempt"}, "crashed Malformed";
    stream_survives_reordering: true, {"mode": "reordered"}, "crashed Malformed";
    stream_survives_stall: true, {"mode": "hang", "after": 2}, "crashed TimedOut";
    stream_survives_refusal: true, {"mode": "refuse"}, "refused";
    whole_works: false, {}, "";
    whole_survives_crash: false, {"mode": "crash-on", "after": 2}, "crashed Disconnected";
    whole_survives_garbage: false, {"mode": "malformed"}, "crashed Malformed";
    whole_survives_foreign_answer: false, {"mode": "wrong-attempt"}, "crashed Malformed";
    whole_survives_refusal: false, {"mode": "refuse"}, "refused";
}

#[tokio::test]
async fn end_of_stream_waits_for_bill() {
    let (edge, _engines) = start_edge(&[json!({})]).await;
    edge.control.commits_allowed.send_replace(false);
    let mut body = edge.complete(true).await.into_body();
    let events = edge.control.wait_for("done").await;
    let billed: u64 = events[1].strip_prefix("done ").unwrap().parse().unwrap();
    let tokens = billed - toucanchute_fakes::prompt_tokens(PROMPT);
    let text = ReceivedStream::read(&mut body, |stream| stream.tokens == tokens).await;
    assert!(!text.finished && !text.done);
    let early = tokio::time::timeout(Duration::from_millis(100), body.frame()).await;
    assert!(early.is_err(), "{early:?}");
    edge.control.commits_allowed.send_replace(true);
    let rest = body.collect().await.unwrap().to_bytes();
    let rest = String::from_utf8(rest.into()).unwrap();
    assert!(rest.contains("finish_reason\":\"stop"));
    assert!(rest.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn stream_resumes_after_received_tokens() {
    let (edge, engines) = start_edge(&[json!({"mode": "truncated", "after": 2}), json!({})]).await;
    let mut body = edge.complete(true).await.into_body();
    ReceivedStream::read(&mut body, |_| false).await;
    let stats = send_request(engines[1].address(), "GET", "/stats", &json!({})).await;
    let runs = stats["runs_by_attempt"].as_object().unwrap();
    assert_eq!(runs.len(), 1);
    assert!(
        runs.values().all(|run| run["resumed_from"] == 2),
        "{runs:?}"
    );
}

/// A response whose head names another attempt is not delivered, even if its body names the right
/// attempt.
#[tokio::test]
async fn response_to_another_attempt_is_rejected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let edge = TestEdge::start(TestControl::new(&[listener.local_addr().unwrap()])).await;
    let engine = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await.unwrap();
        let body =
            r#"{"id":"0000000000000005-1","usage":{"prompt_tokens":1,"completion_tokens":1}}"#;
        let head = format!(
            "toucanchute-attempt: other\r\ncontent-length: {}",
            body.len()
        );
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.unwrap();
    };
    let (res, ()) = tokio::join!(edge.complete(false), engine);
    assert_eq!(res.status(), 503);
    let events = edge.control.events();
    assert_eq!(events, ["reserve", "crashed Malformed", "release"]);
}

#[tokio::test]
async fn whole_answer_waits_for_bill() {
    let (edge, _engines) = start_edge(&[json!({})]).await;
    edge.control.commits_allowed.send_replace(false);
    let answered = edge.complete(false);
    tokio::pin!(answered);
    tokio::select! {
        _ = &mut answered => panic!("answered before the bill"),
        _ = edge.control.wait_for("settling") => {}
    }
    edge.control.commits_allowed.send_replace(true);
    assert_eq!(answered.await.status(), 200);
}

#[tokio::test]
async fn caller_that_disconnects_is_billed_for_received_tokens() {
    let (edge, engines) = start_edge(&[json!({"mode": "slow", "ms": 50})]).await;
    let mut body = edge.complete(true).await.into_body();
    ReceivedStream::read(&mut body, |stream| stream.tokens > 0).await;
    drop(body);
    let events = edge.control.wait_for("settled").await;
    assert_eq!(events[1], "cancelled");
    loop {
        let stats = send_request(engines[0].address(), "GET", "/stats", &json!({})).await;
        let runs = stats["runs_by_attempt"].as_object().unwrap();
        if runs.values().all(|run| run["ended"] == "broken") {
            return;
        }
    }
}

#[tokio::test]
async fn caller_that_disconnects_before_a_token_is_not_billed() {
    let (edge, _engines) = start_edge(&[json!({"mode": "hang"})]).await;
    tokio::select! {
        _ = edge.complete(true) => panic!("answered"),
        _ = edge.control.wait_for("reserve") => {}
    }
    let events = edge.control.wait_for("release").await;
    assert!(!events.iter().any(|event| event.starts_with("settl")));
}

#[tokio::test]
async fn caller_that_disconnects_at_the_end_is_billed() {
    let (edge, _engines) = start_edge(&[json!({})]).await;
    edge.control.commits_allowed.send_replace(false);
    let body = edge.complete(true).await.into_body();
    edge.control.wait_for("settling").await;
    drop(body);
    edge.control.commits_allowed.send_replace(true);
    edge.control.wait_for("settled").await;
}

#[tokio::test]
async fn broken_stream_ends_with_an_error() {
    let (edge, _engines) = start_edge(&[json!({"mode": "crash-on", "after": 2})]).await;
    let mut body = edge.complete(true).await.into_body();
    let stream = ReceivedStream::read(&mut body, |_| false).await;
    let error = stream.error.unwrap();
    assert!(!stream.done && !stream.finished);
    assert_eq!(error["outcome"], "failed");
    assert_eq!(error["reason"], "no-backend");
    let events = edge.control.events();
    assert_eq!(events, ["reserve", "crashed Disconnected", "release"]);
}

#[tokio::test]
async fn request_refused_by_all_backends_is_not_run() {
    let (edge, _engines) = start_edge(&vec![json!({"mode": "refuse"}); 5]).await;
    let res = edge.complete(true).await;
    assert_eq!(res.status(), 503);
    assert_eq!(res.headers()["retry-after"], "1");
    let problem = read_json(res).await;
    assert_eq!(problem["reason"], "backend-failed");
    assert_eq!(problem["outcome"], "not-run");
    assert_eq!(edge.control.count(&["refused"]), 4);
}

/// A request that is assigned a backend server only after its deadline is not sent.
#[tokio::test]
async fn assignment_after_deadline_is_not_sent() {
    let (edge, _engines) = start_edge(&[json!({})]).await;
    let body = json!({"model": "m", "prompt": "p"});
    let headers = [("toucanchute-deadline-ms", "0")];
    let res = edge.post_with("/v1/completions", &headers, &body).await;
    assert_eq!(res.status(), 504);
    assert_eq!(read_json(res).await["outcome"], "not-run");
    assert_eq!(edge.control.events(), ["reserve", "nottried", "release"]);
}

#[tokio::test]
async fn answer_is_limited_to_the_reservation() {
    let engines = start_engines(&[json!({})]).await;
    let mut control = TestControl::new(&[engines[0].address()]);
    // 26 bytes of prompt are estimated as 13 tokens, plus 8 for the message.
    control.budget = 24;
    let edge = TestEdge::start(control).await;
    let body = read_json(edge.complete(false).await).await;
    assert_eq!(body["usage"]["completion_tokens"], 3);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[tokio::test]
async fn reservation_below_the_prompt_is_refused() {
    let engines = start_engines(&[json!({})]).await;
    let mut control = TestControl::new(&[engines[0].address()]);
    control.budget = 21;
    let edge = TestEdge::start(control).await;
    let res = edge.complete(true).await;
    assert_eq!(res.status(), 402);
    assert_eq!(edge.control.events(), ["reserve", "release"]);
}

#[tokio::test]
async fn unbilled_answer_ends_with_an_error() {
    let engines = start_engines(&[json!({})]).await;
    let mut control = TestControl::new(&[engines[0].address()]);
    control.settle_refusal = Some(RefusalReason::GrantReclaimed);
    let edge = TestEdge::start(control).await;
    let mut body = edge.complete(true).await.into_body();
    let stream = ReceivedStream::read(&mut body, |_| false).await;
    let error = stream.error.unwrap();
    assert!(!stream.done && !stream.finished);
    assert_eq!(error["reason"], "grant-reclaimed");
    assert_eq!(error["outcome"], "failed");
    let res = edge.complete(false).await;
    assert_eq!(res.status(), 503);
    assert_eq!(read_json(res).await["outcome"], "failed");
}

/// When a deadline set by the caller passes, the attempt is cancelled and not reported as a failure
/// of the engine.
#[yare::parameterized(stream = { true }, whole = { false })]
#[test_macro(tokio::test)]
async fn caller_deadline_cancels_the_attempt(stream: bool) {
    let (edge, _engines) = start_edge(&[json!({"mode": "hang"}), json!({})]).await;
    let body = json!({"model": "m", "stream": stream, "prompt": "p"});
    let headers = [("toucanchute-deadline-ms", "50")];
    let res = edge.post_with("/v1/completions", &headers, &body).await;
    assert_eq!(res.status(), 504);
    assert_eq!(read_json(res).await["outcome"], "failed");
    let events = edge.control.events();
    assert_eq!(events, ["reserve", "cancelled", "release"]);
}

#[tokio::test]
async fn shutdown_waits_for_streams() {
    let (edge, _engines) = start_edge(&[json!({"mode": "slow", "ms": 20})]).await;
    let mut body = edge.complete(true).await.into_body();
    ReceivedStream::read(&mut body, |stream| stream.tokens > 0).await;
    edge.shutdown.send(()).unwrap();
    body.frame().await.unwrap().unwrap();
    body.frame().await.unwrap().unwrap();
    assert!(!edge.server_task.is_finished());
    let rest = body.collect().await.unwrap().to_bytes();
    assert!(rest.ends_with(b"data: [DONE]\n\n"));
    edge.server_task.await.unwrap();
}

/// A refused request receives a response at once, with the status of its reason.
#[yare::parameterized(
    budget = { RefusalReason::BudgetExhausted, 402, "budget-exhausted", false },
    overload = { RefusalReason::Overloaded, 429, "overloaded", true },
    in_progress = { RefusalReason::InProgress, 409, "in-progress", true },
    reused = { RefusalReason::KeyReused, 422, "key-reused", false },
    quarantined = { RefusalReason::Quarantined, 422, "quarantined", false },
    expired = { RefusalReason::KeyExpired, 410, "key-expired", false },
    draining = { RefusalReason::Draining, 503, "draining", true },
    stale = { RefusalReason::StaleView, 503, "stale-view", true },
)]
#[test_macro(tokio::test)]
async fn refusal_has_its_status(reason: RefusalReason, status: u16, name: &str, retryable: bool) {
    let mut control = TestControl::new(&[]);
    control.unready = Some(reason);
    let edge = TestEdge::start(control).await;
    let res = edge.complete(true).await;
    assert_eq!(res.status(), status);
    assert_eq!(res.headers()["content-type"], "application/problem+json");
    assert_eq!(res.headers()["retry-after"], "2");
    let problem = read_json(res).await;
    assert_eq!(problem["reason"], name);
    assert_eq!(problem["retryable"], retryable);
    assert_eq!(problem["outcome"], "not-run");
}
