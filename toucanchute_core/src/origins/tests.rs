use std::collections::BTreeSet;

use toucanchute_proto::{Millis, streams::StreamRecord};
use yare::parameterized;

use super::{StreamId, StreamOrigin, StreamOrigins, table::MAX_STREAMS};

/// Time for which these tests remember streams.
const LIFE: Millis = Millis(20_000);

const V1: Option<&str> = Some("v1");
const V2: Option<&str> = Some("v2");

fn origin(software: Option<&str>) -> StreamOrigin {
    StreamOrigin::new("model", software)
}

fn stream(name: &str) -> StreamId {
    StreamId::new("north", name.as_bytes())
}

/// Returns a router that knows registered servers of these versions.
fn router(registered: &[Option<&str>]) -> StreamOrigins {
    let mut router = StreamOrigins::default();
    router.set_registered(registered.iter().map(|&v| origin(v)).collect());
    router
}

/// Returns the same router after it began a stream at `software`.
fn router_with(registered: &[Option<&str>], name: &str, software: Option<&str>) -> StreamOrigins {
    let mut router = router(registered);
    router.record(Millis(0), stream(name), origin(software), LIFE);
    router
}

/// Guards against a take-up at another version of a stream that another router began (ORDER).
#[test]
fn a_stream_of_another_router_is_found_in_its_record() {
    let record = router_with(&[V1, V2], "a", V1).to_record(Millis(1));
    let other = router(&[V1, V2]);
    let found = other.find(stream("a"), "model", std::slice::from_ref(&record));
    assert_eq!(found, Some(origin(V1)));
}

/// Guards against a guess where two versions serve and nobody knows the stream (ORDER).
#[parameterized(
    by_registrations = { &[V1, V2], &[] },
    by_a_record = { &[V2], &[V1] },
    by_a_server_without_a_version = { &[V1, None], &[] },
)]
fn an_unknown_stream_has_no_origin_while_two_versions_serve(
    registered: &[Option<&str>],
    recorded: &[Option<&str>],
) {
    let record = router(recorded).to_record(Millis(1));
    let found = router(registered).find(stream("a"), "model", &[record]);
    assert_eq!(found, None);
}

/// Guards against refused take-ups after the loss of a router while one version serves (LOST).
#[test]
fn an_unknown_stream_began_at_the_only_version() {
    let record = router(&[V1]).to_record(Millis(1));
    let found = router(&[V1]).find(stream("a"), "model", &[record]);
    assert_eq!(found, Some(origin(V1)));
}

/// Guards against a take-up at the new version after the old one has left (ORDER).
#[test]
fn a_version_that_has_left_is_remembered_while_its_streams_may_be_taken_up() {
    let mut router = router_with(&[V1], "a", V1);
    router.set_registered(BTreeSet::from([origin(V2)]));
    let record = router.to_record(Millis(1));
    let restarted = self::router(&[V2]);
    let records = [record];
    assert_eq!(
        restarted.find(stream("a"), "model", &records),
        Some(origin(V1))
    );
    assert_eq!(restarted.find(stream("b"), "model", &records), None);
}

/// Guards against streams that are forgotten before they can end (ORDER), or never (memory).
#[test]
fn a_stream_is_known_until_it_can_no_longer_be_taken_up() {
    let mut router = router_with(&[V1, V2], "a", V1);
    let names_stream =
        |record: &StreamRecord| record.software.iter().any(|s| !s.streams.is_empty());
    assert!(names_stream(&router.to_record(LIFE - Millis(1))));
    assert!(!names_stream(&router.to_record(LIFE)));
}

/// Guards against writes of streams to the store while one version answers for all.
#[test]
fn streams_of_a_service_with_one_version_are_not_recorded() {
    let record = router_with(&[V1], "a", V1).to_record(Millis(1));
    assert_eq!(record.software.len(), 1);
    assert!(record.software[0].streams.is_empty());
}

/// Guards against a router that forgets its streams when it starts again.
#[test]
fn a_router_that_starts_again_adopts_its_record() {
    let record = router_with(&[V1, V2], "a", V1).to_record(Millis(1));
    let mut restarted = router(&[V1, V2]);
    restarted.adopt(Millis(2), &record);
    assert_eq!(restarted.find(stream("a"), "model", &[]), Some(origin(V1)));
    assert_eq!(restarted.to_record(Millis(3)), record);
}

/// Guards against a caller that learns of another customer's stream, or takes part in it.
#[test]
fn a_stream_of_another_customer_is_unknown() {
    let router = router_with(&[V1, V2], "a", V1);
    let other = StreamId::new("south", b"a");
    assert_eq!(router.find(other, "model", &[]), None);
}

/// Guards against memory without a bound.
#[test]
fn the_streams_that_end_first_are_forgotten_first() {
    let mut router = router(&[V1, V2]);
    for i in 0..=MAX_STREAMS {
        let until = LIFE + Millis(i as u64);
        router.record(Millis(0), stream(&i.to_string()), origin(V1), until);
    }
    assert_eq!(router.begun.len(), MAX_STREAMS);
    assert_eq!(router.find_own(stream("0")), None);
    assert_eq!(router.find_own(stream("1")), Some(origin(V1)));
}

/// Guards against records that contradict each other, of which one is believed.
#[test]
fn a_stream_with_two_origins_is_unknown() {
    let records = [
        router_with(&[V1, V2], "a", V1).to_record(Millis(1)),
        router_with(&[V1, V2], "a", V2).to_record(Millis(1)),
    ];
    assert_eq!(router(&[V1, V2]).find(stream("a"), "model", &records), None);
}
