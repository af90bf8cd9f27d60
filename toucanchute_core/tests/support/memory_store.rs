//! An in-memory store with the operations of the platform's key-value service.

use std::collections::BTreeMap;

use toucanchute_core::ledger::{StoreKey, StoreRequest, StoreResult};
use toucanchute_proto::Bytes;

/// Values, each with the revision of its last write.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    values: BTreeMap<StoreKey, (u64, Bytes)>,
    revision: u64,
}

impl MemoryStore {
    /// Replaces the value of each existing key by `value`.
    #[allow(dead_code, reason = "not every test needs a second writer")]
    pub(crate) fn overwrite(&mut self, value: &Bytes) {
        for (revision, present) in self.values.values_mut() {
            self.revision += 1;
            *revision = self.revision;
            present.clone_from(value);
        }
    }

    /// Applies a request and returns its result.
    pub(crate) fn apply(&mut self, request: &StoreRequest) -> StoreResult {
        match request {
            StoreRequest::Get { key } => match self.values.get(key) {
                Some((revision, value)) => StoreResult::Value {
                    revision: *revision,
                    value: value.clone(),
                },
                None => StoreResult::Missing,
            },
            StoreRequest::Cas {
                key,
                expected_revision,
                value,
            } => {
                let present = self.values.get(key).map_or(0, |(r, _)| *r);
                if present != *expected_revision {
                    return StoreResult::Conflict;
                }
                self.revision += 1;
                self.values.insert(*key, (self.revision, value.clone()));
                StoreResult::Applied {
                    revision: self.revision,
                }
            }
        }
    }
}
