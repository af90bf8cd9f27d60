//! An in-memory store with the operations of the platform's key-value service.

use std::collections::BTreeMap;

use toucanchute_core::ledger::{StoreKey, StoreRequest, StoreResult};
use toucanchute_proto::{Bytes, Revision};

/// Values, each with the revision of its last write.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryStore {
    values: BTreeMap<StoreKey, (u64, Bytes)>,
    /// Number of the last revision, and the number of times that the store came back from a copy.
    revision: u64,
    restores: u64,
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

    /// Returns the era, which rises with each restore.
    #[allow(dead_code, reason = "not every test restores the store")]
    pub(crate) fn era(&self) -> u64 {
        self.restores + 1
    }

    /// Returns to the state of a copy. Numbers of revisions are given out again.
    #[allow(dead_code, reason = "not every test restores the store")]
    pub(crate) fn restore(&mut self, copy: MemoryStore) {
        let restores = self.restores + 1;
        *self = MemoryStore { restores, ..copy };
    }

    /// Returns a revision of the present era. Before the first restore it is a bare number, as tests
    /// of other state machines expect.
    fn in_era(&self, number: u64) -> u64 {
        match self.restores {
            0 => number,
            _ => Revision::new(self.era(), number).0,
        }
    }

    /// Applies a request and returns its result.
    pub(crate) fn apply(&mut self, request: &StoreRequest) -> StoreResult {
        match request {
            StoreRequest::Get { key } => match self.values.get(key) {
                Some((revision, value)) => StoreResult::Value {
                    revision: self.in_era(*revision),
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
                let present = if present == 0 {
                    0
                } else {
                    self.in_era(present)
                };
                if present != *expected_revision {
                    return StoreResult::Conflict;
                }
                self.revision += 1;
                self.values.insert(*key, (self.revision, value.clone()));
                StoreResult::Applied {
                    revision: self.in_era(self.revision),
                }
            }
        }
    }
}
