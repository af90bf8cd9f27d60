//! Stores quarantines of requests in the platform's store, so that they survive a restart of all
//! routers.

use std::{cmp::Reverse, time::Duration};

use snafu::Snafu;
use tokio::sync::{mpsc, watch};
use toucanchute_proto::{
    Millis,
    fleet::{Scope, Verdict},
    from_cbor, to_cbor,
};
use toucanchute_store::{CasOutcome, Revision, Store, StoreError};
use xtra::prelude::*;

use crate::{
    actor::{FleetActor, FleetInput, post},
    clock,
};

/// Key of the list of quarantines.
const QUARANTINE_KEY: &str = "toucanchute/quarantine";

/// Most quarantines in the list. If there are more, requests are dropped before parts of prompts, each
/// of which stops any number of requests, and those that expire first before the others.
const MAX_QUARANTINES: usize = 256;

/// Quarantines that wait to be written; when the queue is full, further ones are not stored.
const QUEUE_LENGTH: usize = 64;

/// Mean pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time in which further quarantines are collected into one write.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// Sends quarantines to the task that stores them.
pub(super) type QuarantineSender = mpsc::Sender<Verdict>;

/// Error of a change of the list.
#[derive(Debug, Snafu)]
#[non_exhaustive]
enum QuarantineWriteError {
    /// A call to the store failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// Another router changed the list at the same time.
    #[snafu(display("another router changed the list of quarantines at the same time"))]
    Conflict,
}

/// Starts a task that reads the list once and sends it to `fleet`, and from then on writes the
/// quarantines that it receives. In a new era of the store it writes those that it knows again. Returns
/// the sender for these.
pub(super) fn start<S: Store>(
    store: S,
    eras: watch::Receiver<u64>,
    fleet: Address<FleetActor>,
) -> QuarantineSender {
    let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
    tokio::spawn(async move {
        let stored = load_stored(&store, &fleet).await;
        write_batches(store, eras, rx, stored).await;
    });
    tx
}

/// Reads the list and sends it to `fleet`; retries until a read succeeds. Returns the list.
async fn load_stored<S: Store>(store: &S, fleet: &Address<FleetActor>) -> Vec<Verdict> {
    loop {
        match read_list(store).await {
            Ok((_, stored)) => {
                if !stored.is_empty() {
                    log::info!(requests = stored.len(); "quarantines-read");
                    post(fleet, FleetInput::StoredQuarantines(stored.clone()));
                }
                return stored;
            }
            Err(e) => {
                log::debug!(error:% = e; "quarantines-read-failed");
                retry_pause().await;
            }
        }
    }
}

/// Adds received quarantines to the list in batches; retries each batch until it is written. In a new
/// era, the batch are all quarantines that were read or written before.
async fn write_batches<S: Store>(
    store: S,
    mut eras: watch::Receiver<u64>,
    mut rx: mpsc::Receiver<Verdict>,
    mut known: Vec<Verdict>,
) {
    eras.mark_unchanged();
    loop {
        let mut added = tokio::select! {
            received = rx.recv() => match received {
                Some(verdict) => vec![verdict],
                None => return,
            },
            Ok(()) = eras.changed() => known.clone(),
        };
        tokio::time::sleep(BATCH_TIME).await;
        while let Ok(verdict) = rx.try_recv() {
            added.push(verdict);
        }
        while let Err(e) = add_to_list(&store, &added).await {
            log::info!(requests = added.len(), error:% = e; "quarantines-not-kept");
            retry_pause().await;
        }
        known = merge(clock::now(), known.clone(), &added).unwrap_or(known);
    }
}

/// Waits before a retry. The pause is random, so that routers whose calls failed at the same time
/// do not retry at the same time.
async fn retry_pause() {
    let jitter = rand::random_range(0.5..1.5);
    tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Returns the list and the revision of its last change. A list that cannot be decoded counts as
/// empty and is replaced by the next write.
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

/// Adds to the list those quarantines that it does not contain yet, or with fewer crashes.
async fn add_to_list<S: Store>(store: &S, added: &[Verdict]) -> Result<(), QuarantineWriteError> {
    let (revision, stored) = read_list(store).await?;
    let Some(list) = merge(clock::now(), stored, added) else {
        return Ok(());
    };
    match store.cas(QUARANTINE_KEY, revision, to_cbor(&list)).await? {
        CasOutcome::Applied { .. } => {
            log::info!(requests = list.len(); "quarantines-kept");
            Ok(())
        }
        CasOutcome::Conflict { .. } => ConflictSnafu.fail(),
    }
}

/// Returns the list without expired quarantines and with those of `added` that it did not contain, or
/// with fewer crashes, or `None` if it contained all of them.
fn merge(now: Millis, mut stored: Vec<Verdict>, added: &[Verdict]) -> Option<Vec<Verdict>> {
    stored.retain(|v| v.until > now);
    let mut has_new = false;
    for v in added {
        match stored.iter_mut().find(|k| k.digest == v.digest) {
            Some(known) if known.crashes >= v.crashes => continue,
            Some(known) => *known = v.clone(),
            None => stored.push(v.clone()),
        }
        has_new = true;
    }
    stored.sort_by_key(|v| (v.scope == Scope::Request, Reverse(v.until)));
    stored.truncate(MAX_QUARANTINES);
    has_new.then_some(stored)
}

#[cfg(test)]
mod tests;
