//! Which verdict on a backend server follows from a response that is not whole at the deadline.

use std::time::Duration;

use toucanchute_edge::{AttemptReport, CrashKind};

use crate::support::{Backend, Script, TestGateway, chunk, stream_head};

/// Settings of a route whose servers count as silent after 0.7 s without a response and 1.2 s without
/// an event.
const PATIENCE: &str = r#","attempts":1,"target_ms":1000,"gap_target_ms":600"#;

/// Pause between two parts of a response of a server that is not silent.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends a request with this time limit to a gateway with one server. Returns the last report on it.
async fn last_report(kind: &str, script: Script, timeout_ms: u64) -> AttemptReport {
    let backend = Backend::start(script).await;
    let gateway = TestGateway::start(kind, PATIENCE, &[&backend]).await;
    let req = format!(
        "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        X-Patience: {timeout_ms}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    gateway.send_raw(&req).await;
    let reports = gateway.control.reports.lock().unwrap();
    *reports.last().unwrap()
}

/// Returns a response that goes on without end.
fn endless(head: String, piece: &str) -> Script {
    Script::Endless {
        head,
        piece: chunk(piece),
        pause: PAUSE,
    }
}

/// Guards against a sound server that counts as silent because a caller has little time.
#[tokio::test]
async fn a_short_deadline_does_not_make_a_server_silent() {
    let report = last_report("non-idempotent", Script::Silence, 200).await;
    assert_eq!(report, AttemptReport::Cancelled);
}

/// Guards against a sound server that counts as silent although its body arrives.
#[tokio::test]
async fn a_body_that_arrives_until_the_deadline_does_not_make_a_server_silent() {
    let script = endless(stream_head(), "x");
    let report = last_report("non-idempotent", script, 1_500).await;
    assert_eq!(report, AttemptReport::Cancelled);
}

/// Guards against a sound server that counts as silent although the events of a stream arrive.
#[tokio::test]
async fn a_stream_that_goes_on_until_the_deadline_does_not_make_a_server_silent() {
    let script = endless(stream_head(), "data: d\n\n");
    let report = last_report("stream", script, 2_000).await;
    assert_eq!(report, AttemptReport::Cancelled);
}

/// Guards against a silence until the deadline that goes unnoticed.
#[tokio::test]
async fn a_silence_until_the_deadline_is_reported() {
    let report = last_report("non-idempotent", Script::Silence, 1_000).await;
    let kind = CrashKind::TimedOut;
    assert_eq!(report, AttemptReport::Crashed { kind });
}
