//! Tests of the stored list of quarantines, with an in-memory store and concurrent writers.

use bytes::Bytes;
use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{Scope, Standing},
};

use super::*;
use crate::gateway::memory_store::MemoryStore;

/// Returns a quarantine that expires in `remaining_ms` milliseconds.
fn quarantine(digest: u128, remaining_ms: u64) -> Verdict {
    Verdict {
        digest: Digest(digest),
        scope: Scope::Request,
        crashes: 0,
        candidates: Vec::new(),
        named: false,
        trial_at: None,
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
async fn stored_quarantines_are_read_back() {
    let store = MemoryStore::default();
    add_to_list(&store, &[quarantine(1, 60_000)]).await.unwrap();
    add_to_list(&store, &[quarantine(2, 60_000), quarantine(1, 50_000)])
        .await
        .unwrap();
    let (_, stored) = read_list(&store).await.unwrap();
    assert_eq!(digests(&stored), [1, 2]);
}

// Guards against a lost quarantine when two routers write the list at the same time.
#[tokio::test]
async fn a_write_after_a_conflict_keeps_the_quarantines_of_the_other_router() {
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
fn a_quarantine_in_the_list_is_not_written_again() {
    let now = clock::now();
    let stored = vec![quarantine(1, 60_000)];
    assert!(merge(now, stored, &[quarantine(1, 90_000)]).is_none());
}

// Guards against a part whose later quarantine is lost with a restart, so that its trials begin anew.
#[test]
fn a_later_quarantine_of_a_part_replaces_the_one_in_the_list() {
    let part = |crashes: u32| Verdict {
        scope: Scope::Part,
        crashes,
        ..quarantine(1, 60_000)
    };
    let list = merge(clock::now(), vec![part(3)], &[part(4)]).unwrap();
    assert_eq!(list.iter().map(|v| v.crashes).collect::<Vec<_>>(), [4]);
    assert!(merge(clock::now(), list, &[part(4)]).is_none());
}

// Guards against parts that are dropped from a full list although each of them stops any number of
// requests.
#[test]
fn parts_are_kept_in_a_full_list() {
    let part = Verdict {
        scope: Scope::Part,
        ..quarantine(0, 1_000)
    };
    let stored: Vec<_> = (1..=MAX_QUARANTINES as u128)
        .map(|d| quarantine(d, 60_000))
        .collect();
    let list = merge(clock::now(), stored, &[part]).unwrap();
    assert_eq!(list.len(), MAX_QUARANTINES);
    assert!(digests(&list).contains(&0));
}

// Guards against a list that grows until it exceeds the largest value that the store accepts.
#[test]
fn the_list_is_bounded_and_drops_expired_quarantines() {
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
