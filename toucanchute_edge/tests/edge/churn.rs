//! Random callers and faults against an oracle: nobody gets another's token, and nothing that was
//! reserved or assigned is left behind.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use http_body_util::BodyExt as _;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use toucanchute_fakes::Engine;

use crate::{
    support::{Bench, Stream, answer_to, engines, request},
    test_control::TestControl,
};

/// Time after which a caller without patience leaves.
const IMPATIENT: Duration = Duration::from_millis(2);
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

async fn call(bench: Arc<Bench>, prompt: String, stream: bool, patience: u64) -> bool {
    let body = json!({"model": "m", "stream": stream, "max_tokens": 50,
        "messages": [{"role": "user", "content": prompt}]});
    let answered = bench.post("/v1/chat/completions", None, &body);
    let longest = if patience == 0 {
        IMPATIENT
    } else {
        Duration::MAX
    };
    let Ok(res) = tokio::time::timeout(longest, answered).await else {
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
        let read = Stream::read(&mut body, |stream| stream.tokens >= patience).await;
        assert_eq!(read.text, answer_to(&prompt, read.tokens));
        assert!(
            read.done || read.error.is_some() || read.tokens >= patience,
            "{read:?}"
        );
        return read.done;
    }
    let body: Value = serde_json::from_slice(&body.collect().await.unwrap().to_bytes()).unwrap();
    let tokens = body["usage"]["completion_tokens"].as_u64().unwrap();
    assert_eq!(
        body["choices"][0]["message"]["content"],
        answer_to(&prompt, tokens)
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
    let engines = engines(&[json!({}), json!({}), json!({})]).await;
    let addresses: Vec<_> = engines.iter().map(Engine::address).collect();
    let bench = Arc::new(Bench::start(TestControl::new(&addresses)).await);
    let mut done = 0;
    for round in 0..12 {
        for address in &addresses {
            let mode = FAULTS[rng.random_range(0..FAULTS.len())];
            let fault = json!({"mode": mode, "after": rng.random_range(0..5), "count": 3});
            request(*address, "POST", "/fault", &fault).await;
        }
        let calls = (0..8).map(|i| {
            let prompt = format!("prompt {i} of round {round}");
            let patience = if rng.random() {
                u64::MAX
            } else {
                rng.random_range(0..6)
            };
            tokio::spawn(call(Arc::clone(&bench), prompt, rng.random(), patience))
        });
        let calls: Vec<_> = calls.collect();
        for call in join_all(calls).await {
            done += u64::from(call.unwrap());
        }
    }
    let balanced = async {
        while !bench.control.is_balanced() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let balanced = tokio::time::timeout(Duration::from_secs(20), balanced).await;
    assert!(balanced.is_ok(), "{:?}", bench.control.noted());
    let settled = bench.control.count(&["settled"]);
    assert!(
        done >= 20 && settled >= done,
        "{done} done, {settled} settled"
    );
}
