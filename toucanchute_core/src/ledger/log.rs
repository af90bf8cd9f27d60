use std::collections::BTreeMap;

use toucanchute_proto::{
    Bytes, EntryId, Incarnation, Millis, ShardId,
    ledger::{Batch, Entry, EntryResult},
    to_cbor,
};

use super::{Fault, ShardState, StoreKey, StoreOp, StoreRequest, StoreResult};

mod load;
mod snapshot;

pub use snapshot::DEFAULT_SNAPSHOT_CHUNK_BYTES;
use snapshot::SnapshotProgress;

/// Delay before the first retry of a failed call to the platform, in milliseconds.
const INITIAL_RETRY_DELAY_MS: u64 = 50;

/// Maximum delay between retries, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// Maximum size of a batch's encoded entries, in bytes. A batch has to fit into one value of the
/// platform's key-value service, which is limited to a megabyte.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Number of a call to the platform's key-value service.
pub type OpId = u64;

/// Reader and writer of one shard's log.
///
/// Batch `n` is stored at key `n mod ring`, where it replaces batch `n - ring` by one
/// compare-and-swap.
#[derive(Clone, Debug)]
pub struct ShardLog {
    shard: ShardId,
    /// Number of keys in the ring; at least 2.
    ring: u64,
    /// Maximum size of the part of a snapshot's encoding that is stored in one value, in bytes; at
    /// least 1.
    chunk_bytes: usize,
    writer: Incarnation,
    state: ShardState,
    phase: Phase,
    /// Content of each ring key when it was last read or written.
    slots: BTreeMap<u64, Slot>,
    /// Batches read so far while the log is being loaded, by position.
    loaded_batches: BTreeMap<u64, Batch>,
    snapshots: SnapshotProgress,
    /// Batch being written. Its position, identifier and bytes stay the same until it is known
    /// either that the batch is committed or that another batch has its position.
    pending: Option<PendingBatch>,
    /// Calls in flight, with their purposes.
    ops: BTreeMap<OpId, Purpose>,
    /// Time of the next retry; `None` if none is scheduled.
    retry_at: Option<Millis>,
    retry_delay_ms: u64,
    next_batch: u64,
    fault: Option<Fault>,
}

/// An event reported by a [`ShardLog`].
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The log has been read up to its tail.
    Ready,
    /// The batch of this writer is committed.
    Committed {
        /// Identifier and result of each entry.
        results: Vec<(EntryId, EntryResult)>,
    },
    /// The batch of this writer is not committed and never will be; its entries may be committed in
    /// another batch.
    NotCommitted {
        /// The batch's entries.
        entries: Vec<Entry>,
    },
    /// The platform's key-value service cannot be reached or did not respond.
    Unreachable,
    /// A stored value cannot be decoded or applied; the log can no longer be used.
    Corrupt {
        /// Description of the error.
        detail: String,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    NotLoaded,
    Loading,
    /// Reading the batches after the last one applied, up to the tail.
    CatchingUp,
    Ready,
    Broken,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    revision: u64,
    /// Position of the batch stored; `None` if the key is absent.
    position: Option<u64>,
}

#[derive(Clone, Debug)]
struct PendingBatch {
    batch: Batch,
    value: Bytes,
    /// Whether a compare-and-swap of the batch is in flight.
    in_flight: bool,
}

/// Purpose of a call, which determines how its result is handled.
///
/// `LoadSlot` has the index of a ring key; `ReadNext`, `WriteBatch` and `WriteHead` have a position
/// of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    LoadHead,
    LoadChunk(u32),
    LoadSlot(u64),
    ReadNext(u64),
    WriteBatch(u64),
    ReadChunk { attempt: u64, chunk: u32 },
    WriteChunk { attempt: u64 },
    WriteHead(u64),
    ReadHead,
}

impl ShardLog {
    /// Creates a log, of which nothing has been read, for the shard's ring of `ring` keys.
    #[must_use]
    pub fn new(shard: ShardId, ring: u32, writer: Incarnation) -> ShardLog {
        ShardLog {
            shard,
            ring: u64::from(ring.max(2)),
            chunk_bytes: DEFAULT_SNAPSHOT_CHUNK_BYTES,
            writer,
            state: ShardState::default(),
            phase: Phase::NotLoaded,
            slots: BTreeMap::new(),
            loaded_batches: BTreeMap::new(),
            snapshots: SnapshotProgress::default(),
            pending: None,
            ops: BTreeMap::new(),
            retry_at: None,
            retry_delay_ms: INITIAL_RETRY_DELAY_MS,
            next_batch: 1,
            fault: None,
        }
    }

    /// Sets the maximum size of the part of a snapshot's encoding that is stored in one value of
    /// the platform's key-value service, in bytes. All writers of a shard have to use the same one.
    pub fn set_chunk_bytes(&mut self, bytes: usize) {
        self.chunk_bytes = bytes.max(1);
    }

    /// Injects a fault, for tests.
    #[doc(hidden)]
    pub fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
        self.state.set_fault(fault);
    }

    /// Returns the state after the batches read so far.
    #[must_use]
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Returns whether the log has been read to its tail and can commit a batch now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready && self.pending.is_none() && self.retry_at.is_none()
    }

    /// Returns whether the snapshot and the ring have been loaded.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        matches!(self.phase, Phase::Ready | Phase::CatchingUp)
    }

    /// Returns whether loading has not started yet or has to start again.
    #[must_use]
    pub fn needs_load(&self) -> bool {
        self.phase == Phase::NotLoaded
    }
}

/// Writing batches.
impl ShardLog {
    /// Removes as many leading `entries` as fit in one batch and starts to commit them. Does
    /// nothing unless the log is ready.
    pub fn commit(
        &mut self,
        now: Millis,
        entries: &mut Vec<Entry>,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
    ) {
        if !self.is_ready() || entries.is_empty() {
            return;
        }
        let fitting = count_fitting(entries);
        let batch = Batch {
            position: self.state.position(),
            batch_id: EntryId(self.writer, self.next_batch),
            at: now,
            entries: entries.drain(..fitting).collect(),
        };
        self.next_batch += 1;
        self.pending = Some(PendingBatch {
            value: to_cbor(&batch),
            batch,
            in_flight: false,
        });
        self.write_batch(next_op, out);
    }

    /// Writes the pending batch if the value of its ring key may be replaced. Otherwise starts to
    /// write a snapshot that covers the batch to be replaced, or to read the ring key.
    fn write_batch(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let position = self.state.position();
        if position >= self.ring && self.snapshots.position <= position - self.ring {
            self.write_snapshot(next_op, out);
            return;
        }
        let replaced = position.checked_sub(self.ring);
        let slot = self.slots.get(&(position % self.ring)).copied();
        let checks_ring = self.fault != Some(Fault::SkipRingCheck);
        let Some(slot) = slot.filter(|s| s.position == replaced || !checks_ring) else {
            self.read_next(next_op, out);
            return;
        };
        let key = self.slot_key(position);
        let Some(pending) = &mut self.pending else {
            return;
        };
        pending.in_flight = true;
        let request = StoreRequest::Cas {
            key,
            expected_revision: slot.revision,
            value: pending.value.clone(),
        };
        self.send(Purpose::WriteBatch(position), request, next_op, out);
    }

    fn on_write_batch(
        &mut self,
        now: Millis,
        position: u64,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        if let Some(pending) = &mut self.pending {
            pending.in_flight = false;
        }
        match result {
            StoreResult::Applied { revision } => {
                self.on_committed(position, *revision, events);
                self.write_snapshot(next_op, out);
            }
            StoreResult::Unavailable => {
                events.push(LogEvent::Unreachable);
                self.back_off(now);
                self.return_pending(events);
            }
            StoreResult::Unknown => {
                events.push(LogEvent::Unreachable);
                self.back_off(now);
                self.phase = Phase::CatchingUp;
            }
            _ => self.read_next(next_op, out),
        }
    }

    fn on_committed(&mut self, position: u64, revision: u64, events: &mut Vec<LogEvent>) {
        let slot = Slot {
            revision,
            position: Some(position),
        };
        self.slots.insert(position % self.ring, slot);
        self.retry_delay_ms = INITIAL_RETRY_DELAY_MS;
        if let Some(pending) = self.pending.take() {
            self.apply_own(&pending.batch, events);
        }
    }

    fn apply_own(&mut self, batch: &Batch, events: &mut Vec<LogEvent>) {
        match self.state.apply(batch) {
            Ok(results) => {
                self.take_snapshot();
                let ids = batch.entries.iter().map(|e| e.id);
                let results = ids.zip(results).collect();
                events.push(LogEvent::Committed { results });
            }
            Err(e) => self.mark_corrupt(e.to_string(), events),
        }
    }

    /// Drops the pending batch and returns its entries to the caller in an event.
    fn return_pending(&mut self, events: &mut Vec<LogEvent>) {
        if let Some(pending) = self.pending.take() {
            let entries = pending.batch.entries;
            events.push(LogEvent::NotCommitted { entries });
        }
    }
}

/// Calls to the platform's key-value service.
impl ShardLog {
    /// Handles the result of a call. Returns whether the call was made by this log.
    pub fn on_store_result(
        &mut self,
        now: Millis,
        op: OpId,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) -> bool {
        let Some(purpose) = self.ops.remove(&op) else {
            return false;
        };
        match purpose {
            Purpose::LoadHead => self.on_load_head(now, result, next_op, out, events),
            Purpose::LoadChunk(chunk) => {
                self.on_load_chunk(now, chunk, result, next_op, out, events);
            }
            Purpose::LoadSlot(slot) => self.on_load_slot(now, slot, result, next_op, out, events),
            Purpose::ReadNext(pos) => self.on_read_next(now, pos, result, next_op, out, events),
            Purpose::WriteBatch(pos) => self.on_write_batch(now, pos, result, next_op, out, events),
            Purpose::ReadChunk { attempt, chunk } => {
                let chunk = (attempt, chunk);
                self.on_read_chunk(now, chunk, result, next_op, out, events);
            }
            Purpose::WriteChunk { attempt } => {
                self.on_write_chunk(now, attempt, result, next_op, out, events);
            }
            Purpose::WriteHead(pos) => self.on_write_head(now, pos, result, next_op, out, events),
            Purpose::ReadHead => self.on_read_head(now, result, next_op, out, events),
        }
        true
    }

    /// Retries the failed step once its delay is over.
    pub fn tick(&mut self, now: Millis, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        if self.retry_at.is_none_or(|at| now < at) {
            return;
        }
        self.retry_at = None;
        let reading = self.ops.values().any(|p| matches!(p, Purpose::ReadNext(_)));
        let waiting = self.pending.as_ref().is_some_and(|p| !p.in_flight);
        match self.phase {
            Phase::NotLoaded => self.load(next_op, out),
            Phase::CatchingUp if !reading => self.read_next(next_op, out),
            Phase::Ready if waiting => self.write_batch(next_op, out),
            _ => {}
        }
    }

    /// Schedules the next retry and doubles the delay of the one after it.
    fn back_off(&mut self, now: Millis) {
        self.retry_at = Some(now + Millis(self.retry_delay_ms));
        self.retry_delay_ms = (self.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
    }

    fn send(
        &mut self,
        purpose: Purpose,
        request: StoreRequest,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
    ) {
        *next_op += 1;
        self.ops.insert(*next_op, purpose);
        out.push(StoreOp {
            op: *next_op,
            request,
        });
    }

    fn slot_key(&self, position: u64) -> StoreKey {
        StoreKey::Slot {
            shard: self.shard,
            slot: u32::try_from(position % self.ring).unwrap_or_default(),
        }
    }

    /// Reports that the log is corrupt and can no longer be used.
    fn mark_corrupt(&mut self, detail: String, events: &mut Vec<LogEvent>) {
        self.phase = Phase::Broken;
        self.pending = None;
        events.push(LogEvent::Corrupt { detail });
    }
}

/// Returns how many leading entries fit in one batch; at least one.
fn count_fitting(entries: &[Entry]) -> usize {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        bytes += to_cbor(*entry).len();
        bytes <= MAX_BATCH_BYTES
    };
    entries.iter().take_while(fits).count().max(1)
}
