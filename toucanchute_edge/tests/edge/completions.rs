use std::time::Duration;

use http_body_util::BodyExt as _;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
};
use toucanchute_edge::RefusalReason;

use crate::{
    support::{Bench, PROMPT, Stream, answer, engines, json_of, request},
    test_control::TestControl,
};

async fn bench(faults: &[Value]) -> (Bench, Vec<toucanchute_fakes::Engine>) {
    let engines = engines(faults).await;
    let addresses: Vec<_> = engines
        .iter()
        .map(toucanchute_fakes::Engine::address)
        .collect();
    (Bench::start(TestControl::new(&addresses)).await, engines)
}

/// The first of two engines has a fault; the caller gets the whole answer, billed once.
macro_rules! fault_cases {
    ($($name:ident: $stream:literal, $fault:tt, $reported:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let (bench, _engines) = bench(&[json!($fault), json!({})]).await;
            let res = bench.complete($stream).await;
            assert_eq!(res.status(), 200);
            let (text, tokens) = if $stream {
                let stream = Stream::read(&mut res.into_body(), |_| false).await;
                assert!(stream.done, "{stream:?}");
                assert!(stream.ids.iter().all(|id| *id == stream.ids[0]));
                (stream.text, stream.tokens)
            } else {
                let body = json_of(res).await;
                let text = body["choices"][0]["message"]["content"].as_str().unwrap().to_owned();
                (text, body["usage"]["completion_tokens"].as_u64().unwrap())
            };
            assert!(tokens >= 4);
            assert_eq!(text, answer(tokens));
            let billed = tokens + toucanchute_fakes::prompt_tokens(PROMPT);
            let mut expected = vec!["reserve".to_owned()];
            if !$reported.is_empty() {
                expected.push($reported.to_owned());
            }
            let end = [format!("done {billed}"), "settling".to_owned(), format!("settled {billed}")];
            expected.extend(end);
            assert_eq!(bench.control.noted(), expected);
        }
    )*};
}

fault_cases! {
    stream_works: true, {}, "";
    stream_drops_duplicates: true, {"mode": "duplicated"}, "";
    stream_outlives_crash: true, {"mode": "crash-on", "after": 2}, "crashed Disconnected";
    stream_outlives_early_crash: true, {"mode": "crash-on", "after": 0}, "crashed Disconnected";
    stream_outlives_truncation: true, {"mode": "truncated", "after": 2}, "crashed Disconnected";
    stream_outlives_garbage: true, {"mode": "malformed", "after": 2}, "crashed Malformed";
    stream_outlives_foreign_chunk: true, {"mode": "wrong-attempt"}, "crashed Malformed";
    stream_outlives_reordering: true, {"mode": "reordered"}, "crashed Malformed";
    stream_outlives_stall: true, {"mode": "hang", "after": 2}, "crashed TimedOut";
    stream_outlives_refusal: true, {"mode": "refuse"}, "refused";
    whole_works: false, {}, "";
    whole_outlives_crash: false, {"mode": "crash-on", "after": 2}, "crashed Disconnected";
    whole_outlives_garbage: false, {"mode": "malformed"}, "crashed Malformed";
    whole_outlives_foreign_answer: false, {"mode": "wrong-attempt"}, "crashed Malformed";
    whole_outlives_refusal: false, {"mode": "refuse"}, "refused";
}

#[tokio::test]
async fn end_waits_for_bill() {
    let (bench, _engines) = bench(&[json!({})]).await;
    bench.control.commits.send_replace(false);
    let mut body = bench.complete(true).await.into_body();
    let noted = bench.control.wait_for("done").await;
    let billed: u64 = noted[1].strip_prefix("done ").unwrap().parse().unwrap();
    let tokens = billed - toucanchute_fakes::prompt_tokens(PROMPT);
    let text = Stream::read(&mut body, |stream| stream.tokens == tokens).await;
    assert!(!text.finished && !text.done);
    let early = tokio::time::timeout(Duration::from_millis(100), body.frame()).await;
    assert!(early.is_err(), "{early:?}");
    bench.control.commits.send_replace(true);
    let rest = body.collect().await.unwrap().to_bytes();
    let rest = String::from_utf8(rest.into()).unwrap();
    assert!(rest.contains("finish_reason\":\"stop"));
    assert!(rest.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn stream_resumes_where_it_broke() {
    let (bench, engines) = bench(&[json!({"mode": "truncated", "after": 2}), json!({})]).await;
    let mut body = bench.complete(true).await.into_body();
    Stream::read(&mut body, |_| false).await;
    let stats = request(engines[1].address(), "GET", "/stats", &json!({})).await;
    let runs = stats["runs_by_attempt"].as_object().unwrap();
    assert_eq!(runs.len(), 1);
    assert!(
        runs.values().all(|run| run["resumed_from"] == 2),
        "{runs:?}"
    );
}

/// An answer whose head names another attempt is not delivered, whatever its body says.
#[tokio::test]
async fn head_of_another_attempt_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let bench = Bench::start(TestControl::new(&[listener.local_addr().unwrap()])).await;
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
    let (res, ()) = tokio::join!(bench.complete(false), engine);
    assert_eq!(res.status(), 503);
    let noted = bench.control.noted();
    assert_eq!(noted, ["reserve", "crashed Malformed", "release"]);
}

#[tokio::test]
async fn whole_answer_waits_for_bill() {
    let (bench, _engines) = bench(&[json!({})]).await;
    bench.control.commits.send_replace(false);
    let answered = bench.complete(false);
    tokio::pin!(answered);
    tokio::select! {
        _ = &mut answered => panic!("answered before the bill"),
        _ = bench.control.wait_for("settling") => {}
    }
    bench.control.commits.send_replace(true);
    assert_eq!(answered.await.status(), 200);
}

#[tokio::test]
async fn caller_who_leaves_is_billed_for_what_came() {
    let (bench, engines) = bench(&[json!({"mode": "slow", "ms": 50})]).await;
    let mut body = bench.complete(true).await.into_body();
    Stream::read(&mut body, |stream| stream.tokens > 0).await;
    drop(body);
    let noted = bench.control.wait_for("settled").await;
    assert_eq!(noted[1], "cancelled");
    loop {
        let stats = request(engines[0].address(), "GET", "/stats", &json!({})).await;
        let runs = stats["runs_by_attempt"].as_object().unwrap();
        if runs.values().all(|run| run["ended"] == "broken") {
            return;
        }
    }
}

#[tokio::test]
async fn caller_who_leaves_before_a_token_is_not_billed() {
    let (bench, _engines) = bench(&[json!({"mode": "hang"})]).await;
    tokio::select! {
        _ = bench.complete(true) => panic!("answered"),
        _ = bench.control.wait_for("reserve") => {}
    }
    let noted = bench.control.wait_for("release").await;
    assert!(!noted.iter().any(|event| event.starts_with("settl")));
}

#[tokio::test]
async fn caller_who_leaves_at_the_end_is_billed() {
    let (bench, _engines) = bench(&[json!({})]).await;
    bench.control.commits.send_replace(false);
    let body = bench.complete(true).await.into_body();
    bench.control.wait_for("settling").await;
    drop(body);
    bench.control.commits.send_replace(true);
    bench.control.wait_for("settled").await;
}

#[tokio::test]
async fn broken_stream_ends_with_an_error() {
    let (bench, _engines) = bench(&[json!({"mode": "crash-on", "after": 2})]).await;
    let mut body = bench.complete(true).await.into_body();
    let stream = Stream::read(&mut body, |_| false).await;
    let error = stream.error.unwrap();
    assert!(!stream.done && !stream.finished);
    assert_eq!(error["outcome"], "failed");
    assert_eq!(error["reason"], "no-backend");
    let noted = bench.control.noted();
    assert_eq!(noted, ["reserve", "crashed Disconnected", "release"]);
}

#[tokio::test]
async fn refusals_by_all_tried_are_not_run() {
    let (bench, _engines) = bench(&vec![json!({"mode": "refuse"}); 5]).await;
    let res = bench.complete(true).await;
    assert_eq!(res.status(), 503);
    assert_eq!(res.headers()["retry-after"], "1");
    let problem = json_of(res).await;
    assert_eq!(problem["reason"], "backend-failed");
    assert_eq!(problem["outcome"], "not-run");
    assert_eq!(bench.control.count(&["refused"]), 4);
}

/// Work that is assigned too late is not sent.
#[tokio::test]
async fn late_assignment_is_not_used() {
    let (bench, _engines) = bench(&[json!({})]).await;
    let body = json!({"model": "m", "prompt": "p"});
    let headers = [("toucanchute-deadline-ms", "0")];
    let res = bench.post_with("/v1/completions", &headers, &body).await;
    assert_eq!(res.status(), 504);
    assert_eq!(json_of(res).await["outcome"], "not-run");
    assert_eq!(bench.control.noted(), ["reserve", "unsent", "release"]);
}

#[tokio::test]
async fn answer_is_cut_to_the_reservation() {
    let engines = engines(&[json!({})]).await;
    let mut control = TestControl::new(&[engines[0].address()]);
    // 26 bytes of prompt are 13 + 8 tokens.
    control.budget = 24;
    let bench = Bench::start(control).await;
    let body = json_of(bench.complete(false).await).await;
    assert_eq!(body["usage"]["completion_tokens"], 3);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[tokio::test]
async fn reservation_below_the_prompt_is_refused() {
    let engines = engines(&[json!({})]).await;
    let mut control = TestControl::new(&[engines[0].address()]);
    control.budget = 21;
    let bench = Bench::start(control).await;
    let res = bench.complete(true).await;
    assert_eq!(res.status(), 402);
    assert_eq!(bench.control.noted(), ["reserve", "release"]);
}

#[tokio::test]
async fn answer_without_bill_has_no_end() {
    let engines = engines(&[json!({})]).await;
    let mut control = TestControl::new(&[engines[0].address()]);
    control.settle_refusal = Some(RefusalReason::GrantReclaimed);
    let bench = Bench::start(control).await;
    let mut body = bench.complete(true).await.into_body();
    let stream = Stream::read(&mut body, |_| false).await;
    let error = stream.error.unwrap();
    assert!(!stream.done && !stream.finished);
    assert_eq!(error["reason"], "grant-reclaimed");
    assert_eq!(error["outcome"], "failed");
    let res = bench.complete(false).await;
    assert_eq!(res.status(), 503);
    assert_eq!(json_of(res).await["outcome"], "failed");
}

/// A caller's own deadline cancels the work and counts against no engine.
#[yare::parameterized(stream = { true }, whole = { false })]
#[test_macro(tokio::test)]
async fn own_deadline_passes(stream: bool) {
    let (bench, _engines) = bench(&[json!({"mode": "hang"}), json!({})]).await;
    let body = json!({"model": "m", "stream": stream, "prompt": "p"});
    let headers = [("toucanchute-deadline-ms", "50")];
    let res = bench.post_with("/v1/completions", &headers, &body).await;
    assert_eq!(res.status(), 504);
    assert_eq!(json_of(res).await["outcome"], "failed");
    let noted = bench.control.noted();
    assert_eq!(noted, ["reserve", "cancelled", "release"]);
}

#[tokio::test]
async fn shutdown_waits_for_streams() {
    let (bench, _engines) = bench(&[json!({"mode": "slow", "ms": 20})]).await;
    let mut body = bench.complete(true).await.into_body();
    Stream::read(&mut body, |stream| stream.tokens > 0).await;
    bench.stop.send(()).unwrap();
    body.frame().await.unwrap().unwrap();
    body.frame().await.unwrap().unwrap();
    assert!(!bench.served.is_finished());
    let rest = body.collect().await.unwrap().to_bytes();
    assert!(rest.ends_with(b"data: [DONE]\n\n"));
    bench.served.await.unwrap();
}

/// A refused request is answered at once, with the status of its reason.
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
async fn refused(reason: RefusalReason, status: u16, name: &str, retryable: bool) {
    let mut control = TestControl::new(&[]);
    control.unready = Some(reason);
    let bench = Bench::start(control).await;
    let res = bench.complete(true).await;
    assert_eq!(res.status(), status);
    assert_eq!(res.headers()["content-type"], "application/problem+json");
    assert_eq!(res.headers()["retry-after"], "2");
    let problem = json_of(res).await;
    assert_eq!(problem["reason"], name);
    assert_eq!(problem["retryable"], retryable);
    assert_eq!(problem["outcome"], "not-run");
}
