//! Tests of runs and faults of the fake service.

#[path = "support/http.rs"]
mod http_client;

use http::Method;
use http_client::{get_json, post, send};
use toucanchute_fakes::{Service, ServiceOptions};
use yare::parameterized;

#[parameterized(
    no_fault = { "ok", true, 1 },
    lost_answer = { "lose-answers", false, 1 },
    refused = { "refuse", true, 0 },
    crash_after_the_run = { "crash", false, 1 },
    crash_before_the_run = { "crash-before", false, 0 },
)]
#[test_macro(tokio::test)]
async fn runs_are_counted_by_key(mode: &str, answered: bool, runs: u64) {
    let options = ServiceOptions::default();
    let service = Service::bind("127.0.0.1:0".parse().unwrap(), options)
        .await
        .unwrap();
    let fault = format!(r#"{{"mode":"{mode}","count":1}}"#);
    post(service.address(), "/fault", &fault).await.unwrap();
    let headers = [("idempotency-key", "k"), ("toucanchute-attempt", "a-1")];
    let answer = send(service.address(), Method::POST, "/vans", &headers, "{}").await;
    assert_eq!(answer.is_ok(), answered);
    while post(service.address(), "/fault", "{}").await.is_err() {
        tokio::task::yield_now().await;
    }
    let stats = get_json(service.address(), "/stats").await;
    assert_eq!(stats["runs_by_key"]["k"].as_u64().unwrap_or(0), runs);
}
