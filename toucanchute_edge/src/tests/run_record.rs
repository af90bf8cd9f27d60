//! Which evidence proves that a request did not run.

use std::io;

use http::StatusCode;
use toucanchute_proto::{AttemptId, Incarnation};

use crate::{
    backend::BackendError,
    passthrough::{AttemptMatch, ResponseRecord, SendError},
    run_record::{AttemptNotRun, RunRecord},
};

const FIRST: AttemptId = AttemptId(Incarnation(1), 1);
const SECOND: AttemptId = AttemptId(Incarnation(1), 2);

fn unsent(attempt: AttemptId) -> AttemptNotRun {
    AttemptNotRun::from_send_error(attempt, &SendError::Unsent).unwrap()
}

fn response(status: StatusCode, attempt: AttemptMatch, not_run: bool) -> ResponseRecord {
    ResponseRecord {
        status,
        attempt,
        not_run,
        reused: true,
    }
}

#[test]
fn an_attempt_that_has_begun_may_have_run() {
    let mut record = RunRecord::new();
    record.begin_attempt(FIRST);
    assert_eq!(record.not_run(), None);
    record.attempt_not_run(&unsent(FIRST));
    assert!(record.not_run().is_some());
}

/// Guards against the proof of one attempt that counts for another.
#[test]
fn a_proof_counts_for_its_own_attempt_only() {
    let mut record = RunRecord::new();
    record.begin_attempt(FIRST);
    record.begin_attempt(SECOND);
    record.attempt_not_run(&unsent(SECOND));
    record.attempt_not_run(&unsent(SECOND));
    assert_eq!(record.not_run(), None);
}

#[test]
fn errors_before_anything_is_written_are_proof() {
    let refused = SendError::Connect {
        source: io::ErrorKind::ConnectionRefused.into(),
    };
    let proves = |e: &SendError| AttemptNotRun::from_send_error(FIRST, e).is_some();
    assert!(proves(&refused) && proves(&SendError::Unsent));
    assert!(!proves(&SendError::TooManyInterim));
}

/// Guards against an error of a request that was written, such as half an answer, that is taken for
/// proof.
#[test]
fn errors_after_a_request_was_written_are_no_proof() {
    let detail = "the response is for another attempt".to_owned();
    for error in [
        BackendError::Truncated,
        BackendError::Timeout,
        BackendError::Malformed { detail },
        BackendError::TooLarge { limit: 1 },
    ] {
        let proof = AttemptNotRun::from_backend_error(FIRST, &error);
        assert!(proof.is_none(), "{error}");
    }
}

/// Names tests of responses, with the attempt that they name, whether they state that the request
/// did not run, and whether that is proof.
macro_rules! proves {
    ($($name:ident: $status:ident, $attempt:ident, $not_run:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let response = response(StatusCode::$status, AttemptMatch::$attempt, $not_run);
            let proof = AttemptNotRun::from_response(FIRST, &response);
            assert_eq!(proof.is_some(), $expected);
            let error = BackendError::Refused { response };
            let proof = AttemptNotRun::from_backend_error(FIRST, &error);
            assert_eq!(proof.is_some(), $expected);
        }
    )*};
}

// Guard against a status, or a refusal of another attempt, that is taken for proof.
proves! {
    own_503_that_states_it: SERVICE_UNAVAILABLE, Own, true, true;
    own_429_that_states_it: TOO_MANY_REQUESTS, Own, true, true;
    own_421: MISDIRECTED_REQUEST, Own, false, true;
    own_503: SERVICE_UNAVAILABLE, Own, false, false;
    own_429: TOO_MANY_REQUESTS, Own, false, false;
    own_408: REQUEST_TIMEOUT, Own, false, false;
    other_503_that_states_it: SERVICE_UNAVAILABLE, Other, true, false;
    other_421: MISDIRECTED_REQUEST, Other, true, false;
    absent_503_that_states_it: SERVICE_UNAVAILABLE, Absent, true, false;
    absent_421: MISDIRECTED_REQUEST, Absent, true, false;
}

/// Guards against a warning for each request without an attempt, which backend servers reject with
/// 400 and rightly state not to have run.
#[test]
fn a_rejected_request_without_an_attempt_is_no_unproven_promise() {
    let rejected = response(StatusCode::BAD_REQUEST, AttemptMatch::Absent, true);
    assert!(!rejected.is_unproven_promise());
    let refused = response(StatusCode::SERVICE_UNAVAILABLE, AttemptMatch::Absent, true);
    assert!(refused.is_unproven_promise());
    let late = response(StatusCode::BAD_REQUEST, AttemptMatch::Other, true);
    assert!(late.is_unproven_promise());
}
