//! Answers that have neither a length nor chunks and end with their connection.

use crate::support::{Backend, Script, TestGateway, event, event_ids as ids};
use toucanchute_edge::AttemptReport;

const RESUMABLE: &str = r#","resumable":true,"attempts":2"#;

const REQUEST: &str = "POST /a/b";

/// Returns an answer without a length.
fn undelimited(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n\r\n{body}")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}

fn looks_complete(res: &str) -> bool {
    res.ends_with("0\r\n\r\n")
}

fn vouches(gateway: &TestGateway) -> bool {
    let reports = gateway.control.reports.lock().unwrap();
    reports
        .iter()
        .any(|r| matches!(r, AttemptReport::Done { .. }))
}

// Guards against a stream that is cut between two events by the end of its server, and looks complete.
#[tokio::test]
async fn a_stream_that_ends_with_its_server_is_resumed() {
    let first = Backend::start(Script::AnswerAndEnd(undelimited(&events(1..=2)))).await;
    let second = Backend::start(Script::AnswerAndClose(undelimited(&events(3..=4)))).await;
    let gateway = TestGateway::start("stream", RESUMABLE, &[&first, &second]).await;
    let res = gateway.send(REQUEST, "").await;
    assert_eq!(ids(&res), [1, 2, 3, 4]);
    assert!(looks_complete(&res), "{res}");
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_and_ends_with_its_server_does_not_look_complete() {
    let backend = Backend::start(Script::AnswerAndEnd(undelimited(&events(1..=2)))).await;
    let gateway = TestGateway::start("stream", "", &[&backend]).await;
    let res = gateway.send(REQUEST, "").await;
    assert_eq!(ids(&res), [1, 2]);
    assert!(!looks_complete(&res), "{res}");
    assert!(!vouches(&gateway));
}

#[tokio::test]
async fn a_stream_that_ends_within_an_event_does_not_look_complete() {
    let broken = undelimited(&(events(1..=2) + "id: 3\ndata"));
    let backend = Backend::start(Script::AnswerAndClose(broken)).await;
    let gateway = TestGateway::start("stream", "", &[&backend]).await;
    let res = gateway.send(REQUEST, "").await;
    assert!(!looks_complete(&res), "{res}");
    assert!(!vouches(&gateway));
}

#[tokio::test]
async fn a_stream_without_an_event_does_not_look_complete() {
    let backend = Backend::start(Script::AnswerAndClose(undelimited(""))).await;
    let gateway = TestGateway::start("stream", "", &[&backend]).await;
    let res = gateway.send(REQUEST, "").await;
    assert!(!looks_complete(&res), "{res}");
}

// Guards against answers that clear what crashes servers although nothing shows that they are whole.
#[tokio::test]
async fn a_stream_of_a_server_that_goes_on_is_passed_on_and_vouches_for_nothing() {
    let backend = Backend::start(Script::AnswerAndClose(undelimited(&events(1..=2)))).await;
    let gateway = TestGateway::start("stream", "", &[&backend]).await;
    let res = gateway.send(REQUEST, "").await;
    assert_eq!(ids(&res), [1, 2]);
    assert!(looks_complete(&res), "{res}");
    assert!(!vouches(&gateway));
}

#[tokio::test]
async fn a_body_of_a_server_that_goes_on_is_passed_on_and_vouches_for_nothing() {
    let backend = Backend::start(Script::AnswerAndClose(undelimited("hello"))).await;
    let gateway = TestGateway::start("idempotent", "", &[&backend]).await;
    let res = gateway.send(REQUEST, "").await;
    assert!(res.ends_with("hello"), "{res}");
    assert!(!vouches(&gateway));
}

// Guards against a body that is cut by the end of its server, and looks complete.
#[tokio::test]
async fn a_body_that_ends_with_its_server_is_not_passed_on() {
    let backend = Backend::start(Script::AnswerAndEnd(undelimited("hel"))).await;
    let gateway = TestGateway::start("non-idempotent", "", &[&backend]).await;
    let res = gateway.send(REQUEST, "").await;
    assert!(res.starts_with("HTTP/1.1 502"), "{res}");
}

#[tokio::test]
async fn a_body_that_ends_with_its_server_is_requested_again() {
    let first = Backend::start(Script::AnswerAndEnd(undelimited("hel"))).await;
    let second = Backend::start(Script::AnswerAndClose(undelimited("hello"))).await;
    let extra = r#","attempts":2"#;
    let gateway = TestGateway::start("idempotent", extra, &[&first, &second]).await;
    let res = gateway.send(REQUEST, "").await;
    assert!(res.ends_with("hello"), "{res}");
}
