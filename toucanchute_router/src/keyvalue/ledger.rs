use std::sync::Arc;

use toucanchute_core::ledger::{StoreRequest, StoreResult};
use toucanchute_store::{CasOutcome, Revision, Store, StoreError, WriteEffect};

/// Executes the ledger's requests on the platform's key-value service.
#[derive(Debug)]
pub(crate) struct LedgerStore<S> {
    client: Arc<S>,
}

impl<S> Clone for LedgerStore<S> {
    fn clone(&self) -> LedgerStore<S> {
        LedgerStore {
            client: Arc::clone(&self.client),
        }
    }
}

impl<S: Store> LedgerStore<S> {
    /// Creates a store that uses `client`.
    pub(crate) fn new(client: Arc<S>) -> LedgerStore<S> {
        LedgerStore { client }
    }

    /// Executes one request. A failed call is logged and returned as a result that states whether
    /// the request may have been applied.
    pub(crate) async fn execute(&self, request: StoreRequest) -> StoreResult {
        let result = match request {
            StoreRequest::Get { key } => self.get(&key.path()).await,
            StoreRequest::Cas {
                key,
                expected_revision,
                value,
            } => {
                let expected = Revision(expected_revision);
                let cas = self.client.cas(&key.path(), expected, value).await;
                cas.map(|cas| cas_result(&cas))
            }
        };
        result.unwrap_or_else(|e| failure_result(&e))
    }

    async fn get(&self, path: &str) -> Result<StoreResult, StoreError> {
        let entry = self.client.get(path).await?;
        Ok(
            entry.map_or(StoreResult::Missing, |entry| StoreResult::Value {
                revision: entry.revision.0,
                value: entry.value,
            }),
        )
    }
}

fn cas_result(cas: &CasOutcome) -> StoreResult {
    match cas {
        CasOutcome::Applied { revision } => StoreResult::Applied {
            revision: revision.0,
        },
        CasOutcome::Conflict { .. } => StoreResult::Conflict,
    }
}

fn failure_result(error: &StoreError) -> StoreResult {
    log::warn!(error:% = error; "platform-call-failed");
    match error.write_effect() {
        WriteEffect::NotApplied => StoreResult::Unavailable,
        WriteEffect::Unknown => StoreResult::Unknown,
    }
}
