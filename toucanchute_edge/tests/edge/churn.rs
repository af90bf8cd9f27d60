//! Random callers and faults, checked against an oracle: no caller receives another caller's token,
//! every reservation is settled or released, and every attempt is ended.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use http_body_util::BodyExt as _;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use toucanchute_fakes::Engine;

use crate::{
    support::{ReceivedStream, TestEdge, answer_text_for, send_request, start_engines},
    test_control::TestControl,
};

/// Time after which a caller with no tokens to read disconnects.
const EARLY_DISCONNECT: Duration = Duration::from_millis(2);
const FAULTS: [&str; 9] = [
    "ok",
    "ok",
    "duplicated",
    "reordered",
    "wrong-attempt",
    "malformed",
    "truncated",
    "refuse",
    "crash-on",
];

/// Requests a completion and disconnects after `tokens_to_read` tokens; with 0 it disconnects after
/// [`EARLY_DISCONNECT`]. Returns whether the whole answer was received.
async fn call(edge: Arc<TestEdge>, prompt: String, stream: bool, tokens_to_read: u64) -> bool {
    let body = json!({"model": "m", "stream": stream, "max_tokens": 50,
        "messages": [{"role": "user", "content": prompt}]});
    let answered = edge.post("/v1/chat/completions", None, &body);
    let timeout = if tokens_to_read == 0 {
        EARLY_DISCONNECT
    } else {
        Duration::MAX
    };
    let Ok(res) = tokio::time::timeout(timeout, answered).await else {
        return false;
    };
    if res.status() != 200 {
        let body = res.into_body().collect().await.unwrap().to_bytes();
        let problem: Value = serde_json::from_slice(&body).unwrap();
        assert!(
            problem["outcome"] == "failed" || problem["reason"] == "no-backend",
            "{problem}"
        );
        return false;
    }
    let mut body = res.into_body();
    if stream {
        let read = ReceivedStream::read(&mut body, |stream| stream.tokens >= tokens_to_read).await;
        assert_eq!(read.text, answer_text_for(&prompt, read.tokens));
        assert!(
            read.done || read.error.is_some() || read.tokens >= tokens_to_read,
            "{read:?}"
        );
        return read.done;
    }
    let body: Value = serde_json::from_slice(&body.collect().await.unwrap().to_bytes()).unwrap();
    let tokens = body["usage"]["completion_tokens"].as_u64().unwrap();
    assert_eq!(
        body["choices"][0]["message"]["content"],
        answer_text_for(&prompt, tokens)
    );
    true
}

#[yare::parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn nothing_is_lost(seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let engines = start_engines(&[json!({}), json!({}), json!({})]).await;
    let addresses: Vec<_> = engines.iter().map(Engine::address).collect();
    let edge = Arc::new(TestEdge::start(TestControl::new(&addresses)).await);
    let mut done = 0;
    for round in 0..12 {
        for address in &addresses {
            let mode = FAULTS[rng.random_range(0..FAULTS.len())];
            let fault = json!({"mode": mode, "after": rng.random_range(0..5), "count": 3});
            send_request(*address, "POST", "/fault", &fault).await;
        }
        let calls = (0..8).map(|i| {
            let prompt = format!("prompt {i} of round {round}");
            let tokens_to_read = if rng.random() {
                u64::MAX
            } else {
                rng.random_range(0..6)
            };
            tokio::spawn(call(
                Arc::clone(&edge),
                prompt,
                rng.random(),
                tokens_to_read,
            ))
        });
        let calls: Vec<_> = calls.collect();
        for call in join_all(calls).await {
            done += u64::from(call.unwrap());
        }
    }
    let balanced = async {
        while !edge.control.is_balanced() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let balanced = tokio::time::timeout(Duration::from_secs(20), balanced).await;
    assert!(balanced.is_ok(), "{:?}", edge.control.events());
    let settled = edge.control.count(&["settled"]);
    assert!(
        done >= 20 && settled >= done,
        "{done} done, {settled} settled"
    );
}
