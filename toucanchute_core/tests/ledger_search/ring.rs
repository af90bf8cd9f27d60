//! Model of two writers of one shard and a store whose responses may be lost.

use toucanchute_core::ledger::{
    Fault, LogEvent, OpId, ShardLog, ShardState, StoreKey, StoreOp, StoreRequest, StoreResult,
};
use toucanchute_proto::{
    BudgetId, EntryId, Incarnation, Millis, ShardId, from_cbor,
    ledger::{Batch, Entry, EntryBody, TopUp},
};

use super::SearchState;
use crate::memory_store::MemoryStore;

/// Number of keys in the ring; small, so that it wraps around.
const RING: u32 = 2;

#[derive(Clone, Debug)]
struct Writer {
    log: ShardLog,
    queue: Vec<Entry>,
    next_op: OpId,
    in_flight: Vec<StoreOp>,
    retry_due: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct RingState {
    writers: Vec<Writer>,
    store: MemoryStore,
    /// State after all batches that were written to the store.
    stored_log: ShardState,
    committed: Vec<EntryId>,
    /// Writes whose sender received no response and that may still take effect.
    delayed_writes: Vec<StoreRequest>,
    losses_left: u32,
    crashes_left: u32,
    chunk_bytes: usize,
    fault: Option<Fault>,
}

impl RingState {
    pub(crate) fn new(
        batches: [u64; 2],
        losses_left: u32,
        crashes_left: u32,
        chunk_bytes: usize,
        fault: Option<Fault>,
    ) -> RingState {
        let mut state = RingState {
            writers: Vec::new(),
            store: MemoryStore::default(),
            stored_log: ShardState::default(),
            committed: Vec::new(),
            delayed_writes: Vec::new(),
            losses_left,
            crashes_left,
            chunk_bytes,
            fault,
        };
        for (batches, id) in batches.into_iter().zip(1..) {
            let queue = (0..batches).map(|n| entry(id, n)).collect();
            let writer = state.start(id, queue);
            state.writers.push(writer);
        }
        state
    }

    fn start(&self, id: u64, queue: Vec<Entry>) -> Writer {
        let mut log = ShardLog::new(ShardId(0), RING, Incarnation(id));
        log.set_fault(self.fault);
        log.set_chunk_bytes(self.chunk_bytes);
        let (mut next_op, mut in_flight) = (0, Vec::new());
        log.load(&mut next_op, &mut in_flight);
        Writer {
            log,
            queue,
            next_op,
            in_flight,
            retry_due: false,
        }
    }

    fn apply(&mut self, request: &StoreRequest) -> Result<StoreResult, String> {
        let result = self.store.apply(request);
        if let StoreRequest::Cas { key, value, .. } = request
            && matches!(result, StoreResult::Applied { .. })
            && matches!(key, StoreKey::Slot { .. })
        {
            let batch: Batch = from_cbor(value).map_err(|e| e.to_string())?;
            self.stored_log.apply(&batch).map_err(|e| e.to_string())?;
            self.committed.extend(batch.entries.iter().map(|e| e.id));
        }
        Ok(result)
    }

    fn handle_result(
        &mut self,
        writer: usize,
        op: OpId,
        result: &StoreResult,
    ) -> Result<(), String> {
        let w = &mut self.writers[writer];
        let mut events = Vec::new();
        w.log.on_store_result(
            Millis(0),
            op,
            result,
            &mut w.next_op,
            &mut w.in_flight,
            &mut events,
        );
        for event in events {
            match event {
                LogEvent::Committed { results } => {
                    if let Some((id, _)) = results.iter().find(|r| !self.committed.contains(&r.0)) {
                        return Err(format!(
                            "entry {id} was reported as committed, but is not in the log"
                        ));
                    }
                }
                LogEvent::NotCommitted { entries } => {
                    w.queue.splice(0..0, entries);
                }
                LogEvent::Corrupt { detail } => return Err(detail),
                LogEvent::Unreachable => w.retry_due = true,
                LogEvent::Ready => {}
            }
        }
        Ok(())
    }

    /// Adds the states after steps of one writer that need no response from the store.
    fn steps_of_writer(&self, writer: usize, out: &mut Vec<RingState>) {
        let mut next = self.clone();
        let w = &mut next.writers[writer];
        if w.log.is_ready() && !w.queue.is_empty() {
            // One entry per batch, so that there are several batches.
            let mut first = vec![w.queue.remove(0)];
            w.log
                .commit(Millis(0), &mut first, &mut w.next_op, &mut w.in_flight);
            out.push(next);
        } else if w.retry_due {
            w.retry_due = false;
            w.log.tick(Millis::MAX, &mut w.next_op, &mut w.in_flight);
            out.push(next);
        }
    }

    /// Adds the state after a crash of one writer, whose writes in flight may still take effect.
    fn crash(&self, writer: usize, out: &mut Vec<RingState>) {
        if self.crashes_left == 0 {
            return;
        }
        let mut next = self.clone();
        next.crashes_left -= 1;
        let old = next.writers.remove(writer);
        next.delayed_writes.extend(
            old.in_flight
                .into_iter()
                .map(|op| op.request)
                .filter(is_write),
        );
        let restarted = next.start(writer as u64 + 10, old.queue);
        next.writers.insert(writer, restarted);
        out.push(next);
    }

    /// Adds the states after a call in flight: it is carried out, refused, delayed without a
    /// response, or carried out without a response.
    fn complete_call(
        &self,
        writer: usize,
        n: usize,
        out: &mut Vec<RingState>,
    ) -> Result<(), String> {
        let mut next = self.clone();
        let op = next.writers[writer].in_flight.remove(n);
        let mut completed = next.clone();
        let result = completed.apply(&op.request)?;
        completed.handle_result(writer, op.op, &result)?;
        out.push(completed);
        if self.losses_left == 0 {
            return Ok(());
        }
        next.losses_left -= 1;
        let mut unavailable = next.clone();
        unavailable.handle_result(writer, op.op, &StoreResult::Unavailable)?;
        out.push(unavailable);
        let mut delayed = next.clone();
        delayed
            .delayed_writes
            .extend(Some(op.request.clone()).filter(is_write));
        delayed.handle_result(writer, op.op, &StoreResult::Unknown)?;
        out.push(delayed);
        next.apply(&op.request)?;
        next.handle_result(writer, op.op, &StoreResult::Unknown)?;
        out.push(next);
        Ok(())
    }
}

impl SearchState for RingState {
    fn successors(&self) -> Result<Vec<RingState>, String> {
        let mut out = Vec::new();
        for writer in 0..self.writers.len() {
            self.steps_of_writer(writer, &mut out);
            self.crash(writer, &mut out);
            for n in 0..self.writers[writer].in_flight.len() {
                self.complete_call(writer, n, &mut out)?;
            }
        }
        for n in 0..self.delayed_writes.len() {
            let mut next = self.clone();
            let request = next.delayed_writes.remove(n);
            next.apply(&request)?;
            out.push(next);
        }
        let queues_empty = self.writers.iter().all(|w| w.queue.is_empty());
        if out.is_empty() && !(queues_empty && self.stored_log.position() > 0) {
            return Err("no writer can proceed, but entries are not committed".to_owned());
        }
        Ok(out)
    }
}

fn is_write(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Cas { .. })
}

fn entry(writer: u64, n: u64) -> Entry {
    let top_up = format!("t-{writer}-{n}");
    Entry {
        id: EntryId(Incarnation(writer), n),
        budget: BudgetId(1),
        body: EntryBody::TopUp(TopUp { top_up, tokens: 1 }),
    }
}
