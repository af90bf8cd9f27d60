//! An in-memory store for tests of what a gateway keeps there.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use toucanchute_proto::Millis;
use toucanchute_store::{
    CasOutcome, Entry, KeySelection, LeaseId, Revision, Snapshot, Store, StoreError, Watch,
};

/// An in-memory key-value store that can simulate a write by another router between a read and a
/// compare-and-swap.
#[derive(Clone, Default)]
pub(super) struct MemoryStore {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    /// Value that another router writes right before the next compare-and-swap.
    pub(super) concurrent_write: Arc<Mutex<Option<Bytes>>>,
    /// Whether writes without a condition never return, as at a store whose answers are lost.
    pub(super) holds_writes: Arc<AtomicBool>,
}

impl MemoryStore {
    pub(super) fn set(&self, key: &str, value: Bytes) -> Revision {
        let mut entries = self.entries.lock().unwrap();
        let revision = entries.get(key).map_or(Revision(1), |e| e.revision.next());
        let key = key.to_owned();
        let entry = Entry {
            key: key.clone(),
            value,
            revision,
        };
        entries.insert(key, entry);
        revision
    }

    pub(super) fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.lock().unwrap().get(key).cloned()
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.entry(key))
    }

    async fn get_prefix(&self, prefix: &str) -> Result<Snapshot, StoreError> {
        let entries = self.entries.lock().unwrap();
        let found = entries.values().filter(|e| e.key.starts_with(prefix));
        Ok(Snapshot {
            entries: found.cloned().collect(),
            ..Snapshot::default()
        })
    }

    async fn cas(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> Result<CasOutcome, StoreError> {
        if let Some(concurrent_write) = self.concurrent_write.lock().unwrap().take() {
            self.set(key, concurrent_write);
        }
        let current = self.entry(key);
        let revision = current.as_ref().map_or(Revision::ABSENT, |e| e.revision);
        match revision == expected {
            true => Ok(CasOutcome::Applied {
                revision: self.set(key, value),
            }),
            false => Ok(CasOutcome::Conflict { current }),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        _lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        if self.holds_writes.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        Ok(self.set(key, value))
    }

    async fn delete(&self, _key: &str) -> Result<bool, StoreError> {
        Ok(false)
    }

    async fn grant_lease(&self, _ttl: Millis) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<Millis, StoreError> {
        Ok(Millis(0))
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    fn watch(&self, _selection: KeySelection, _from: Revision) -> Watch {
        Watch::channel().1
    }
}
