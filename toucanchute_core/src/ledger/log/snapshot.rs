use toucanchute_proto::{Millis, from_cbor, ledger::Snapshot, to_cbor};

use super::{LogEvent, OpId, Phase, Purpose, ShardLog};
use crate::ledger::{StoreKey, StoreOp, StoreRequest, StoreResult};

/// Snapshots.
impl ShardLog {
    /// Writes a snapshot once half the ring is not covered by one.
    pub(super) fn refresh_snapshot(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        let uncovered = self.state.position().saturating_sub(self.snapshot.position);
        if uncovered >= self.ring / 2 {
            self.write_snapshot(next_op, out);
        }
    }

    pub(super) fn write_snapshot(&mut self, next_op: &mut OpId, out: &mut Vec<StoreOp>) {
        if self.snapshot.writing {
            return;
        }
        self.snapshot.writing = true;
        let snapshot = self.state.snapshot();
        let request = StoreRequest::Cas {
            key: StoreKey::Snapshot { shard: self.shard },
            expected_revision: self.snapshot.revision,
            value: to_cbor(&snapshot),
        };
        self.send(
            Purpose::WriteSnapshot(snapshot.position),
            request,
            next_op,
            out,
        );
    }

    pub(super) fn on_write_snapshot(
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
                self.snapshot.writing = false;
                self.snapshot.revision = *revision;
                self.snapshot.position = position;
                self.resume_write(next_op, out);
            }
            StoreResult::Unavailable => self.fail_snapshot(now, events),
            _ => {
                let key = StoreKey::Snapshot { shard: self.shard };
                self.send(
                    Purpose::ReadSnapshot,
                    StoreRequest::Get { key },
                    next_op,
                    out,
                );
            }
        }
    }

    pub(super) fn on_read_snapshot(
        &mut self,
        now: Millis,
        result: &StoreResult,
        next_op: &mut OpId,
        out: &mut Vec<StoreOp>,
        events: &mut Vec<LogEvent>,
    ) {
        match result {
            StoreResult::Value { revision, value } => match from_cbor::<Snapshot>(value) {
                Ok(snapshot) => {
                    self.snapshot.revision = *revision;
                    self.snapshot.position = snapshot.position;
                }
                Err(e) => return self.break_off(e.to_string(), events),
            },
            StoreResult::Missing => self.snapshot.revision = 0,
            _ => return self.fail_snapshot(now, events),
        }
        self.snapshot.writing = false;
        self.resume_write(next_op, out);
    }

    fn fail_snapshot(&mut self, now: Millis, events: &mut Vec<LogEvent>) {
        self.snapshot.writing = false;
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
}
