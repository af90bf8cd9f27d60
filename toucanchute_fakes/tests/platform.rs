//! Tests of the fake platform: key-value service, watches, leases, host list and faults.

#[path = "support/http.rs"]
mod http_client;

use http::Method;
use http_client::{get_json, post, send};
use serde_json::{Value, json};
use toucanchute_fakes::{Platform, PlatformOptions, WeightOptions};
use yare::parameterized;

/// `key` and `value` in base64.
const KEY: &str = "a2V5";
const VALUE: &str = "dmFsdWU=";

async fn platform(options: PlatformOptions) -> Platform {
    Platform::bind("127.0.0.1:0".parse().unwrap(), options)
        .await
        .unwrap()
}

async fn call(platform: &Platform, path: &str, body: Value) -> Value {
    let (_, body) = post(platform.address(), path, &body.to_string())
        .await
        .unwrap();
    serde_json::from_str(&body).unwrap()
}

fn compare_and_swap(revision: u64) -> Value {
    json!({
        "compare": [{"key": KEY, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string()}],
        "success": [{"request_put": {"key": KEY, "value": VALUE}}],
        "failure": [{"request_range": {"key": KEY}}],
    })
}

#[tokio::test]
async fn compare_and_swap_succeeds_once() {
    let platform = platform(PlatformOptions::default()).await;
    assert_eq!(
        call(&platform, "/v3/kv/txn", compare_and_swap(0)).await["succeeded"],
        true
    );
    let lost = call(&platform, "/v3/kv/txn", compare_and_swap(0)).await;
    assert_eq!(lost["succeeded"], Value::Null);
    let current = &lost["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(
        (&current["value"], &current["mod_revision"]),
        (&json!(VALUE), &json!("2"))
    );
    assert_eq!(
        call(&platform, "/v3/kv/txn", compare_and_swap(2)).await["header"]["revision"],
        "3"
    );
}

#[parameterized(
    down = { "down", true, 0 },
    lost_answer = { "lose-answers", true, 1 },
    refused = { "refuse", false, 0 },
)]
#[test_macro(tokio::test)]
async fn writes_with_faults(mode: &str, closed: bool, written: u64) {
    let platform = platform(PlatformOptions::default()).await;
    let fault = json!({"mode": mode, "count": 1, "path": "/v3/kv/put"});
    call(&platform, "/fault", fault).await;
    let put = json!({"key": KEY, "value": VALUE}).to_string();
    let answer = post(platform.address(), "/v3/kv/put", &put).await;
    assert_eq!(answer.is_err(), closed);
    let found = call(&platform, "/v3/kv/range", json!({"key": KEY})).await;
    assert_eq!(found["count"], written.to_string());
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let platform = platform(PlatformOptions::default()).await;
    let lease = call(&platform, "/v3/lease/grant", json!({"TTL": "1"})).await;
    let put = json!({"key": KEY, "value": VALUE, "lease": lease["ID"]});
    call(&platform, "/v3/kv/put", put).await;
    while call(&platform, "/v3/kv/range", json!({"key": KEY})).await["count"] != "0" {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let kept = call(&platform, "/v3/lease/keepalive", json!({"ID": lease["ID"]})).await;
    assert_eq!(kept["result"]["TTL"], Value::Null);
}

#[tokio::test]
async fn large_values_are_refused() {
    let options = PlatformOptions {
        max_value_bytes: 4,
        ..PlatformOptions::default()
    };
    let platform = platform(options).await;
    let put = json!({"key": KEY, "value": VALUE}).to_string();
    assert_eq!(
        post(platform.address(), "/v3/kv/put", &put)
            .await
            .unwrap()
            .0,
        400
    );
}

#[tokio::test]
async fn watch_ends_when_the_platform_goes_down() {
    let platform = platform(PlatformOptions::default()).await;
    let put = json!({"key": KEY, "value": VALUE});
    call(&platform, "/v3/kv/put", put).await;
    let watch = json!({"create_request": {"key": KEY, "start_revision": "1"}}).to_string();
    let watching = post(platform.address(), "/v3/watch", &watch);
    let ending = async {
        while get_json(platform.address(), "/stats").await["open_watches"] == 0 {
            tokio::task::yield_now().await;
        }
        call(&platform, "/fault", json!({"mode": "down"})).await;
    };
    let (lines, ()) = tokio::join!(watching, ending);
    let lines = lines.unwrap().1;
    let lines: Vec<Value> = lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines[0]["result"]["created"], true);
    assert_eq!(lines[1]["result"]["events"][0]["kv"]["value"], VALUE);
}

#[parameterized(
    delayed = { 3_600_000, 0 },
    immediate = { 0, 1 },
)]
#[test_macro(tokio::test)]
async fn host_list_changes_are_delayed(host_lag_ms: u64, version: u64) {
    let platform = platform(PlatformOptions {
        host_lag_ms,
        ..PlatformOptions::default()
    })
    .await;
    let list = json!({"hosts": [{"name": "b1", "address": "127.0.0.1:1", "failure_domain": "bilbao",
        "role": "backend", "state": "live"}]});
    let list = list.to_string();
    send(platform.address(), Method::PUT, "/v1/hosts", &[], &list)
        .await
        .unwrap();
    assert_eq!(
        get_json(platform.address(), "/v1/hosts").await["version"],
        version
    );
}

#[tokio::test]
async fn weights_are_served_with_their_size() {
    let sizes = [("m".to_owned(), 100_000)].into();
    let weights = WeightOptions {
        sizes,
        ..WeightOptions::default()
    };
    let platform = platform(PlatformOptions {
        weights,
        ..PlatformOptions::default()
    })
    .await;
    let get = |path| send(platform.address(), Method::GET, path, &[], "");
    assert_eq!(get("/v1/weights/m").await.unwrap().1.len(), 100_000);
    assert_eq!(get("/v1/weights/n").await.unwrap().0, 404);
}

#[tokio::test]
async fn writes_beyond_the_rate_are_refused() {
    let platform = platform(PlatformOptions {
        writes_per_second: 1,
        ..PlatformOptions::default()
    })
    .await;
    let put = json!({"key": KEY, "value": VALUE}).to_string();
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(
            post(platform.address(), "/v3/kv/put", &put)
                .await
                .unwrap()
                .0,
        );
    }
    // Three writes span at most two windows of a second, so that one of them exceeds the limit.
    assert!(statuses.contains(&429), "{statuses:?}");
    assert_eq!(statuses[0], 200);
}
