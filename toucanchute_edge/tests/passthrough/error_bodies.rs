//! Error responses whose body arrives late, while no other backend server serves the request.

use std::time::Duration;

use crate::{
    raw_backend::{RawBackend, Step},
    support::{Backend, Script, TestGateway, full_response},
};

/// Time for which the server is silent within its response.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Starts a gateway with a server that sends an error response with `rest` after a pause, and another
/// one that refuses everything. Returns the response to a request.
async fn response_with_late_error(rest: Vec<Step>) -> String {
    let head = "HTTP/1.1 500 Error\r\nX-Attempt: a1\r\nContent-Length: 6\r\n\r\nsor".to_owned();
    let steps = [
        vec![Step::Run, Step::Write(head), Step::Pause(SILENCE)],
        rest,
    ]
    .concat();
    let first = RawBackend::start(vec![steps]).await;
    let refusal = full_response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    let second = Backend::start(Script::Answer(refusal)).await;
    let backends = [&first.backend, &second];
    let gateway = TestGateway::start("idempotent", r#","attempts":2"#, &backends).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert_eq!((first.attempts_run().len(), second.request_count()), (1, 1));
    res
}

/// Guards against an error response of a server that is replaced by one of the router because its
/// body is late.
#[tokio::test]
async fn an_error_response_of_a_server_that_falls_silent_within_it_is_passed_on() {
    let res = response_with_late_error(vec![Step::Write("ry!".to_owned())]).await;
    assert!(
        res.starts_with("HTTP/1.1 500") && res.ends_with("sorry!"),
        "{res}"
    );
}

/// Guards against part of an error response that looks whole.
#[tokio::test]
async fn an_error_response_that_breaks_off_late_is_not_passed_on() {
    let res = response_with_late_error(vec![Step::Reset]).await;
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
}

/// Guards against a request that outlasts its time limit because an error response never ends.
#[tokio::test]
async fn an_error_response_that_never_ends_is_abandoned() {
    let started = tokio::time::Instant::now();
    let res = response_with_late_error(vec![Step::Pause(SILENCE * 4)]).await;
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
    let taken = started.elapsed();
    assert!(taken < SILENCE * 3, "{taken:?}");
}
