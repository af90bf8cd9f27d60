use toucanchute_proto::{
    Bytes, Millis, from_cbor,
    ledger::{Snapshot, SnapshotChunk, SnapshotHead},
    to_cbor,
};

use super::{LogEvent, OpId, Phase, Purpose, ShardLog};
use crate::ledger::{ShardState, StoreKey, StoreOp, StoreRequest, StoreResult};

/// Most bytes of a snapshot's encoding in one value of the platform's service, by default.
pub const DEFAULT_SNAPSHOT_CHUNK_BYTES: usize = 512 * 1024;

/// Snapshots whose chunks have keys of their own.
///
/// Snapshots are taken at multiples of half the ring, where the state is the same for every writer;
/// so two writers of one snapshot write the same chunks. The keys of a snapshot are used again four
/// snapshots later, and by then the head names a later one.
const GENERATIONS: u64 = 4;

/// What is known of the newest snapshot stored, and the one to be stored next.
#[derive(Clone, Debug, Default)]
pub(super) struct Snapshots {
    /// Revision of the head key.
    pub(super) revision: u64,
    /// First position that the stored snapshot does not cover.
    pub(super) position: u64,
    /// Newest snapshot taken.
    taken: Option<Taken>,
    writing: Option<Writing>,
    attempts: u64,
    /// Parts of the snapshot that is being loaded.
    parts: Vec<Option<Bytes>>,
}

#[derive(Clone, Debug)]
struct Taken {
    position: u64,
    part_bytes: usize,
    encoding: Bytes,
}

#[derive(Clone, Debug)]
struct Writing {
    taken: Taken,
    attempt: u64,
    /// Chunks that are not known to be stored.
    left: usize,
}

impl Taken {
    /// Returns how many chunks the snapshot takes; none if it fits into the head.
    fn chunks(&self) -> usize {
        match self.encoding.len() <= self.part_bytes {
            true => 0,
            false => self.encoding.len().div_ceil(self.part_bytes),
        }
    }

    fn part(&self, chunk: u32) -> Bytes {
        let start = chunk as usize * self.part_bytes;
        let end = (start + self.part_bytes).min(self.encoding.len());
        self.encoding.slice(start..end)
    }

    fn head(&self) -> SnapshotHead {
        let chunks = self.chunks();
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
    fn interval(&self) -> u64 {
        self.ring / 2
    }

    /// Takes a snapshot if one is due at this position.
    pub(super) fn take_snapshot(&mut self) {
        let position = self.state.position();
        if position.is_multiple_of(self.interval()) {
            let encoding = to_cbor(&self.state.snapshot());
            let part_bytes = self.part_bytes;
            self.snapshots.taken = Some(Taken {
                position,
                part_bytes,
                encoding,
            });
        }
    }

    /// Writes the newest snapshot taken, unless it is stored or being written.
    pub(super) fn write_snapshot(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let stored = self.snapshots.position;
        let taken = self.snapshots.taken.clone().filter(|t| t.position > stored);
        let (None, Some(taken)) = (&self.snapshots.writing, taken) else {
            return;
        };
        self.snapshots.attempts += 1;
        let (attempt, left, position) = (self.snapshots.attempts, taken.chunks(), taken.position);
        self.snapshots.writing = Some(Writing {
            taken,
            attempt,
            left,
        });
        if left == 0 {
            return self.write_head(next_op, out);
        }
        for chunk in 0..u32::try_from(left).unwrap_or(u32::MAX) {
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
        let position = writing.taken.position;
        let (expected_revision, held) = match result {
            StoreResult::Value { revision, value } => match from_cbor::<SnapshotChunk>(value) {
                Ok(chunk) => (*revision, Some(chunk.position)),
                Err(e) => return self.break_off(e.to_string(), events),
            },
            StoreResult::Missing => (0, None),
            _ => return self.fail_snapshot(now, events),
        };
        match held {
            Some(held) if held == position => self.note_chunk(next_op, out),
            Some(held) if held > position => self.read_head(next_op, out),
            _ => {
                let part = writing.taken.part(chunk);
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
            StoreResult::Applied { .. } => self.note_chunk(next_op, out),
            _ => self.fail_snapshot(now, events),
        }
    }

    /// Notes that a chunk is stored; after the last one the head is written.
    fn note_chunk(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let Some(writing) = &mut self.snapshots.writing else {
            return;
        };
        writing.left -= 1;
        if writing.left == 0 {
            self.write_head(next_op, out);
        }
    }

    fn write_head(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let Some(writing) = &self.snapshots.writing else {
            return;
        };
        let position = writing.taken.position;
        let request = StoreRequest::Cas {
            key: StoreKey::Snapshot { shard: self.shard },
            expected_revision: self.snapshots.revision,
            value: to_cbor(&writing.taken.head()),
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
                self.resume_write(next_op, out);
            }
            StoreResult::Unavailable => self.fail_snapshot(now, events),
            _ => self.read_head(next_op, out),
        }
    }

    /// Reads the head that another writer has written, or of which no answer came.
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
                Err(e) => return self.break_off(e.to_string(), events),
            },
            StoreResult::Missing => self.snapshots.revision = 0,
            _ => return self.fail_snapshot(now, events),
        }
        self.snapshots.writing = None;
        self.resume_write(next_op, out);
    }

    fn fail_snapshot(&mut self, now: Millis, events: &mut Vec<LogEvent>) {
        self.snapshots.writing = None;
        events.push(LogEvent::Unreachable);
        self.back_off(now);
    }

    /// Writes the pending batch, if it waited for the snapshot.
    fn resume_write(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let waiting = self.pending.as_ref().is_some_and(|p| !p.in_flight);
        if waiting && self.phase == Phase::Ready {
            self.write(next_op, out);
        }
    }

    fn chunk_key(&self, position: u64, chunk: u32) -> StoreKey {
        let generation = (position / self.interval()) % GENERATIONS;
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
                Err(e) => return self.break_off(e.to_string(), events),
            },
            StoreResult::Missing => (0, None),
            _ => return self.fail_load(now, events),
        };
        self.snapshots = Snapshots {
            revision,
            position: head.as_ref().map_or(0, |h| h.position),
            attempts: self.snapshots.attempts,
            ..Snapshots::default()
        };
        match head {
            None => self.start_from(ShardState::default().snapshot(), next_op, out),
            Some(head) if head.chunks == 0 => self.decode(&head.inline, next_op, out, events),
            Some(head) => {
                self.snapshots.parts = vec![None; head.chunks as usize];
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
            Err(e) => return self.break_off(e.to_string(), events),
        };
        if found.position != self.snapshots.position {
            // The head has moved on since it was read.
            return self.fail_load(now, events);
        }
        if let Some(part) = self.snapshots.parts.get_mut(chunk as usize) {
            *part = Some(found.part);
        }
        if self.snapshots.parts.iter().all(Option::is_some) {
            let parts = std::mem::take(&mut self.snapshots.parts);
            let encoding: Vec<u8> = parts.into_iter().flatten().flatten().collect();
            self.decode(&encoding, next_op, out, events);
        }
    }

    fn decode(
        &mut self,
        encoding: &[u8],
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        match from_cbor::<Snapshot>(encoding) {
            Ok(snapshot) => self.start_from(snapshot, next_op, out),
            Err(e) => self.break_off(e.to_string(), events),
        }
    }
}
