use std::time::Duration;

use super::RoutePace;

const GAP: Duration = Duration::from_millis(100);

#[test]
fn a_request_without_observations_is_not_estimated() {
    assert_eq!(RoutePace::default().expected(Some(10)), None);
}

#[test]
fn a_stream_is_estimated_by_its_events() {
    let pace = RoutePace::default();
    pace.record_first_event(GAP);
    for _ in 0..100 {
        pace.record_events(2 * GAP, 2);
    }
    let expected = pace.expected(Some(11)).unwrap();
    assert!((11 * GAP..12 * GAP).contains(&expected), "{expected:?}");
}

#[test]
fn a_request_whose_events_are_unknown_is_estimated_by_whole_requests() {
    let pace = RoutePace::default();
    pace.record_events(GAP, 1);
    assert_eq!(pace.expected(None), None);
    for _ in 0..100 {
        pace.record_whole(3 * GAP);
    }
    let expected = pace.expected(None).unwrap();
    assert!((3 * GAP..4 * GAP).contains(&expected), "{expected:?}");
}
