use toucanchute_proto::{
    Millis, from_cbor,
    ledger::{Batch, Snapshot},
};

use super::{INITIAL_RETRY_DELAY_MS, LogEvent, OpId, Phase, Purpose, ShardLog, Slot};
use crate::ledger::{Fault, ShardState, StoreKey, StoreOp, StoreRequest, StoreResult};

/// Reading the log.
impl ShardLog {
    /// Starts to load the log, unless it is loaded, being loaded or waiting for a retry.
    pub fn load(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        if self.phase != Phase::NotLoaded || self.retry_at.is_some() {
            return;
        }
        self.phase = Phase::Loading;
        let key = StoreKey::Snapshot { shard: self.shard };
        self.send(Purpose::LoadHead, StoreRequest::Get { key }, next_op, out);
    }

    /// Starts to read new batches of other writers, if the log is ready.
    pub fn refresh(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        if self.is_ready() {
            self.read_next(next_op, out);
        }
    }

    /// Restores the state of `snapshot` and starts to read all ring keys.
    pub(super) fn load_ring(
        &mut self,
        snapshot: Snapshot,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
    ) {
        self.state = ShardState::from_snapshot(snapshot);
        self.state.set_fault(self.fault);
        self.loaded_batches.clear();
        self.slots.clear();
        for slot in 0..self.ring {
            let key = self.slot_key(slot);
            self.send(
                Purpose::LoadSlot(slot),
                StoreRequest::Get { key },
                next_op,
                out,
            );
        }
    }

    pub(super) fn on_load_slot(
        &mut self,
        now: Millis,
        slot: u64,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        if self.phase != Phase::Loading {
            return;
        }
        match self.record_slot(slot, result) {
            Ok(Some(batch)) => {
                self.loaded_batches.insert(batch.position, batch);
            }
            Ok(None) => {}
            Err(SlotError::NoAnswer) => return self.fail_load(now, events),
            Err(SlotError::Invalid(detail)) => return self.mark_corrupt(detail, events),
        }
        if self.ops.is_empty() {
            self.replay(next_op, out, events);
        }
    }

    /// Applies the loaded batches that follow the snapshot, then reads on from there.
    fn replay(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>, events: &mut Vec<LogEvent>) {
        let loaded_batches = std::mem::take(&mut self.loaded_batches);
        for batch in loaded_batches.values() {
            if batch.position != self.state.position() {
                continue;
            }
            match self.state.apply(batch) {
                Ok(_) => self.take_snapshot(),
                Err(e) => return self.mark_corrupt(e.to_string(), events),
            }
        }
        self.retry_delay_ms = INITIAL_RETRY_DELAY_MS;
        self.phase = Phase::CatchingUp;
        self.read_next(next_op, out);
    }

    /// Abandons the load in progress and schedules another one.
    pub(super) fn fail_load(&mut self, now: Millis, events: &mut Vec<LogEvent>) {
        self.phase = Phase::NotLoaded;
        self.ops.clear();
        self.back_off(now);
        events.push(LogEvent::Unreachable);
    }

    /// Reads the ring key of the next position, to find the log's tail.
    pub(super) fn read_next(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        self.phase = Phase::CatchingUp;
        let position = self.state.position();
        let key = self.slot_key(position);
        self.send(
            Purpose::ReadNext(position),
            StoreRequest::Get { key },
            next_op,
            out,
        );
    }

    pub(super) fn on_read_next(
        &mut self,
        now: Millis,
        position: u64,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        let batch = match self.record_slot(position % self.ring, result) {
            Ok(batch) => batch,
            Err(SlotError::NoAnswer) => {
                events.push(LogEvent::Unreachable);
                return self.back_off(now);
            }
            Err(SlotError::Invalid(detail)) => return self.mark_corrupt(detail, events),
        };
        match batch {
            Some(batch)
                if batch.position == position && self.fault != Some(Fault::SkipRingCheck) =>
            {
                self.apply_read(&batch, events);
                if self.phase == Phase::CatchingUp {
                    self.read_next(next_op, out);
                }
            }
            Some(batch) if batch.position > position => self.reload(next_op, out, events),
            _ => self.reach_tail(next_op, out, events),
        }
    }

    fn apply_read(&mut self, batch: &Batch, events: &mut Vec<LogEvent>) {
        let pending = self.pending.take();
        match pending {
            Some(own) if own.batch.batch_id == batch.batch_id => self.apply_own(batch, events),
            other => {
                self.pending = other;
                if let Err(e) = self.state.apply(batch) {
                    return self.mark_corrupt(e.to_string(), events);
                }
                self.take_snapshot();
                self.return_pending(events);
            }
        }
    }

    /// Loads the log again, because the ring has wrapped around since the last read and unread
    /// batches have been replaced.
    fn reload(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>, events: &mut Vec<LogEvent>) {
        self.return_pending(events);
        self.phase = Phase::NotLoaded;
        self.ops.clear();
        self.load(next_op, out);
    }

    fn reach_tail(
        &mut self,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        self.phase = Phase::Ready;
        match &self.pending {
            Some(pending) if !pending.in_flight => self.write_batch(next_op, out),
            Some(_) => {}
            None => events.push(LogEvent::Ready),
        }
    }

    /// Records the content of a ring key and returns its batch, if any.
    fn record_slot(&mut self, slot: u64, result: &StoreResult) -> Result<Option<Batch>, SlotError> {
        let (revision, batch) = match result {
            StoreResult::Value { revision, value } => {
                let batch = from_cbor::<Batch>(value);
                let batch = batch.map_err(|e| SlotError::Invalid(e.to_string()))?;
                (*revision, Some(batch))
            }
            StoreResult::Missing => (0, None),
            _ => return Err(SlotError::NoAnswer),
        };
        let position = batch.as_ref().map(|b| b.position);
        self.slots.insert(slot, Slot { revision, position });
        Ok(batch)
    }
}

/// Why the content of a ring key is not available.
enum SlotError {
    NoAnswer,
    Invalid(String),
}
