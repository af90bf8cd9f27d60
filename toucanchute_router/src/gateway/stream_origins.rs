//! Keeps what began the streams of this router at other routers and in the platform's store, so that callers
//! can take them up again at any router, also after the loss of all of them.

use std::{
    collections::{BTreeSet, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use snafu::Snafu;
use tokio::{
    sync::{Mutex as AsyncMutex, Notify, watch},
    time::{Instant, sleep, sleep_until, timeout},
};
use toucanchute_core::{
    fleet::MemberView,
    origins::{StreamId, StreamOrigin, StreamOrigins},
};
use toucanchute_proto::{Millis, fleet::Found, from_cbor, streams::StreamRecord, to_cbor};
use toucanchute_store::{LeaseId, Store, StoreError};

use super::stream_copies::{CopyResult, StreamCopies};
use crate::clock;

/// Prefix of the keys of the routers' records.
const RECORDS_PREFIX: &str = "toucanchute/streams/";

/// Time to live of a record after the last renewal of its lease. It is longer than a stream may last.
const LEASE_TTL: Millis = Millis(120_000);

/// Pause between two renewals of the lease.
const RENEW_PAUSE: Duration = Duration::from_secs(40);

/// Least time between two writes of new streams.
const MIN_WRITE_PAUSE: Duration = Duration::from_millis(50);

/// Most writes of new streams per second of all routers together.
const MAX_WRITES_PER_SECOND: u32 = 100;

/// Longest time for which the first event of a stream waits for a write. The pause between two writes is shorter
/// in fleets of up to ten routers, which may all be lost at once; others write too rarely to wait.
const STORE_TIMEOUT: Duration = Duration::from_millis(100);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which a caller that takes up a stream waits for the records.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Error of a write of this router's record.
#[derive(Debug, Snafu)]
#[non_exhaustive]
enum RecordWriteError {
    /// A call to the store failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// The lease has expired.
    #[snafu(display("the lease of the record has expired"))]
    Expired,
}

/// Why it is not known what began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnknownOrigin {
    /// No record names the stream, and several versions serve.
    NotRecorded,
    /// The records were not read in time.
    RecordsLate,
    /// The store failed to return the records.
    RecordsUnread,
}

impl UnknownOrigin {
    /// Returns the name in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            UnknownOrigin::NotRecorded => "not-recorded",
            UnknownOrigin::RecordsLate => "records-late",
            UnknownOrigin::RecordsUnread => "records-unread",
        }
    }
}

/// Knows what began streams, and keeps this router's record.
#[derive(Debug)]
pub(crate) struct StreamOriginKeeper<S> {
    store: S,
    /// Key of this router's record.
    key: String,
    origins: Mutex<StreamOrigins>,
    copies: Arc<StreamCopies>,
    /// Names of the backend servers that are registered.
    registered: Mutex<HashSet<String>>,
    /// Number of routers that share the writes per second.
    router_count: Mutex<u32>,
    /// Notified of changes of the software that serves.
    software_changed: Notify,
    /// Notified of new streams.
    stream_begun: Notify,
    /// Number of streams recorded since the start. It changes under the lock of `origins`.
    recorded: AtomicU64,
    stored: watch::Sender<StoredStreams>,
    /// Records of all routers and the time at which their read began.
    records: AsyncMutex<Option<(Instant, Vec<StreamRecord>)>>,
}

impl<S: Store> StreamOriginKeeper<S> {
    /// Starts the task that keeps the record of the router on `host`, and writes it again in each new era
    /// of the store.
    pub(super) fn start(
        store: S,
        host: &str,
        eras: watch::Receiver<u64>,
        copies: Arc<StreamCopies>,
    ) -> Arc<StreamOriginKeeper<S>> {
        let keeper = Arc::new(StreamOriginKeeper {
            store,
            key: format!("{RECORDS_PREFIX}{host}"),
            origins: Mutex::default(),
            copies,
            registered: Mutex::default(),
            router_count: Mutex::new(1),
            software_changed: Notify::new(),
            stream_begun: Notify::new(),
            recorded: AtomicU64::new(0),
            stored: watch::Sender::new(StoredStreams::default()),
            records: AsyncMutex::default(),
        });
        tokio::spawn(Arc::clone(&keeper).keep_record(eras));
        keeper
    }

    /// Sets the backend servers that are registered and the number of routers.
    pub(crate) fn set_registered(&self, registered: &[Found], router_count: usize) {
        let origin = |f: &Found| StreamOrigin::new(&f.service, f.software.as_deref());
        let software: BTreeSet<StreamOrigin> = registered.iter().map(origin).collect();
        let router_count = u32::try_from(router_count).unwrap_or(u32::MAX);
        *lock(&self.router_count) = router_count.max(1);
        *lock(&self.registered) = registered.iter().map(|f| f.name.clone()).collect();
        if lock(&self.origins).set_registered(software) {
            self.software_changed.notify_one();
        }
    }

    /// Sets the other members of the fleet.
    pub(crate) fn set_members(&self, members: &[MemberView]) {
        self.copies.set_members(members);
    }

    /// Whether this run of a backend server is registered.
    pub(super) fn is_registered(&self, backend: &str) -> bool {
        lock(&self.registered).contains(backend)
    }

    /// Whether several versions serve, or have served lately, in `service`.
    pub(super) fn has_several_versions(&self, service: &str) -> bool {
        lock(&self.origins).has_several_versions(service)
    }

    /// Records that a stream began, or goes on, at `origin`, and may be taken up again for `keep`. While
    /// several versions serve, resolves once another router holds a copy and, in a small fleet, the store has
    /// the stream, or neither was to be had in time.
    pub(super) async fn record(
        &self,
        stream: StreamId,
        origin: StreamOrigin,
        keep: Millis,
    ) -> CopyResult {
        let now = clock::now();
        let needs_copy = self.has_several_versions(&origin.service);
        let number = {
            let mut origins = lock(&self.origins);
            origins.record(now, stream, origin.clone(), now + keep);
            self.recorded.fetch_add(1, Ordering::Relaxed) + 1
        };
        self.stream_begun.notify_one();
        if !needs_copy {
            return CopyResult::NotNeeded;
        }
        let copied = self.copies.copy(stream, &origin, keep);
        let (copied, ()) = tokio::join!(copied, self.wait_until_stored(number));
        copied
    }

    /// Resolves once the store has the first `number` streams, or cannot be expected to have them soon.
    async fn wait_until_stored(&self, number: u64) {
        if self.write_pause() > STORE_TIMEOUT {
            return;
        }
        let mut stored = self.stored.subscribe();
        let settled = stored.wait_for(|s| s.count >= number || !s.is_prompt);
        // The stream goes on without the store after that time.
        _ = timeout(STORE_TIMEOUT, settled).await;
    }

    /// Returns what began a stream that `service` would go on with.
    ///
    /// # Errors
    ///
    /// Returns why it is not known.
    pub(super) async fn find(
        &self,
        stream: StreamId,
        service: &str,
    ) -> Result<StreamOrigin, UnknownOrigin> {
        if let Some(own) = lock(&self.origins).find_own(stream) {
            return Ok(own);
        }
        if self.has_several_versions(service)
            && let Some(origin) = self.copies.find(stream).await
        {
            return Ok(origin);
        }
        let records = timeout(READ_TIMEOUT, self.read_records(Instant::now())).await;
        match records {
            Ok(Ok(records)) => {
                let found = lock(&self.origins).find(stream, service, &records);
                found.ok_or(UnknownOrigin::NotRecorded)
            }
            Ok(Err(e)) => {
                log::info!(error:% = e; "stream-records-read-failed");
                Err(UnknownOrigin::RecordsUnread)
            }
            Err(_) => {
                log::info!("stream-records-read-late");
                Err(UnknownOrigin::RecordsLate)
            }
        }
    }

    /// Returns the records of all routers, read after `since`. Callers that arrive together share a read.
    async fn read_records(&self, since: Instant) -> Result<Vec<StreamRecord>, StoreError> {
        let mut last = self.records.lock().await;
        if let Some((at, records)) = last.as_ref()
            && *at >= since
        {
            return Ok(records.clone());
        }
        let began = Instant::now();
        let snapshot = self.store.get_prefix(RECORDS_PREFIX).await?;
        let entries = snapshot.entries.iter();
        let records: Vec<StreamRecord> = entries.filter_map(|e| decode(&e.key, &e.value)).collect();
        *last = Some((began, records.clone()));
        Ok(records)
    }

    // Own record

    async fn keep_record(self: Arc<Self>, mut eras: watch::Receiver<u64>) {
        self.adopt_earlier().await;
        eras.mark_unchanged();
        let mut written: Option<Written> = None;
        loop {
            let began = Instant::now();
            let (record, count) = self.next_record();
            let result = self.write_changes(written.take(), record).await;
            self.stored.send_modify(|stored| {
                stored.is_prompt = result.is_ok() && began.elapsed() <= STORE_TIMEOUT;
                stored.count = if result.is_ok() { count } else { stored.count };
            });
            match result {
                Ok(now) => {
                    let renew_at = now.renewed_at + RENEW_PAUSE;
                    let next_write = now.at + self.write_pause();
                    written = Some(now);
                    tokio::select! {
                        () = self.software_changed.notified() => {}
                        () = self.stream_begun_by(next_write) => {}
                        () = sleep_until(renew_at) => {}
                        Ok(()) = eras.changed() => written = None,
                    }
                }
                Err(e) => {
                    log::info!(error:% = e; "stream-record-write-failed");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Resolves once streams began and the time of the next write has come.
    async fn stream_begun_by(&self, next_write: Instant) {
        self.stream_begun.notified().await;
        sleep_until(next_write).await;
    }

    fn write_pause(&self) -> Duration {
        let shared = Duration::from_secs(1) / MAX_WRITES_PER_SECOND * *lock(&self.router_count);
        shared.max(MIN_WRITE_PAUSE)
    }

    /// Takes over the record of an earlier run of this router; retries until it is read.
    async fn adopt_earlier(&self) {
        loop {
            match self.store.get(&self.key).await {
                Ok(entry) => {
                    let record = entry.and_then(|e| decode(&e.key, &e.value));
                    if let Some(record) = record {
                        lock(&self.origins).adopt(clock::now(), &record);
                    }
                    return;
                }
                Err(e) => {
                    log::debug!(error:% = e; "stream-record-read-failed");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns the record and the number of streams that were recorded when it was made.
    fn next_record(&self) -> (StreamRecord, u64) {
        let mut origins = lock(&self.origins);
        let record = origins.to_record(clock::now());
        (record, self.recorded.load(Ordering::Relaxed))
    }

    /// Writes the record if it differs from the last one, and renews its lease when that is due.
    async fn write_changes(
        &self,
        last: Option<Written>,
        record: StreamRecord,
    ) -> Result<Written, RecordWriteError> {
        let Some(mut written) = last else {
            let lease = self.store.grant_lease(LEASE_TTL).await?;
            self.store
                .put(&self.key, to_cbor(&record), Some(lease))
                .await?;
            return Ok(Written::new(record, lease));
        };
        if written.renewed_at.elapsed() >= RENEW_PAUSE {
            if self.store.keep_alive(written.lease).await? == Millis(0) {
                return ExpiredSnafu.fail();
            }
            written.renewed_at = Instant::now();
        }
        if written.record != record {
            let lease = Some(written.lease);
            self.store.put(&self.key, to_cbor(&record), lease).await?;
            written.record = record;
            written.at = Instant::now();
        }
        Ok(written)
    }
}

/// What the store has of the streams of this router.
#[derive(Clone, Copy, Debug, Default)]
struct StoredStreams {
    /// Number of the first streams since the start that it has, of those that need a record.
    count: u64,
    /// Whether the last write was answered in time.
    is_prompt: bool,
}

/// This router's record as it was written last.
struct Written {
    record: StreamRecord,
    at: Instant,
    lease: LeaseId,
    renewed_at: Instant,
}

impl Written {
    fn new(record: StreamRecord, lease: LeaseId) -> Written {
        let now = Instant::now();
        Written {
            record,
            at: now,
            lease,
            renewed_at: now,
        }
    }
}

/// Decodes a record; one that cannot be decoded is logged and names nothing.
fn decode(key: &str, value: &[u8]) -> Option<StreamRecord> {
    match from_cbor(value) {
        Ok(record) => Some(record),
        Err(e) => {
            log::warn!(key = key, error:% = e; "stream-record-malformed");
            None
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests;
