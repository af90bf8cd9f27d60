//! Keeps quarantines in the platform's store, so that they outlast a restart of all routers.

use std::time::Duration;

use snafu::Snafu;
use tokio::sync::mpsc;
use toucanchute_proto::{Millis, fleet::Verdict, from_cbor, to_cbor};
use toucanchute_store::{Cas, Revision, Store, StoreError};
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, post},
    clock,
};

/// Key of the list.
const QUARANTINE_KEY: &str = "toucanchute/quarantine";

/// Most requests in the list; those that last longest stay.
const MAX_QUARANTINES: usize = 256;

/// Quarantines that wait to be written; when the queue is full, further ones are not stored.
const QUEUE_LENGTH: usize = 64;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time in which further requests are gathered into one write.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// Sends quarantines to the task that stores them.
pub(super) type QuarantineSender = mpsc::Sender<Verdict>;

/// A change of the list that failed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
enum QuarantineWriteError {
    /// A call to the store failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// Another router wrote at the same time.
    #[snafu(display("another router was faster"))]
    Conflict,
}

/// Reads the list once and tells it to `fleet`; from then on writes what is put into the keeper.
pub(super) fn start<S: Store>(store: S, fleet: Address<FleetActor>) -> QuarantineSender {
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    tokio::spawn(async move {
        load_stored(&store, &fleet).await;
        write_batches(store, rx).await;
    });
    tx
}

async fn load_stored<S: Store>(store: &S, fleet: &Address<FleetActor>) {
    loop {
        match read_list(store).await {
            Ok((_, stored)) => {
                if !stored.is_empty() {
                    log::info!(requests = stored.len(); "quarantines-read");
                    post(fleet, FleetInput::StoredQuarantines(stored));
                }
                return;
            }
            Err(e) => {
                log::debug!(error:% = e; "quarantines-unread");
                retry_pause().await;
            }
        }
    }
}

async fn write_batches<S: Store>(store: S, mut rx: mpsc::Receiver<Verdict>) {
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(BATCH_TIME).await;
        let mut added = vec![first];
        while let Ok(verdict) = rx.try_recv() {
            added.push(verdict);
        }
        while let Err(e) = add_to_list(&store, &added).await {
            log::info!(requests = added.len(), error:% = e; "quarantines-not-kept");
            retry_pause().await;
        }
    }
}

/// Routers that fail together do not try again together.
async fn retry_pause() {
    let jitter = rand::random_range(0.5..1.5);
    tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Returns the list and the revision of its last change. One that cannot be decoded counts as empty,
/// and is replaced by the next write.
async fn read_list<S: Store>(store: &S) -> Result<(Revision, Vec<Verdict>), StoreError> {
    let Some(entry) = store.get(QUARANTINE_KEY).await? else {
        return Ok((Revision::ABSENT, Vec::new()));
    };
    let stored = from_cbor(&entry.value).unwrap_or_else(|e| {
        log::warn!(revision = entry.revision.0, error:% = e; "quarantines-malformed");
        Vec::new()
    });
    Ok((entry.revision, stored))
}

/// Adds requests to the list, unless it has them.
async fn add_to_list<S: Store>(store: &S, added: &[Verdict]) -> Result<(), QuarantineWriteError> {
    let (revision, stored) = read_list(store).await?;
    let Some(list) = merge(clock::now(), stored, added) else {
        return Ok(());
    };
    match store.cas(QUARANTINE_KEY, revision, to_cbor(&list)).await? {
        Cas::Applied { .. } => {
            log::info!(requests = list.len(); "quarantines-kept");
            Ok(())
        }
        Cas::Conflict { .. } => ConflictSnafu.fail(),
    }
}

/// Returns the list with what is new, or `None` if nothing is.
fn merge(now: Millis, mut stored: Vec<Verdict>, added: &[Verdict]) -> Option<Vec<Verdict>> {
    let known = |list: &[Verdict], v: &Verdict| list.iter().any(|k| k.digest == v.digest);
    stored.retain(|v| v.until > now);
    let stored_len = stored.len();
    for v in added {
        if !known(&stored, v) {
            stored.push(v.clone());
        }
    }
    let has_new = stored.len() > stored_len;
    stored.sort_by_key(|v| std::cmp::Reverse(v.until));
    stored.truncate(MAX_QUARANTINES);
    has_new.then_some(stored)
}

#[cfg(test)]
mod tests;
