use toucanchute_proto::Millis;
use yare::parameterized;

use super::{ConnectionLifetime, ObservedEnds};

const BACKEND: &str = "b0";

/// When a connection to the backend server ended.
const END: Millis = Millis(10_000);

/// Whether a connection with this lifetime is confirmed. The registrations are known as of `as_of`, and name
/// the run that was assigned.
fn is_confirmed(opened_at: u64, ended_at: Option<u64>, as_of: u64) -> bool {
    let ends = ObservedEnds::default();
    ends.record(BACKEND, END);
    let lifetime = ConnectionLifetime {
        opened_at: Millis(opened_at),
        ended_at: ended_at.map(Millis),
    };
    ends.is_confirmed(BACKEND, lifetime, |at| Millis(as_of) >= at)
}

/// Guards against streams that are cut because connections to their server broke later.
#[test]
fn a_connection_from_before_the_end_is_confirmed_at_once() {
    assert!(is_confirmed(5_000, Some(10_000), 9_000));
}

/// Guards against a server that started again as another version and is taken for its earlier run, by a
/// registration that is older than the process (ORDER).
#[parameterized(
    opened_afterwards = { 10_100, None, 11_000 },
    opened_before_the_end_was_noticed = { 9_950, None, 11_000 },
    ended_before_it_would_have_registered = { 10_100, Some(11_000), 14_000 },
)]
fn a_connection_that_may_lead_to_a_later_run_is_not_confirmed(
    opened_at: u64,
    ended_at: Option<u64>,
    as_of: u64,
) {
    assert!(!is_confirmed(opened_at, ended_at, as_of));
}

/// Guards against a server that is kept from streams for good because one of its connections broke.
#[test]
fn a_connection_is_confirmed_once_a_later_run_would_have_registered() {
    assert!(is_confirmed(10_100, None, 11_600));
}

/// Guards against a later end that makes connections to an unknown run look older than it.
#[test]
fn the_first_end_counts() {
    let ends = ObservedEnds::default();
    ends.record(BACKEND, END);
    ends.record(BACKEND, END + Millis(5_000));
    let lifetime = ConnectionLifetime::since(END + Millis(100));
    assert!(!ends.is_confirmed(BACKEND, lifetime, |_| false));
}

#[test]
fn a_server_without_an_observed_end_is_confirmed() {
    let ends = ObservedEnds::default();
    ends.record("b1", END);
    let lifetime = ConnectionLifetime::since(END);
    assert!(ends.is_confirmed(BACKEND, lifetime, |_| false));
}
