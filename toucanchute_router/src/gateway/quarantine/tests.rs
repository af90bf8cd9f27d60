//! The list of quarantines in a store in memory, with writers that meet.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use toucanchute_proto::{Digest, Incarnation, Millis, fleet::Standing};
use toucanchute_store::{Entry, LeaseId, Selection, Snapshot, Watch};

use super::*;

/// A key-value service of one process; another writer may come between a reading and a write.
#[derive(Clone, Default)]
struct MemoryStore {
    entries: Arc<Mutex<BTreeMap<String, Entry>>>,
    /// What another writer writes right before the next condition is looked at.
    concurrent_write: Arc<Mutex<Option<Bytes>>>,
}

impl MemoryStore {
    fn set(&self, key: &str, value: Bytes) -> Revision {
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

    fn entry(&self, key: &str) -> Option<Entry> {
        self.entries.lock().unwrap().get(key).cloned()
    }
}

impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        Ok(self.entry(key))
    }

    async fn get_prefix(&self, _prefix: &str) -> Result<Snapshot, StoreError> {
        Ok(Snapshot::default())
    }

    async fn cas(&self, key: &str, expected: Revision, value: Bytes) -> Result<Cas, StoreError> {
        if let Some(concurrent_write) = self.concurrent_write.lock().unwrap().take() {
            self.set(key, concurrent_write);
        }
        let current = self.entry(key);
        let revision = current.as_ref().map_or(Revision::ABSENT, |e| e.revision);
        match revision == expected {
            true => Ok(Cas::Applied {
                revision: self.set(key, value),
            }),
            false => Ok(Cas::Conflict { current }),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        _lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
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

    fn watch(&self, _selection: Selection, _from: Revision) -> Watch {
        Watch::channel().1
    }
}

/// A quarantine that lasts for `left` from now on.
fn quarantine(digest: u128, remaining_ms: u64) -> Verdict {
    Verdict {
        digest: Digest(digest),
        standing: Standing::Quarantined,
        router: Incarnation(1),
        crash: None,
        claim: None,
        until: clock::now() + Millis(remaining_ms),
    }
}

fn digests(stored: &[Verdict]) -> Vec<u128> {
    let mut digests: Vec<u128> = stored.iter().map(|v| v.digest.0).collect();
    digests.sort_unstable();
    digests
}

#[tokio::test]
async fn what_is_kept_is_read_again() {
    let store = MemoryStore::default();
    add_to_list(&store, &[quarantine(1, 60_000)]).await.unwrap();
    add_to_list(&store, &[quarantine(2, 60_000), quarantine(1, 50_000)])
        .await
        .unwrap();
    let (_, stored) = read_list(&store).await.unwrap();
    assert_eq!(digests(&stored), [1, 2]);
}

// Guards against one router's quarantine lost to another one that wrote at the same time.
#[tokio::test]
async fn a_writer_that_was_overtaken_adds_to_what_the_other_wrote() {
    let store = MemoryStore::default();
    let concurrent_write = to_cbor(&vec![quarantine(2, 60_000)]);
    *store.concurrent_write.lock().unwrap() = Some(concurrent_write);
    let added = [quarantine(1, 60_000)];
    let first = add_to_list(&store, &added).await;
    assert!(matches!(first, Err(QuarantineWriteError::Conflict)));
    add_to_list(&store, &added).await.unwrap();
    let (_, stored) = read_list(&store).await.unwrap();
    assert_eq!(digests(&stored), [1, 2]);
}

// Guards against a damaged list that makes every later write fail, so that no quarantine is stored
// any more.
#[tokio::test]
async fn a_list_that_cannot_be_decoded_is_replaced() {
    let store = MemoryStore::default();
    store.set(QUARANTINE_KEY, Bytes::from_static(b"\xff"));
    add_to_list(&store, &[quarantine(1, 60_000)]).await.unwrap();
    let (_, stored) = read_list(&store).await.unwrap();
    assert_eq!(digests(&stored), [1]);
}

#[test]
fn nothing_is_written_for_what_is_known() {
    let now = clock::now();
    let stored = vec![quarantine(1, 60_000)];
    assert!(merge(now, stored, &[quarantine(1, 90_000)]).is_none());
}

// Guards against a value that grows until the store refuses it.
#[test]
fn the_list_is_bounded_and_forgets_what_is_over() {
    let now = clock::now();
    let expired = Verdict {
        until: now,
        ..quarantine(0, 0)
    };
    let stored = vec![expired, quarantine(1, 1_000)];
    let added: Vec<_> = (2..=MAX_QUARANTINES as u128 + 1)
        .map(|d| quarantine(d, 60_000))
        .collect();
    let list = merge(now, stored, &added).unwrap();
    assert_eq!(list.len(), MAX_QUARANTINES);
    assert!(!digests(&list).contains(&0) && !digests(&list).contains(&1));
}
