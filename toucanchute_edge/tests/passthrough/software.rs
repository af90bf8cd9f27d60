//! Streams of a service whose servers run several versions of their software.

use std::time::Duration;

use tokio::{
    io::AsyncReadExt,
    sync::watch,
    time::{sleep, timeout},
};
use toucanchute_proto::config;

use crate::{
    dispatcher_gateway::DispatcherGateway,
    raw_backend::{RawBackend, Step},
    support::{LAST_CHUNK, chunk, event, event_ids, read_all, stream_head},
};

/// Time after which the other servers are registered: by then the first one has begun the stream.
const HEAD_START: Duration = Duration::from_millis(150);

/// Time for which a server is silent, after which the router looks for a second one.
const SILENCE: Duration = Duration::from_millis(1_600);

/// Time that the caller waits.
const PATIENCE: Duration = Duration::from_millis(2_900);

/// A resumable stream.
const ROUTE: &str = r#","resumable":true,"attempts":3,"gap_target_ms":600,"target_ms":1000"#;

fn events(ids: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    ids.map(|id| Step::Write(chunk(&event(id)))).collect()
}

/// Returns the steps of a server that streams the events from `first` to 3.
fn stream_from(first: u64) -> Vec<Step> {
    let head = [Step::Run, Step::Write(stream_head())];
    let end = [Step::Write(LAST_CHUNK.to_owned())];
    [&head[..], &events(first..=3), &end].concat()
}

/// Returns the steps of a server that sends `count` events and then does `rest`.
fn stream_that(count: u64, rest: &[Step]) -> Vec<Step> {
    let head = [Step::Run, Step::Write(stream_head())];
    [&head[..], &events(1..=count), rest].concat()
}

/// Returns the steps that break a stream off once the other servers are registered.
fn breaks_off() -> Vec<Step> {
    vec![Step::Pause(2 * HEAD_START), Step::Reset]
}

/// Returns the steps of a silence, after which the stream goes on from the event `next`.
fn falls_silent(next: u64) -> Vec<Step> {
    let end = [Step::Write(LAST_CHUNK.to_owned())];
    [&[Step::Pause(SILENCE)], &events(next..=3)[..], &end].concat()
}

/// A backend server and the version of its software, if its registration has one.
type Versioned<'a> = (&'a RawBackend, Option<&'a str>);

fn registration((i, (server, software)): (usize, &Versioned<'_>)) -> config::Backend {
    config::Backend {
        name: format!("s{i}"),
        pool: "svc".to_owned(),
        address: server.backend.address.to_string(),
        failure_domain: "d".to_owned(),
        software: software.map(str::to_owned),
    }
}

/// Returns the response to a stream that the first of `servers` begins before the others are registered.
async fn stream_begun_at_first(servers: &[Versioned<'_>]) -> String {
    let list: Vec<config::Backend> = servers.iter().enumerate().map(registration).collect();
    let registrations = watch::Sender::new(list[..1].to_vec());
    let gateway = DispatcherGateway::start("stream", ROUTE, registrations.subscribe()).await;
    let response = gateway.send_within(PATIENCE, "body");
    let register = async {
        sleep(HEAD_START).await;
        registrations.send_replace(list.clone());
    };
    let (res, ()) = tokio::join!(response, register);
    res
}

fn is_whole(res: &str) -> bool {
    event_ids(res) == [1, 2, 3] && res.ends_with(LAST_CHUNK)
}

/// Guards against a response that is joined from what two versions write (ORDER).
#[tokio::test]
async fn a_stream_that_breaks_off_does_not_go_on_at_another_version() {
    let first = RawBackend::start(vec![stream_that(1, &breaks_off())]).await;
    let other = RawBackend::start(vec![stream_from(2)]).await;
    let res = stream_begun_at_first(&[(&first, Some("v1")), (&other, Some("v2"))]).await;
    assert_eq!(event_ids(&res), [1]);
    assert!(!res.ends_with(LAST_CHUNK), "{res:?}");
    assert_eq!(other.requests_begun(), 0);
}

/// Guards against streams that are cut although a server of their version could go on.
#[tokio::test]
async fn a_stream_that_breaks_off_goes_on_at_its_own_version() {
    let first = RawBackend::start(vec![stream_that(1, &breaks_off())]).await;
    let other = RawBackend::start(vec![stream_from(2)]).await;
    let same = RawBackend::start(vec![stream_from(2)]).await;
    let servers = [
        (&first, Some("v1")),
        (&other, Some("v2")),
        (&same, Some("v1")),
    ];
    let res = stream_begun_at_first(&servers).await;
    assert!(is_whole(&res), "{res:?}");
    assert_eq!(other.requests_begun(), 0);
}

/// Guards against a hedge that joins what two versions write (ORDER).
#[tokio::test]
async fn a_silent_stream_is_not_hedged_at_another_version() {
    let first = RawBackend::start(vec![stream_that(1, &falls_silent(2))]).await;
    let other = RawBackend::start(vec![stream_from(2)]).await;
    let res = stream_begun_at_first(&[(&first, Some("v1")), (&other, Some("v2"))]).await;
    assert!(is_whole(&res), "{res:?}");
    assert_eq!(other.requests_begun(), 0);
}

/// Guards against callers that wait for a silent server although they have no event of it yet.
#[tokio::test]
async fn a_stream_without_events_is_hedged_at_any_version() {
    let first = RawBackend::start(vec![stream_that(0, &falls_silent(1))]).await;
    let other = RawBackend::start(vec![stream_from(1)]).await;
    let res = stream_begun_at_first(&[(&first, Some("v1")), (&other, Some("v2"))]).await;
    assert!(is_whole(&res), "{res:?}");
    assert_eq!(other.requests_begun(), 1);
}

/// Guards against a stream of a server without a readable version that goes on at one that may run another.
#[tokio::test]
async fn a_stream_of_an_unknown_version_does_not_go_on_elsewhere() {
    let first = RawBackend::start(vec![stream_that(1, &breaks_off())]).await;
    let other = RawBackend::start(vec![stream_from(2)]).await;
    let res = stream_begun_at_first(&[(&first, None), (&other, None)]).await;
    assert_eq!(event_ids(&res), [1]);
    assert_eq!(other.requests_begun(), 0);
}

// Streams that callers take up again

/// A resumable stream that is sent to one server, so that only its caller can have it go on.
const ONE_ATTEMPT: &str = r#","resumable":true,"attempts":1,"gap_target_ms":600,"target_ms":1000"#;

/// Returns a gateway that relayed the first event of a stream of the first of `servers`, which then broke
/// off, and has all of them registered.
async fn gateway_with_broken_stream(
    servers: &[Versioned<'_>],
) -> (DispatcherGateway, watch::Sender<Vec<config::Backend>>) {
    let list: Vec<config::Backend> = servers.iter().enumerate().map(registration).collect();
    let registrations = watch::Sender::new(list[..1].to_vec());
    let gateway = DispatcherGateway::start("stream", ONE_ATTEMPT, registrations.subscribe()).await;
    let res = gateway.send_within(PATIENCE, "body").await;
    assert_eq!(event_ids(&res), [1]);
    registrations.send_replace(list);
    (gateway, registrations)
}

/// Returns the head's lines of a caller that has the first event of the stream of `attempt`.
fn takes_up(attempt: &str) -> String {
    let patience = PATIENCE.as_millis();
    format!("X-After: 1\r\nX-Resumes: {attempt}\r\nX-Patience: {patience}\r\n")
}

/// Guards against a stream that its caller takes up at another version (ORDER).
#[tokio::test]
async fn a_stream_is_taken_up_at_its_own_version() {
    let ends = [stream_that(1, &[Step::Reset]), stream_from(2)];
    let first = RawBackend::start(ends.to_vec()).await;
    let other = RawBackend::start(vec![stream_from(2)]).await;
    let servers = [(&first, Some("v1")), (&other, Some("v2"))];
    let (gateway, _keep) = gateway_with_broken_stream(&servers).await;
    // The crash keeps work from the first server for a moment.
    sleep(2 * SILENCE).await;
    let res = gateway.send_with_headers(&takes_up("a1"), "body").await;
    assert_eq!(event_ids(&res), [2, 3], "{res:?}");
    assert_eq!(other.requests_begun(), 0);
}

/// Guards against a caller that has an event of a stream, and may take it up, while only the router that relays
/// it knows what began it (LOST).
#[tokio::test]
async fn the_first_event_waits_until_other_routers_know_the_stream() {
    let only = RawBackend::start(vec![stream_from(1)]).await;
    let list = vec![registration((0, &(&only, Some("v1"))))];
    let registrations = watch::Sender::new(list);
    let gateway = DispatcherGateway::start("stream", ROUTE, registrations.subscribe()).await;
    gateway.peers_know.send_replace(false);
    let patience = format!("X-Patience: {}\r\n", PATIENCE.as_millis());
    let mut caller = gateway.open_request(&patience, "body").await;
    let mut before = Vec::new();
    let read = timeout(2 * HEAD_START, caller.read_to_end(&mut before));
    assert!(read.await.is_err());
    assert!(only.requests_begun() > 0);
    assert_eq!(
        event_ids(&String::from_utf8(before).unwrap()),
        Vec::<u64>::new()
    );
    gateway.peers_know.send_replace(true);
    let res = read_all(caller).await;
    assert!(is_whole(&res), "{res:?}");
}

/// Names tests of a stream that its caller takes up and that no server may go on with.
macro_rules! is_refused_as_not_run {
    ($($(#[$doc:meta])* $name:ident: $attempt:expr, $left:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            let first = RawBackend::start(vec![stream_that(1, &[Step::Reset])]).await;
            let other = RawBackend::start(vec![stream_from(2)]).await;
            let servers = [(&first, Some("v1")), (&other, Some("v2"))];
            let (gateway, registrations) = gateway_with_broken_stream(&servers).await;
            if $left {
                registrations.send_modify(|list| drop(list.remove(0)));
                sleep(HEAD_START).await;
            }
            let res = gateway.send_with_headers(&takes_up($attempt), "body").await;
            assert!(res.starts_with("HTTP/1.1 503"), "{res:?}");
            assert_eq!(other.requests_begun(), 0);
        }
    )*};
}

is_refused_as_not_run! {
    /// Guards against a stream that goes on at the new version once the old one has left (ORDER).
    a_stream_whose_version_has_left_is_not_taken_up: "a1", true;
    /// Guards against a stream of unknown origin that goes on at any version (ORDER).
    a_stream_that_nobody_knows_is_not_taken_up: "a2", false;
}

/// Guards against callers that have no event yet and are refused because nothing began their stream.
#[tokio::test]
async fn a_stream_without_events_is_begun_anew() {
    let only = RawBackend::start(vec![stream_from(1)]).await;
    let list = vec![registration((0, &(&only, Some("v1"))))];
    let registrations = watch::Sender::new(list);
    let gateway = DispatcherGateway::start("stream", ROUTE, registrations.subscribe()).await;
    let headers = takes_up("a2").replace("X-After: 1", "X-After: 0");
    let res = gateway.send_with_headers(&headers, "body").await;
    assert!(is_whole(&res), "{res:?}");
}
