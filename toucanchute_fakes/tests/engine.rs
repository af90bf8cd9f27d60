//! Tests of answers and faults of the fake model engine.

#[path = "support/http.rs"]
mod http_client;

use http::Method;
use http_client::{Answer, get_json, post, send};
use toucanchute_fakes::{Engine, EngineOptions, Fencing, answer_token};
use yare::parameterized;

const PROMPT: &str = "why does the gate hum";
const TOKENS: u64 = 6;

async fn engine() -> Engine {
    engine_with_queue(1).await
}

async fn engine_with_queue(queue: usize) -> Engine {
    let options = EngineOptions {
        first_token_ms: 0,
        token_ms: 0,
        load_lag_ms: 0,
        event_lag_ms: 0,
        capacity: 1,
        queue,
        ..EngineOptions::default()
    };
    Engine::bind("127.0.0.1:0".parse().unwrap(), options)
        .await
        .unwrap()
}

async fn complete(engine: &Engine, attempt: &str, stream: bool, extra: &str) -> Answer {
    let body = format!(
        r#"{{"model":"m","messages":[{{"role":"user","content":"{PROMPT}"}}],
        "max_tokens":{TOKENS},"stream":{stream}{extra}}}"#
    );
    let headers = [("toucanchute-attempt", attempt)];
    send(
        engine.address(),
        Method::POST,
        "/v1/chat/completions",
        &headers,
        &body,
    )
    .await
}

async fn set_fault(engine: &Engine, body: &str) {
    assert_eq!(post(engine.address(), "/fault", body).await.unwrap().0, 200);
}

/// Waits until a counter of the load report has a value.
async fn wait_for_load(engine: &Engine, counter: &str, count: u64) {
    while get_json(engine.address(), "/v1/load").await[counter] != count {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

fn answer_text(from: u64, to: u64) -> String {
    (from..to).map(|i| answer_token(PROMPT, i)).collect()
}

/// Returns the offsets of the chunks, their text, and whether the stream ended with `[DONE]`.
fn read_stream(body: &str) -> (Vec<u64>, String, bool) {
    let (mut offsets, mut answer_text, mut done) = (Vec::new(), String::new(), false);
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
        } else if let Ok(chunk) = serde_json::from_str::<serde_json::Value>(data) {
            offsets.push(chunk["offset"].as_u64().unwrap());
            answer_text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap());
        }
    }
    (offsets, answer_text, done)
}

#[tokio::test]
async fn answer_is_a_function_of_the_prompt() {
    let engine = engine().await;
    let (status, body) = complete(&engine, "a-1", false, "").await.unwrap();
    let body: serde_json::Value = serde_json::from_str(&body).unwrap();
    assert_eq!(status, 200);
    assert_eq!(body["id"], "a-1");
    assert_eq!(
        body["choices"][0]["message"]["content"],
        answer_text(0, TOKENS)
    );
    assert_eq!(body["usage"]["completion_tokens"], TOKENS);
}

#[tokio::test]
async fn stream_resumes_after_the_tokens_sent() {
    let engine = engine().await;
    let sent = answer_text(0, 2);
    let extra = format!(r#","resume":{{"tokens":2,"text":"{sent}"}}"#);
    let (_, body) = complete(&engine, "a-1", true, &extra).await.unwrap();
    assert_eq!(
        read_stream(&body),
        (vec![2, 3, 4, 5, 6], answer_text(2, TOKENS), true)
    );
}

#[parameterized(
    no_fault = { "ok", &[0, 1, 2, 3, 4, 5, 6], true },
    duplicated = { "duplicated", &[0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6], true },
    reordered = { "reordered", &[1, 0, 3, 2, 5, 4, 6], true },
    truncated = { "truncated", &[0, 1], false },
    malformed = { "malformed", &[0, 1, 2, 3, 4, 5, 6], true },
)]
#[test_macro(tokio::test)]
async fn streams_with_faults(mode: &str, offsets: &[u64], done: bool) {
    let engine = engine().await;
    set_fault(&engine, &format!(r#"{{"mode":"{mode}","after":2}}"#)).await;
    let (_, body) = complete(&engine, "a-1", true, "").await.unwrap();
    let (received_offsets, _, end) = read_stream(&body);
    assert_eq!((received_offsets.as_slice(), end), (offsets, done));
    assert_eq!(body.contains("\"id\":\n"), mode == "malformed");
}

#[tokio::test]
async fn a_marked_request_crashes_the_engine_until_it_restarts() {
    let engine = engine().await;
    set_fault(
        &engine,
        r#"{"mode":"crash-on","marker":"hum","after":3,"ms":50,"count":1}"#,
    )
    .await;
    assert!(complete(&engine, "a-1", true, "").await.is_err());
    while complete(&engine, "a-2", true, "").await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    let stats = get_json(engine.address(), "/stats").await;
    assert_eq!(stats["crashes"], 1);
    assert_eq!(stats["runs_by_attempt"]["a-1"]["ended"], "broken");
    assert_eq!(stats["runs_by_attempt"]["a-1"]["tokens"], 3);
    assert_eq!(stats["runs_by_attempt"]["a-2"]["ended"], "finished");
}

#[tokio::test]
async fn cancelling_a_run_frees_its_slot() {
    let engine = engine().await;
    set_fault(&engine, r#"{"mode":"slow","ms":3600000,"count":1}"#).await;
    let hanging_request = complete(&engine, "a-1", true, "");
    let cancelling = async {
        let path = "/v1/attempts/a-1";
        while send(engine.address(), Method::DELETE, path, &[], "")
            .await
            .unwrap()
            .0
            != 200
        {
            tokio::task::yield_now().await;
        }
    };
    let (hung, ()) = tokio::join!(hanging_request, cancelling);
    assert!(hung.is_err());
    assert!(complete(&engine, "a-2", true, "").await.is_ok());
}

#[parameterized(
    checked = { Fencing::Checked, 409 },
    ignored = { Fencing::Ignored, 200 },
)]
#[test_macro(tokio::test)]
async fn orders_with_an_outdated_fencing_number(fencing: Fencing, status: u16) {
    let options = EngineOptions {
        fencing,
        ..EngineOptions::default()
    };
    let engine = Engine::bind("127.0.0.1:0".parse().unwrap(), options)
        .await
        .unwrap();
    let order = |fence| format!(r#"{{"kind":"load-model","model":"m{fence}","fence":{fence}}}"#);
    assert_eq!(
        post(engine.address(), "/v1/orders", &order(2))
            .await
            .unwrap()
            .0,
        200
    );
    assert_eq!(
        post(engine.address(), "/v1/orders", &order(1))
            .await
            .unwrap()
            .0,
        status
    );
}

#[tokio::test]
async fn cache_events_have_gaps_and_prefixes_can_be_exported() {
    let engine = engine().await;
    let prompt = "x".repeat(256 * 12);
    let body = format!(r#"{{"model":"m","prompt":"{prompt}","max_tokens":1}}"#);
    assert_eq!(
        post(engine.address(), "/v1/completions", &body)
            .await
            .unwrap()
            .0,
        200
    );
    let page = get_json(engine.address(), "/v1/cache-events?after=0").await;
    let seqs: Vec<u64> = page["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|e| e["seq"].as_u64().unwrap())
        .collect();
    assert_eq!(seqs, [1, 2, 3, 4, 5, 6, 7, 8, 9, 11, 12]);
    let path = format!("/v1/kv/{}", page["events"][0]["prefix"].as_str().unwrap());
    assert_eq!(
        send(engine.address(), Method::GET, &path, &[], "")
            .await
            .unwrap()
            .0,
        200
    );
}

/// The run of lower priority hangs once it has started, so that the test passes only if the other
/// run starts first.
#[tokio::test]
async fn waiting_runs_start_by_priority() {
    let engine = engine_with_queue(2).await;
    let address = engine.address();
    let run = |name: &'static str, priority: &'static str| async move {
        let headers = [
            ("toucanchute-attempt", name),
            ("toucanchute-priority", priority),
        ];
        let body = format!(r#"{{"model":"m","prompt":"{name}","max_tokens":1}}"#);
        send(address, Method::POST, "/v1/completions", &headers, &body).await
    };
    set_fault(&engine, r#"{"mode":"hang","marker":"first"}"#).await;
    let first = tokio::spawn(run("first", "0"));
    wait_for_load(&engine, "running", 1).await;
    set_fault(&engine, r#"{"mode":"hang","marker":"low"}"#).await;
    let _low = tokio::spawn(run("low", "1"));
    wait_for_load(&engine, "waiting", 1).await;
    let high = tokio::spawn(run("high", "9"));
    wait_for_load(&engine, "waiting", 2).await;
    first.abort();
    let high = tokio::time::timeout(std::time::Duration::from_secs(20), high);
    assert_eq!(high.await.unwrap().unwrap().unwrap().0, 200);
}
