//! What callers are told by a router that has no configuration yet.

use serde_json::json;

use super::{book, complete};
use crate::{
    support::{TestEdge, read_json},
    test_control::TestControl,
};

/// Guards against a valid request that a router which has just started, and can't check tokens or
/// names yet, refuses for good.
#[tokio::test]
async fn a_starting_router_refuses_for_now() {
    let edge = TestEdge::start(TestControl::new(&[]).without_config()).await;
    for told in [book(&edge, "k1").await, complete(&edge, true).await] {
        assert_eq!(told.status, 503, "{told:?}");
        assert_eq!(told.problem["reason"], "starting", "{told:?}");
        assert_eq!(told.problem["retryable"], true, "{told:?}");
        assert_eq!(told.problem["outcome"], "not-run", "{told:?}");
    }
}

/// Guards against a promise for a key under which another router may have run the request.
#[tokio::test]
async fn a_starting_router_promises_nothing_of_a_key() {
    let edge = TestEdge::start(TestControl::new(&[]).without_config()).await;
    let path = "/v1/services/vans/book";
    let res = edge.post(path, Some("k1"), &json!({})).await;
    let problem = read_json(res).await;
    assert_eq!(problem["outcome"], "unknown", "{problem}");
}
