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
const KEY: &str = "toucanchute/quarantine";

/// Most requests in the list; those that last longest stay.
const MAX_KEPT: usize = 256;

/// Requests that wait to be written; further ones are not kept.
const QUEUE: usize = 64;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time in which further requests are gathered into one write.
const GATHER_TIME: Duration = Duration::from_millis(100);

/// Where quarantines to be kept are put.
pub(super) type Keeper = mpsc::Sender<Verdict>;

/// A change of the list that failed.
#[derive(Debug, Snafu)]
#[non_exhaustive]
enum KeepError {
    /// A call to the store failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// Another router wrote at the same time.
    #[snafu(display("another router was faster"))]
    Taken,
}

/// Reads the list once and tells it to `fleet`; from then on writes what is put into the keeper.
pub(super) fn start<S: Store>(store: S, fleet: Address<FleetActor>) -> Keeper {
    let (tx, rx) = mpsc::channel(QUEUE);
    tokio::spawn(async move {
        read_until_told(&store, &fleet).await;
        write(store, rx).await;
    });
    tx
}

async fn read_until_told<S: Store>(store: &S, fleet: &Address<FleetActor>) {
    loop {
        match read(store).await {
            Ok((_, kept)) => {
                if !kept.is_empty() {
                    log::info!(requests = kept.len(); "quarantines-read");
                    post(fleet, FleetInput::StoredQuarantines(kept));
                }
                return;
            }
            Err(e) => {
                log::debug!(error:% = e; "quarantines-unread");
                pause().await;
            }
        }
    }
}

async fn write<S: Store>(store: S, mut rx: mpsc::Receiver<Verdict>) {
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(GATHER_TIME).await;
        let mut news = vec![first];
        while let Ok(verdict) = rx.try_recv() {
            news.push(verdict);
        }
        while let Err(e) = add(&store, &news).await {
            log::info!(requests = news.len(), error:% = e; "quarantines-not-kept");
            pause().await;
        }
    }
}

/// Routers that fail together do not try again together.
async fn pause() {
    let jitter = rand::random_range(0.5..1.5);
    tokio::time::sleep(RETRY_PAUSE.mul_f64(jitter)).await;
}

/// Returns the list and the revision of its last change. One that cannot be decoded counts as empty,
/// and is replaced by the next write.
async fn read<S: Store>(store: &S) -> Result<(Revision, Vec<Verdict>), StoreError> {
    let Some(entry) = store.get(KEY).await? else {
        return Ok((Revision::ABSENT, Vec::new()));
    };
    let kept = from_cbor(&entry.value).unwrap_or_else(|e| {
        log::warn!(revision = entry.revision.0, error:% = e; "quarantines-malformed");
        Vec::new()
    });
    Ok((entry.revision, kept))
}

/// Adds requests to the list, unless it has them.
async fn add<S: Store>(store: &S, news: &[Verdict]) -> Result<(), KeepError> {
    let (revision, kept) = read(store).await?;
    let Some(list) = merge(clock::now(), kept, news) else {
        return Ok(());
    };
    match store.cas(KEY, revision, to_cbor(&list)).await? {
        Cas::Applied { .. } => {
            log::info!(requests = list.len(); "quarantines-kept");
            Ok(())
        }
        Cas::Conflict { .. } => TakenSnafu.fail(),
    }
}

/// Returns the list with what is new, or `None` if nothing is.
fn merge(now: Millis, mut kept: Vec<Verdict>, news: &[Verdict]) -> Option<Vec<Verdict>> {
    let known = |list: &[Verdict], v: &Verdict| list.iter().any(|k| k.digest == v.digest);
    kept.retain(|v| v.until > now);
    let before = kept.len();
    for v in news {
        if !known(&kept, v) {
            kept.push(v.clone());
        }
    }
    let is_new = kept.len() > before;
    kept.sort_by_key(|v| std::cmp::Reverse(v.until));
    kept.truncate(MAX_KEPT);
    is_new.then_some(kept)
}

#[cfg(test)]
mod tests;
