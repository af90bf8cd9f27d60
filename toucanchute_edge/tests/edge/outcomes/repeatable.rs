//! What callers are told of requests that may run again: idempotent calls and completions.

use serde_json::json;

use super::{
    BUSY, FIRST, LATE_STATUS, LIMITED, NOT_RUN, complete, completion_answer, response_to,
    start_edge, stream_answer, tell,
};
use crate::{
    raw_backend::{EARLIER, OWN, RawBackend, Step},
    support::{start_engines, start_services},
};

/// Guards against a promise for an idempotent call that ran and was then refused elsewhere.
#[tokio::test]
async fn a_run_followed_by_a_refusal_is_no_promise() {
    let broken = RawBackend::start(vec![vec![Step::Run, Step::Reset]]).await;
    let full = start_services(&[json!({"mode": "refuse"})]).await;
    let edge = start_edge(&[broken.backend.address, full[0].address()]).await;
    let told = tell(&edge, "/v1/services/weather/today", None, &json!({})).await;
    assert_eq!(told.problem["outcome"], "failed", "{told:?}");
}

/// Calls a service that runs an idempotent call and answers with `answer`: no promise, and nothing
/// is billed.
async fn check_idempotent_call(answer: String) {
    let only = RawBackend::start(vec![vec![Step::Run, Step::Write(answer)]]).await;
    let edge = start_edge(&[only.backend.address]).await;
    let told = tell(&edge, "/v1/services/weather/today", None, &json!({})).await;
    assert_eq!(told.problem["outcome"], "failed", "{told:?}");
    assert_eq!(edge.control.events().last().unwrap(), "release");
}

/// Requests a completion of an engine that runs it and answers with `answer`: no promise, and
/// nothing is billed.
async fn check_completion(answer: String) {
    let only = RawBackend::start(vec![vec![Step::Run, Step::Write(answer)]]).await;
    let edge = start_edge(&[only.backend.address]).await;
    let told = complete(&edge, false).await;
    assert_eq!(only.attempts_run(), [FIRST]);
    assert_eq!(told.problem["outcome"], "failed", "{told:?}");
    assert_eq!(edge.control.events().last().unwrap(), "release");
}

/// Names tests of backend servers that run a request that may run again, and answer with these
/// bytes.
macro_rules! ran_once {
    ($($name:ident: $check:ident, $answer:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            $check($answer).await;
        }
    )*};
}

// Guard against a status, or a response to another attempt, that is taken for a promise although
// the backend server ran the request.
ran_once! {
    a_503_to_an_idempotent_call_is_no_promise: check_idempotent_call,
        response_to(OWN, BUSY, "", "");
    a_408_to_an_idempotent_call_is_no_promise: check_idempotent_call,
        response_to(OWN, LATE_STATUS, "", "");
    a_refusal_of_another_idempotent_call_is_no_promise: check_idempotent_call,
        response_to("other", BUSY, NOT_RUN, "");
    a_503_to_a_completion_is_no_promise: check_completion, response_to(OWN, BUSY, "", "");
    a_429_to_a_completion_is_no_promise: check_completion, response_to("", LIMITED, "", "");
    a_404_to_a_completion_is_no_promise: check_completion, response_to(OWN, "404 Not Found", "", "");
    a_400_to_a_completion_is_no_promise: check_completion,
        response_to(OWN, "400 Bad Request", "", "");
    a_400_to_another_completion_is_no_promise: check_completion,
        response_to("other", "400 Bad Request", NOT_RUN, "");
    a_refusal_of_another_completion_is_no_promise: check_completion,
        response_to("other", BUSY, NOT_RUN, "");
}

/// Guards against a late refusal of an earlier completion that ends a later one with a promise.
#[tokio::test]
async fn a_late_refusal_of_a_completion_is_no_promise() {
    let connection = vec![
        Step::Run,
        Step::Write(completion_answer()),
        Step::Run,
        Step::Write(response_to(EARLIER, BUSY, NOT_RUN, "")),
    ];
    let only = RawBackend::start(vec![connection]).await;
    let edge = start_edge(&[only.backend.address]).await;
    assert_eq!(complete(&edge, false).await.status, 200);
    let told = complete(&edge, false).await;
    assert_eq!(only.connection_count(), 1, "the connection was not kept");
    assert_eq!(only.attempts_run().len(), 2);
    assert_eq!(told.problem["outcome"], "failed", "{told:?}");
}

/// Guards against a stream that broke off and is promised not to have run when no other engine takes
/// it on.
#[tokio::test]
async fn half_a_stream_is_no_promise() {
    let whole = RawBackend::start(vec![vec![Step::Run, Step::Write(stream_answer())]]).await;
    let edge = start_edge(&[whole.backend.address]).await;
    let told = complete(&edge, true).await;
    assert!(told.body.ends_with(b"data: [DONE]\n\n"), "{told:?}");
    let half = stream_answer();
    let half = half[..half.len() * 2 / 3].to_owned();
    let steps = vec![Step::Run, Step::Write(half), Step::Close];
    let broken = RawBackend::start(vec![steps]).await;
    let full = start_engines(&[json!({"mode": "refuse"})]).await;
    let edge = start_edge(&[broken.backend.address, full[0].address()]).await;
    let told = complete(&edge, true).await;
    assert!(told.body.starts_with(b"data: "), "{told:?}");
    assert_eq!(told.problem["outcome"], "failed", "{told:?}");
}

/// Guards against a cautious router that withholds a promise from a caller whose completion was
/// refused.
#[tokio::test]
async fn a_refused_completion_is_a_promise() {
    let engines = start_engines(&[json!({"mode": "refuse"})]).await;
    let edge = start_edge(&[engines[0].address()]).await;
    assert_eq!(complete(&edge, false).await.problem["outcome"], "not-run");
}
