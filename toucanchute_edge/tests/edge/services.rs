use std::time::Duration;

use http_body_util::BodyExt as _;
use serde_json::{Value, json};

use crate::{
    full_queue::{self, FullQueue},
    support::{TestEdge, read_json, send_request, start_services},
    test_control::TestControl,
};

/// Calls a service under a key, with a fault for each of its replicas; checks the status, the runs
/// of each replica and the events of the control.
macro_rules! call_cases {
    ($($name:ident: $service:literal, $faults:tt, $statuses:expr, $runs:expr, $events:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let faults: Vec<Value> = serde_json::from_value(json!($faults)).unwrap();
            let services = start_services(&faults).await;
            let addresses: Vec<_> = services.iter().map(|service| service.address()).collect();
            let edge = TestEdge::start(TestControl::new(&addresses)).await;
            let path = concat!("/v1/services/", $service, "/today?at=9");
            let first = edge.post(path, Some("k1"), &json!({"house": 4})).await;
            assert_eq!(first.status(), $statuses);
            let mut runs = Vec::new();
            for address in addresses {
                let stats = send_request(address, "GET", "/stats", &json!({})).await;
                runs.push(stats["runs"].as_u64().unwrap());
            }
            assert_eq!(runs, $runs);
            assert_eq!(edge.control.events(), $events);
        }
    )*};
}

call_cases! {
    idempotent_call_works: "weather", [{}, {}], 200, [1, 0],
        ["reserve", "done 0", "settling", "settled 2"];
    idempotent_call_is_repeated: "weather", [{"mode": "lose-answers"}, {}], 200, [1, 1],
        ["reserve", "crashed Disconnected", "done 0", "settling", "settled 2"];
    idempotent_call_fails: "weather", [{"mode": "lose-answers"}], 503, [1],
        ["reserve", "crashed Disconnected", "release"];
    single_call_works: "vans", [{}, {}], 200, [1, 0], ["done 0", "record 200"];
    single_call_is_sent_to_next_replica_when_refused: "vans", [{"mode": "refuse"}, {}], 200, [0, 1],
        ["refused", "done 0", "record 200"];
    single_call_not_run: "vans", [{"mode": "refuse"}, {"mode": "refuse"}], 503, [0, 0],
        ["refused", "refused", "record not-run"];
    single_call_is_never_repeated: "vans", [{"mode": "lose-answers"}, {}], 502, [1, 0],
        ["crashed Disconnected", "record unknown"];
    single_call_is_never_repeated_after_crash: "vans", [{"mode": "crash-before"}, {}], 502, [0, 0],
        ["crashed Disconnected", "record unknown"];
    single_call_timed_out: "vans", [{"mode": "slow", "ms": 60000}, {}], 502, [0, 0],
        ["crashed TimedOut", "record unknown"];
}

/// Guards against a sound service that is reported as unreachable because it accepts no connection for
/// a moment.
#[tokio::test]
async fn call_without_a_connection_in_time_is_sent_to_next_replica() {
    let services = start_services(&[json!({})]).await;
    let queue = FullQueue::fill(full_queue::listen()).await;
    let control = TestControl::new(&[queue.address(), services[0].address()]);
    tokio::spawn(queue.empty_after(Duration::from_secs(60)));
    let edge = TestEdge::start(control).await;
    let res = edge.post("/v1/services/vans/book", None, &json!({})).await;
    assert_eq!(res.status(), 200);
    let events = edge.control.events();
    assert_eq!(events, ["unreached", "done 0", "record 200"]);
}

#[tokio::test]
async fn unsent_call_is_sent_to_next_replica() {
    let services = start_services(&[json!({})]).await;
    let unused = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = unused.local_addr().unwrap();
    drop(unused);
    let control = TestControl::new(&[dead, services[0].address()]);
    let edge = TestEdge::start(control).await;
    let res = edge.post("/v1/services/vans/book", None, &json!({})).await;
    assert_eq!(res.status(), 200);
    assert_eq!(edge.control.events(), ["unsent", "done 0", "record 200"]);
}

#[tokio::test]
async fn recorded_answer_is_replayed() {
    let services = start_services(&[json!({})]).await;
    let edge = TestEdge::start(TestControl::new(&[services[0].address()])).await;
    let path = "/v1/services/vans/book";
    let first = edge.post(path, Some("k1"), &json!({})).await;
    assert!(!first.headers().contains_key("toucanchute-replayed"));
    let first = first.into_body().collect().await.unwrap().to_bytes();
    let second = edge.post(path, Some("k1"), &json!({})).await;
    assert_eq!(second.headers()["toucanchute-replayed"], "true");
    let second = second.into_body().collect().await.unwrap().to_bytes();
    assert_eq!(first, second);
}

#[tokio::test]
async fn unknown_outcome_is_final() {
    let services = start_services(&[json!({"mode": "lose-answers"})]).await;
    let edge = TestEdge::start(TestControl::new(&[services[0].address()])).await;
    let res = edge.post("/v1/services/vans/book", None, &json!({})).await;
    let problem = read_json(res).await;
    assert_eq!(problem["outcome"], "unknown");
    assert_eq!(problem["retryable"], false);
}
