use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use http::StatusCode;
use serde_json::{Value, json};
use toucanchute_edge::{
    AddressList, AssignRequest, Assignment, AttemptReport, CallOutcome, Control, IntentDecision,
    IntentRequest, Refusal, Reservation, ReserveRequest, Settlement,
};
use toucanchute_proto::{AttemptId, Incarnation, RequestKey, config::Config};

/// SHA-256 of "bench-secret", the token of the benchmark's customer.
const TOKEN_SHA256: &str = "0159438a9235d6abde38e49fb98944660d067d6b9b03d8a8f4ee4e522feb62cb";

/// A control that grants every request at once, so that only the edge is measured.
pub(crate) struct GrantAllControl {
    config: Arc<Config>,
    engine: SocketAddr,
    attempts: AtomicU64,
}

impl GrantAllControl {
    /// Creates a control that assigns every request to `engine`.
    pub(crate) fn new(engine: SocketAddr) -> GrantAllControl {
        let config = json!({
            "site": "bench", "version": 1, "ledger": {}, "routing": {},
            "customers": [{"name": "c", "budget": "b", "token_sha256": TOKEN_SHA256}],
            "models": [{"name": "m", "pool": "p"}],
        });
        GrantAllControl {
            config: Arc::new(serde_json::from_value(config).expect("a valid configuration")),
            engine,
            attempts: AtomicU64::new(1),
        }
    }
}

impl Control for GrantAllControl {
    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    fn addresses(&self) -> AddressList {
        AddressList::default()
    }

    fn unready(&self) -> Option<Refusal> {
        None
    }

    async fn reserve(&self, req: ReserveRequest) -> Result<Reservation, Refusal> {
        Ok(Reservation {
            key: req.key,
            id: 0,
            tokens: req.tokens,
        })
    }

    async fn settle(&self, _: Reservation, _: u64) -> Result<Settlement, Refusal> {
        Ok(Settlement::Billed)
    }

    fn release(&self, _: Reservation) {}

    async fn commit_intent(&self, _: IntentRequest) -> Result<IntentDecision, Refusal> {
        Ok(IntentDecision::Accepted)
    }

    fn record_outcome(&self, _: RequestKey, _: CallOutcome) {}

    async fn assign(&self, _: AssignRequest) -> Result<Assignment, Refusal> {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        Ok(Assignment {
            attempt: AttemptId(Incarnation(1), number),
            backend: "engine".to_owned(),
            address: self.engine,
            rate_limited: false,
            software: None,
        })
    }

    fn report(&self, _: AttemptId, _: AttemptReport) {}

    async fn admin(&self, _: http::Method, _: String, _: Bytes) -> (StatusCode, Value) {
        (StatusCode::NOT_FOUND, Value::Null)
    }
}
