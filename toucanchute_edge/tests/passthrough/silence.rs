//! A sound backend server that sends nothing for a while and then goes on, while no other one is free.

use std::time::Duration;

use tokio::{io::AsyncReadExt, time::sleep};
use toucanchute_edge::AttemptReport;

use crate::{
    raw_backend::{RawBackend, Step},
    support::{
        Backend, LAST_CHUNK, Script, TestGateway, chunk, event, event_ids, full_response,
        stream_head,
    },
};

/// Time for which the server is silent. It is longer than the router waits for an event before it
/// looks for another server.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Where in its response a server falls silent.
#[derive(Clone, Copy, Debug)]
enum SilentBefore {
    Head,
    SecondEvent,
}

/// A resumable stream that may be sent to `attempts` servers.
fn route(attempts: u32) -> String {
    format!(r#","resumable":true,"attempts":{attempts},"gap_target_ms":600,"target_ms":1000"#)
}

fn events(ids: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    ids.map(|id| Step::Write(chunk(&event(id)))).collect()
}

/// Returns the steps of a server that responds with the events 1 to 3 and is silent for `silence`.
fn stream(at: SilentBefore, silence: Duration) -> Vec<Step> {
    let head = [Step::Write(stream_head())];
    let pause = [Step::Pause(silence)];
    let end = [Step::Write(LAST_CHUNK.to_owned())];
    let (first, rest) = (events(1..=1), events(2..=3));
    match at {
        SilentBefore::Head => [&[Step::Run], &pause[..], &head, &first, &rest, &end].concat(),
        SilentBefore::SecondEvent => {
            [&[Step::Run], &head[..], &first, &pause, &rest, &end].concat()
        }
    }
}

/// Returns the steps of a server that sends a stream from the event `first` to 3.
fn stream_from(first: u64) -> Vec<Step> {
    let head = [Step::Run, Step::Write(stream_head())];
    let end = [Step::Write(LAST_CHUNK.to_owned())];
    [&head[..], &events(first..=3), &end].concat()
}

/// Returns the response to a resumable stream whose only server is silent for [`SILENCE`].
async fn stream_of_silent_server(at: SilentBefore) -> String {
    let backend = RawBackend::start(vec![stream(at, SILENCE)]).await;
    let gateway = TestGateway::start("stream", &route(3), &[&backend.backend]).await;
    gateway.send("POST /a/b", "body").await
}

fn is_whole(res: &str) -> bool {
    res.starts_with("HTTP/1.1 200") && event_ids(res) == [1, 2, 3] && res.ends_with(LAST_CHUNK)
}

/// Names tests of streams whose server falls silent.
macro_rules! survives_silence {
    ($($(#[$doc:meta])* $name:ident: $at:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let res = stream_of_silent_server($at).await;
            assert!(is_whole(&res), "{res:?}");
        }
    )*};
}

survives_silence! {
    /// Guards against an attempt that is given up before another server has answered.
    a_stream_of_a_server_that_is_silent_before_its_head_is_whole: SilentBefore::Head;
    /// Guards against a stream that is cut before another server has taken it over.
    a_stream_of_a_server_that_is_silent_between_events_is_whole: SilentBefore::SecondEvent;
}

/// Names tests of a stream whose server is silent for [`SILENCE`] while a second one does this.
macro_rules! survives_second_server {
    ($($(#[$doc:meta])* $name:ident: $at:expr, $second:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let first = RawBackend::start(vec![stream($at, SILENCE)]).await;
            let second = RawBackend::start(vec![$second]).await;
            let backends = [&first.backend, &second.backend];
            let gateway = TestGateway::start("stream", &route(2), &backends).await;
            let res = gateway.send("POST /a/b", "body").await;
            assert!(is_whole(&res), "{res:?}");
            assert_eq!(second.requests_begun(), 1);
        }
    )*};
}

/// Returns the steps of a server that refuses.
fn refusal() -> Vec<Step> {
    let refusal = full_response("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    vec![Step::ReadRequest, Step::Write(refusal)]
}

/// Returns the steps of a server that fails.
fn error() -> Vec<Step> {
    let error = full_response("500 Internal Server Error", "X-Seal: s\r\n", "failed");
    vec![Step::Run, Step::Write(error)]
}

survives_second_server! {
    /// Guards against a refusal of the second server that ends a stream of the first.
    a_refusal_of_the_second_server_leaves_the_stream: SilentBefore::SecondEvent, refusal();
    /// Guards against a refusal of the second server that ends a request of the first.
    a_refusal_of_the_second_server_leaves_the_request: SilentBefore::Head, refusal();
    /// Guards against an error of the second server that takes the place of the first one's stream.
    an_error_of_the_second_server_leaves_the_stream: SilentBefore::SecondEvent, error();
    /// Guards against an error of the second server that takes the place of the first one's response.
    an_error_of_the_second_server_leaves_the_request: SilentBefore::Head, error();
    /// Guards against a second server that is silent too and ends a stream of the first.
    a_silence_of_the_second_server_leaves_the_stream:
        SilentBefore::SecondEvent, vec![Step::Run, Step::Pause(2 * SILENCE)];
    /// Guards against a second server that breaks off and ends a request of the first.
    a_reset_of_the_second_server_leaves_the_request: SilentBefore::Head, vec![Step::Run, Step::Reset];
    /// Guards against events that a caller gets from both servers.
    events_of_two_servers_are_relayed_once: SilentBefore::SecondEvent, stream_from(2);
    /// Guards against a response that a caller gets from both servers.
    a_stream_of_a_second_server_is_whole: SilentBefore::Head, stream_from(1);
}

/// Names tests of a stream whose first server does this while a second one starts.
macro_rules! survives_end_of_first {
    ($($(#[$doc:meta])* $name:ident: $at:expr, $end:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let before = match $at {
                SilentBefore::Head => 2,
                SilentBefore::SecondEvent => 4,
            };
            let broken = [&stream($at, SILENCE)[..before], &$end].concat();
            let late = [&[Step::Run, Step::Pause(SILENCE)], &stream_from(1)[1..]].concat();
            let first = RawBackend::start(vec![broken]).await;
            let second = RawBackend::start(vec![late]).await;
            let backends = [&first.backend, &second.backend];
            let gateway = TestGateway::start("stream", &route(2), &backends).await;
            let res = gateway.send("POST /a/b", "body").await;
            assert!(is_whole(&res), "{res:?}");
            assert_eq!(second.requests_begun(), 1);
        }
    )*};
}

survives_end_of_first! {
    /// Guards against a stream that is cut when its silent server ends while a second one starts.
    a_stream_outlives_its_silent_server: SilentBefore::SecondEvent, [Step::Reset];
    /// Guards against a request that fails when its silent server ends while a second one starts.
    a_request_outlives_its_silent_server: SilentBefore::Head, [Step::Reset];
    /// Guards against a late refusal of the silent server that ends a request at the second one.
    a_late_refusal_leaves_the_request_to_the_second_server: SilentBefore::Head, refusal()[1..];
    /// Guards against an invalid response of the silent server that ends a request at the second one.
    an_unsealed_response_leaves_the_request_to_the_second_server:
        SilentBefore::Head, [Step::Write(full_response("200 OK", "", "x"))];
}

/// Guards against a valid response that is held back because a second server has the request.
#[tokio::test]
async fn a_late_rejection_of_the_silent_server_is_relayed_at_once() {
    let rejected = full_response("422 Unprocessable Content", "X-Seal: s\r\n", "no");
    let first = vec![Step::Run, Step::Pause(SILENCE), Step::Write(rejected)];
    let first = RawBackend::start(vec![first]).await;
    let second = Backend::start(Script::Silence).await;
    let backends = [&first.backend, &second];
    let gateway = TestGateway::start("stream", &route(2), &backends).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert!(res.starts_with("HTTP/1.1 422"), "{res:?}");
}

/// Guards against a hedge that is not counted as a send.
#[tokio::test]
async fn a_silent_request_reaches_no_more_servers_than_its_route_allows() {
    let mut servers = Vec::new();
    for _ in 0..3 {
        let silent = stream(SilentBefore::Head, SILENCE);
        servers.push(RawBackend::start(vec![silent]).await);
    }
    let backends: Vec<&Backend> = servers.iter().map(|s| &s.backend).collect();
    let gateway = TestGateway::start("stream", &route(2), &backends).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert!(is_whole(&res), "{res:?}");
    let reached: Vec<usize> = servers.iter().map(RawBackend::requests_begun).collect();
    assert_eq!(reached, [1, 1, 0]);
}

/// Guards against a third server that is tried while the second one still has the request, and against
/// one that is not tried because the second is silent too.
#[tokio::test]
async fn one_more_server_is_tried_at_a_time() {
    let first = RawBackend::start(vec![stream(SilentBefore::Head, 2 * SILENCE)]).await;
    let second = Backend::start(Script::Silence).await;
    let third = RawBackend::start(vec![stream_from(1)]).await;
    let backends = [&first.backend, &second, &third.backend];
    let gateway = TestGateway::start("stream", &route(5), &backends).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert!(is_whole(&res), "{res:?}");
    assert_eq!(second.request_count(), 1);
    assert_eq!(gateway.control.most_open_attempts(), 2);
}

/// Guards against a silent server that goes on working after another one has taken the stream over.
#[tokio::test]
async fn a_silent_server_is_cancelled_when_another_one_takes_over() {
    let first = RawBackend::start(vec![stream(SilentBefore::SecondEvent, 2 * SILENCE)]).await;
    let second = RawBackend::start(vec![stream_from(2)]).await;
    let backends = [&first.backend, &second.backend];
    let gateway = TestGateway::start("stream", &route(2), &backends).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert!(is_whole(&res), "{res:?}");
    assert_eq!(gateway.control.report_count(AttemptReport::Cancelled), 1);
}

/// Guards against a second run of a request that may run only once.
#[tokio::test]
async fn a_request_that_runs_once_is_not_hedged() {
    let ok = full_response("200 OK", "X-Seal: s\r\n", "done");
    let silent = vec![Step::Run, Step::Pause(SILENCE), Step::Write(ok)];
    let first = RawBackend::start(vec![silent]).await;
    let second = Backend::start(Script::Silence).await;
    let extra = r#","attempts":3,"target_ms":100"#;
    let gateway = TestGateway::start("non-idempotent", extra, &[&first.backend, &second]).await;
    let res = gateway.send("POST /a/b", "body").await;
    assert!(res.ends_with("done"), "{res:?}");
    assert_eq!(second.request_count(), 0);
}

/// Guards against a sound server that is taken for crashed after a silence.
#[tokio::test]
async fn a_silence_is_not_reported_as_a_crash() {
    for at in [SilentBefore::Head, SilentBefore::SecondEvent] {
        let only = RawBackend::start(vec![stream(at, SILENCE)]).await;
        let gateway = TestGateway::start("stream", &route(3), &[&only.backend]).await;
        gateway.send("POST /a/b", "body").await;
        let reports = gateway.control.reports.lock().unwrap().clone();
        let crashed = |r: &AttemptReport| matches!(r, AttemptReport::Crashed { .. });
        assert!(!reports.iter().any(crashed), "{at:?}: {reports:?}");
        assert!(
            reports.contains(&AttemptReport::Silent),
            "{at:?}: {reports:?}"
        );
        assert!(
            reports.contains(&AttemptReport::Resumed),
            "{at:?}: {reports:?}"
        );
    }
}

/// Guards against servers that go on working for a caller that left during a hedge.
#[tokio::test]
async fn a_caller_that_leaves_ends_both_attempts() {
    let first = RawBackend::start(vec![stream(SilentBefore::SecondEvent, 2 * SILENCE)]).await;
    let second = Backend::start(Script::Silence).await;
    let backends = [&first.backend, &second];
    let gateway = TestGateway::start("stream", &route(2), &backends).await;
    let req = "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
        Content-Length: 0\r\n\r\n";
    let mut caller = gateway.connect(req).await;
    let mut buf = [0; 4_096];
    assert!(caller.read(&mut buf).await.unwrap() > 0);
    while second.request_count() == 0 {
        sleep(Duration::from_millis(20)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    let reports = gateway.control.reports.lock().unwrap().clone();
    let cancelled = reports.iter().filter(|r| **r == AttemptReport::Cancelled);
    assert_eq!(cancelled.count(), 2, "{reports:?}");
}
