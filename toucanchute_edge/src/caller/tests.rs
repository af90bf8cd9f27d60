use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use toucanchute_proto::{
    Millis,
    config::{Budget, Config, Customer},
};
use yare::parameterized;

use super::CallerRequest;
use crate::{
    config_index::{ConfigIndex, sha256},
    control::{Refusal, RefusalOutcome, RefusalReason},
    problem::Problem,
    run_record::RunRecord,
};

fn config() -> Config {
    let token_sha256 = sha256(b"secret")
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    let customer = Customer {
        name: "ana".to_owned(),
        budget: "north".to_owned(),
        token_sha256,
        priority: 0,
        weight: 1,
        other_tokens_sha256: Vec::new(),
        route_priority: None,
        regions: Vec::new(),
    };
    let budget = Budget {
        name: "north".to_owned(),
        prepaid: None,
    };
    Config {
        version: 1,
        budgets: vec![budget],
        customers: vec![customer],
        ..Config::default()
    }
}

fn refused(headers: &[(&'static str, &'static str)], reason: RefusalReason) -> &'static str {
    let index = Arc::new(ConfigIndex::new(Arc::new(config())));
    let customer = index.authenticate(b"secret").unwrap();
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().unwrap());
    }
    let caller = CallerRequest::new(index, customer, "/", &map, Bytes::new(), Millis(1)).unwrap();
    let refusal = Refusal {
        reason,
        outcome: RefusalOutcome::NothingSent,
        retry_after: None,
        elsewhere: None,
    };
    let problem = Problem::from_refusal(&refusal, &RunRecord::new());
    caller.adjust_outcome(problem).outcome.name()
}

/// A refused request that may have been sent before has an unknown outcome: the earlier request may
/// have run at another router.
#[parameterized(
    no_key = { &[], RefusalReason::Draining, "not-run" },
    key_alone = { &[("idempotency-key", "k")], RefusalReason::Draining, "unknown" },
    fresh_key = {
        &[("idempotency-key", "k"), ("toucanchute-retry", "0")],
        RefusalReason::LedgerUnavailable,
        "not-run",
    },
    retried_key = {
        &[("idempotency-key", "k"), ("toucanchute-retry", "2")],
        RefusalReason::LedgerUnavailable,
        "unknown",
    },
    reused_key = { &[("idempotency-key", "k")], RefusalReason::KeyReused, "not-run" },
)]
fn outcome_of_refusal(
    headers: &[(&'static str, &'static str)],
    reason: RefusalReason,
    expected: &str,
) {
    assert_eq!(refused(headers, reason), expected);
}
