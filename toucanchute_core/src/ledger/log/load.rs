use toucanchute_proto::{
    Millis, from_cbor,
    ledger::{Batch, Snapshot},
};

use super::{LogEvent, OpId, Phase, Purpose, RETRY_MS, ShardLog, Slot};
use crate::ledger::{Fault, ShardState, StoreKey, StoreOp, StoreRequest, StoreResult};

/// Reading.
impl ShardLog {
    /// Starts to read the log, unless that has begun.
    pub fn load(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        if self.phase != Phase::Cold || self.retry_at.is_some() {
            return;
        }
        self.phase = Phase::Loading;
        let key = StoreKey::Snapshot { shard: self.shard };
        self.send(Purpose::LoadHead, StoreRequest::Get { key }, next_op, out);
    }

    /// Starts to look for batches of other writers, if the log is ready.
    pub fn refresh(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        if self.is_ready() {
            self.chase(next_op, out);
        }
    }

    pub(super) fn start_from(
        &mut self,
        snapshot: Snapshot,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
    ) {
        self.state = ShardState::from_snapshot(snapshot);
        self.state.set_fault(self.fault);
        self.loaded.clear();
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
        match self.read_slot(slot, result) {
            Ok(Some(batch)) => {
                self.loaded.insert(batch.position, batch);
            }
            Ok(None) => {}
            Err(Unreadable::Unanswered) => return self.fail_load(now, events),
            Err(Unreadable::Invalid(detail)) => return self.break_off(detail, events),
        }
        if self.ops.is_empty() {
            self.replay(next_op, out, events);
        }
    }

    fn replay(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>, events: &mut Vec<LogEvent>) {
        let loaded = std::mem::take(&mut self.loaded);
        for batch in loaded.values() {
            if batch.position != self.state.position() {
                continue;
            }
            match self.state.apply(batch) {
                Ok(_) => self.take_snapshot(),
                Err(e) => return self.break_off(e.to_string(), events),
            }
        }
        self.retry_ms = RETRY_MS;
        self.phase = Phase::Chasing;
        self.chase(next_op, out);
    }

    pub(super) fn fail_load(&mut self, now: Millis, events: &mut Vec<LogEvent>) {
        self.phase = Phase::Cold;
        self.ops.clear();
        self.back_off(now);
        events.push(LogEvent::Unreachable);
    }

    /// Reads the key of the next position, to find the log's tail.
    pub(super) fn chase(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        self.phase = Phase::Chasing;
        let position = self.state.position();
        let key = self.slot_key(position);
        self.send(
            Purpose::Chase(position),
            StoreRequest::Get { key },
            next_op,
            out,
        );
    }

    pub(super) fn on_chase(
        &mut self,
        now: Millis,
        position: u64,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        let batch = match self.read_slot(position % self.ring, result) {
            Ok(batch) => batch,
            Err(Unreadable::Unanswered) => {
                events.push(LogEvent::Unreachable);
                return self.back_off(now);
            }
            Err(Unreadable::Invalid(detail)) => return self.break_off(detail, events),
        };
        match batch {
            Some(batch)
                if batch.position == position && self.fault != Some(Fault::SkipRingCheck) =>
            {
                self.apply_read(&batch, events);
                if self.phase == Phase::Chasing {
                    self.chase(next_op, out);
                }
            }
            Some(batch) if batch.position > position => self.restart(next_op, out, events),
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
                    return self.break_off(e.to_string(), events);
                }
                self.take_snapshot();
                self.displace(events);
            }
        }
    }

    /// The ring has gone round since the log was read: read it anew.
    fn restart(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>, events: &mut Vec<LogEvent>) {
        self.displace(events);
        self.phase = Phase::Cold;
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
            Some(pending) if !pending.in_flight => self.write(next_op, out),
            Some(_) => {}
            None => events.push(LogEvent::Ready),
        }
    }

    /// Notes what a ring key holds and returns its batch.
    fn read_slot(&mut self, slot: u64, result: &StoreResult) -> Result<Option<Batch>, Unreadable> {
        let (revision, batch) = match result {
            StoreResult::Value { revision, value } => {
                let batch = from_cbor::<Batch>(value);
                let batch = batch.map_err(|e| Unreadable::Invalid(e.to_string()))?;
                (*revision, Some(batch))
            }
            StoreResult::Missing => (0, None),
            _ => return Err(Unreadable::Unanswered),
        };
        let position = batch.as_ref().map(|b| b.position);
        self.slots.insert(slot, Slot { revision, position });
        Ok(batch)
    }
}

enum Unreadable {
    Unanswered,
    Invalid(String),
}
