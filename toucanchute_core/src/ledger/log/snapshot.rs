use toucanchute_proto::{
    Bytes, Millis, from_cbor,
    ledger::{Snapshot, SnapshotChunk, SnapshotHead},
    to_cbor,
};

use super::{LogEvent, OpId, Phase, Purpose, ShardLog};
use crate::ledger::{ShardState, StoreKey, StoreOp, StoreRequest, StoreResult};

/// Default maximum size of the part of a snapshot's encoding that is stored in one value of the
/// platform's key-value service, in bytes.
pub const DEFAULT_SNAPSHOT_CHUNK_BYTES: usize = 512 * 1024;

/// Number of successive snapshots whose chunks are stored under different keys.
///
/// Snapshots are taken at multiples of half the ring, where the state is the same for every writer,
/// so two writers of one snapshot write the same chunks. The chunk keys of a snapshot are reused
/// four snapshots later; by then the head refers to a later snapshot.
const CHUNK_GENERATIONS: u64 = 4;

/// State of the newest snapshot known to be stored, and of the one to be stored next.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotProgress {
    /// Revision of the head key.
    pub(super) revision: u64,
    /// First position that the stored snapshot does not cover.
    pub(super) position: u64,
    /// Newest snapshot taken.
    latest: Option<EncodedSnapshot>,
    writing: Option<SnapshotWrite>,
    /// Number of snapshot writes started, by which results of an earlier write are recognized.
    attempts: u64,
    /// Chunks of the snapshot that is being loaded; `None` if not yet read.
    loaded_chunks: Vec<Option<Bytes>>,
}

#[derive(Clone, Debug)]
struct EncodedSnapshot {
    position: u64,
    chunk_bytes: usize,
    encoding: Bytes,
}

#[derive(Clone, Debug)]
struct SnapshotWrite {
    snapshot: EncodedSnapshot,
    attempt: u64,
    /// Chunks that are not known to be stored.
    chunks_left: usize,
}

impl EncodedSnapshot {
    /// Returns the number of chunks of the snapshot; 0 if its encoding fits into the head.
    fn chunk_count(&self) -> usize {
        match self.encoding.len() <= self.chunk_bytes {
            true => 0,
            false => self.encoding.len().div_ceil(self.chunk_bytes),
        }
    }

    fn encoding_part(&self, chunk: u32) -> Bytes {
        let start = chunk as usize * self.chunk_bytes;
        let end = (start + self.chunk_bytes).min(self.encoding.len());
        self.encoding.slice(start..end)
    }

    fn head(&self) -> SnapshotHead {
        let chunks = self.chunk_count();
        let inline = if chunks == 0 {
            self.encoding.clone()
        } else {
            Bytes::new()
        };
        SnapshotHead {
            position: self.position,
            chunks: u32::try_from(chunks).unwrap_or(u32::MAX),
            inline,
        }
    }
}

/// Taking and writing snapshots.
impl ShardLog {
    fn snapshot_interval(&self) -> u64 {
        self.ring / 2
    }

    /// Takes a snapshot if one is due at this position.
    pub(super) fn take_snapshot(&mut self) {
        let position = self.state.position();
        if position.is_multiple_of(self.snapshot_interval()) {
            let encoding = to_cbor(&self.state.snapshot());
            let chunk_bytes = self.chunk_bytes;
            self.snapshots.latest = Some(EncodedSnapshot {
                position,
                chunk_bytes,
                encoding,
            });
        }
    }

    /// Starts to write the newest snapshot taken, unless it is stored or a write is in progress.
    pub(super) fn write_snapshot(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let stored = self.snapshots.position;
        let snapshot = self
            .snapshots
            .latest
            .clone()
            .filter(|s| s.position > stored);
        let (None, Some(snapshot)) = (&self.snapshots.writing, snapshot) else {
            return;
        };
        self.snapshots.attempts += 1;
        let (attempt, chunks_left, position) = (
            self.snapshots.attempts,
            snapshot.chunk_count(),
            snapshot.position,
        );
        self.snapshots.writing = Some(SnapshotWrite {
            snapshot,
            attempt,
            chunks_left,
        });
        if chunks_left == 0 {
            return self.write_head(next_op, out);
        }
        for chunk in 0..u32::try_from(chunks_left).unwrap_or(u32::MAX) {
            let key = self.chunk_key(position, chunk);
            let purpose = Purpose::ReadChunk { attempt, chunk };
            self.send(purpose, StoreRequest::Get { key }, next_op, out);
        }
    }

    pub(super) fn on_read_chunk(
        &mut self,
        now: Millis,
        (attempt, chunk): (u64, u32),
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        let Some(writing) = self
            .snapshots
            .writing
            .clone()
            .filter(|w| w.attempt == attempt)
        else {
            return;
        };
        let position = writing.snapshot.position;
        let (expected_revision, stored_position) = match result {
            StoreResult::Value { revision, value } => match from_cbor::<SnapshotChunk>(value) {
                Ok(found) => (*revision, Some(found.position)),
                Err(e) => return self.mark_corrupt(e.to_string(), events),
            },
            StoreResult::Missing => (0, None),
            _ => return self.abort_snapshot_write(now, events),
        };
        match stored_position {
            Some(stored) if stored == position => self.on_chunk_stored(next_op, out),
            Some(stored) if stored > position => self.read_head(next_op, out),
            _ => {
                let part = writing.snapshot.encoding_part(chunk);
                let request = StoreRequest::Cas {
                    key: self.chunk_key(position, chunk),
                    expected_revision,
                    value: to_cbor(&SnapshotChunk { position, part }),
                };
                self.send(Purpose::WriteChunk { attempt }, request, next_op, out);
            }
        }
    }

    pub(super) fn on_write_chunk(
        &mut self,
        now: Millis,
        attempt: u64,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        if self
            .snapshots
            .writing
            .as_ref()
            .is_none_or(|w| w.attempt != attempt)
        {
            return;
        }
        match result {
            StoreResult::Applied { .. } => self.on_chunk_stored(next_op, out),
            _ => self.abort_snapshot_write(now, events),
        }
    }

    /// Counts a chunk as stored, and writes the head after the last one.
    fn on_chunk_stored(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let Some(writing) = &mut self.snapshots.writing else {
            return;
        };
        writing.chunks_left -= 1;
        if writing.chunks_left == 0 {
            self.write_head(next_op, out);
        }
    }

    fn write_head(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let Some(writing) = &self.snapshots.writing else {
            return;
        };
        let position = writing.snapshot.position;
        let request = StoreRequest::Cas {
            key: StoreKey::Snapshot { shard: self.shard },
            expected_revision: self.snapshots.revision,
            value: to_cbor(&writing.snapshot.head()),
        };
        self.send(Purpose::WriteHead(position), request, next_op, out);
    }

    pub(super) fn on_write_head(
        &mut self,
        now: Millis,
        position: u64,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        match result {
            StoreResult::Applied { revision } => {
                self.snapshots.writing = None;
                self.snapshots.revision = *revision;
                self.snapshots.position = position;
                self.resume_batch_write(next_op, out);
            }
            StoreResult::Unavailable => self.abort_snapshot_write(now, events),
            _ => self.read_head(next_op, out),
        }
    }

    /// Reads the head after another writer has written it, or if the result of a write is unknown.
    fn read_head(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let key = StoreKey::Snapshot { shard: self.shard };
        self.send(Purpose::ReadHead, StoreRequest::Get { key }, next_op, out);
    }

    pub(super) fn on_read_head(
        &mut self,
        now: Millis,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        match result {
            StoreResult::Value { revision, value } => match from_cbor::<SnapshotHead>(value) {
                Ok(head) => {
                    self.snapshots.revision = *revision;
                    self.snapshots.position = head.position;
                }
                Err(e) => return self.mark_corrupt(e.to_string(), events),
            },
            StoreResult::Missing => self.snapshots.revision = 0,
            _ => return self.abort_snapshot_write(now, events),
        }
        self.snapshots.writing = None;
        self.resume_batch_write(next_op, out);
    }

    /// Abandons the snapshot write in progress and schedules a retry.
    fn abort_snapshot_write(&mut self, now: Millis, events: &mut Vec<LogEvent>) {
        self.snapshots.writing = None;
        events.push(LogEvent::Unreachable);
        self.back_off(now);
    }

    /// Writes the pending batch, if it was waiting for the snapshot to be stored.
    fn resume_batch_write(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let waiting = self.pending.as_ref().is_some_and(|p| !p.in_flight);
        if waiting && self.phase == Phase::Ready {
            self.write_batch(next_op, out);
        }
    }

    fn chunk_key(&self, position: u64, chunk: u32) -> StoreKey {
        let generation = (position / self.snapshot_interval()) % CHUNK_GENERATIONS;
        StoreKey::Chunk {
            shard: self.shard,
            generation: u8::try_from(generation).unwrap_or_default(),
            chunk,
        }
    }
}

/// Loading snapshots.
impl ShardLog {
    pub(super) fn on_load_head(
        &mut self,
        now: Millis,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        let (revision, head) = match result {
            StoreResult::Value { revision, value } => match from_cbor::<SnapshotHead>(value) {
                Ok(head) => (*revision, Some(head)),
                Err(e) => return self.mark_corrupt(e.to_string(), events),
            },
            StoreResult::Missing => (0, None),
            _ => return self.fail_load(now, events),
        };
        self.snapshots = SnapshotProgress {
            revision,
            position: head.as_ref().map_or(0, |h| h.position),
            attempts: self.snapshots.attempts,
            ..SnapshotProgress::default()
        };
        match head {
            None => self.load_ring(ShardState::default().snapshot(), next_op, out),
            Some(head) if head.chunks == 0 => self.restore(&head.inline, next_op, out, events),
            Some(head) => {
                self.snapshots.loaded_chunks = vec![None; head.chunks as usize];
                for chunk in 0..head.chunks {
                    let key = self.chunk_key(head.position, chunk);
                    let request = StoreRequest::Get { key };
                    self.send(Purpose::LoadChunk(chunk), request, next_op, out);
                }
            }
        }
    }

    pub(super) fn on_load_chunk(
        &mut self,
        now: Millis,
        chunk: u32,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        let StoreResult::Value { value, .. } = result else {
            return self.fail_load(now, events);
        };
        let found = match from_cbor::<SnapshotChunk>(value) {
            Ok(found) => found,
            Err(e) => return self.mark_corrupt(e.to_string(), events),
        };
        if found.position != self.snapshots.position {
            // A later snapshot has been stored since the head was read.
            return self.fail_load(now, events);
        }
        if let Some(part) = self.snapshots.loaded_chunks.get_mut(chunk as usize) {
            *part = Some(found.part);
        }
        if self.snapshots.loaded_chunks.iter().all(Option::is_some) {
            let parts = std::mem::take(&mut self.snapshots.loaded_chunks);
            let encoding: Vec<u8> = parts.into_iter().flatten().flatten().collect();
            self.restore(&encoding, next_op, out, events);
        }
    }

    /// Decodes the snapshot and continues with the ring.
    fn restore(
        &mut self,
        encoding: &[u8],
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        match from_cbor::<Snapshot>(encoding) {
            Ok(snapshot) => self.load_ring(snapshot, next_op, out),
            Err(e) => self.mark_corrupt(e.to_string(), events),
        }
    }
}
