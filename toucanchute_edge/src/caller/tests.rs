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
    control::{Refusal, RefusalReason, RequestOutcome},
    problem::Problem,
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

fn refused(headers: &[(&'static str, &'static str)], reason: RefusalReason) -> RequestOutcome {
    let index = Arc::new(ConfigIndex::new(Arc::new(config())));
    let customer = index.authenticate(b"secret").unwrap();
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().unwrap());
    }
    let caller = CallerRequest::new(index, customer, "/", &map, Bytes::new(), Millis(1)).unwrap();
    let refusal = Refusal {
        reason,
        outcome: RequestOutcome::NotRun,
        retry_after: None,
        elsewhere: None,
    };
    caller.adjust_outcome(Problem::from(refusal)).outcome
}

/// A refused request that may have been sent before has an unknown outcome: the earlier request may
/// have run at another router.
#[parameterized(
    no_key = { &[], RefusalReason::Draining, RequestOutcome::NotRun },
    key_alone = { &[("idempotency-key", "k")], RefusalReason::Draining, RequestOutcome::Unknown },
    fresh_key = {
        &[("idempotency-key", "k"), ("toucanchute-retry", "0")],
        RefusalReason::LedgerUnavailable,
        RequestOutcome::NotRun,
    },
    retried_key = {
        &[("idempotency-key", "k"), ("toucanchute-retry", "2")],
        RefusalReason::LedgerUnavailable,
        RequestOutcome::Unknown,
    },
    reused_key = { &[("idempotency-key", "k")], RefusalReason::KeyReused, RequestOutcome::NotRun },
)]
fn outcome_of_refusal(
    headers: &[(&'static str, &'static str)],
    reason: RefusalReason,
    expected: RequestOutcome,
) {
    assert_eq!(refused(headers, reason), expected);
}
