//! Two writers of one shard and a store whose answers may be lost.

use toucanchute_core::ledger::{
    Fault, LogEvent, OpId, ShardLog, ShardState, StoreKey, StoreOp, StoreRequest, StoreResult,
};
use toucanchute_proto::{
    BudgetId, EntryId, Incarnation, Millis, ShardId, from_cbor,
    ledger::{Batch, Entry, EntryBody, TopUp},
};

use super::World;
use crate::memory_store::MemoryStore;

/// Keys in the ring; small, so that it goes round.
const RING: u32 = 2;

#[derive(Clone, Debug)]
struct Writer {
    log: ShardLog,
    queue: Vec<Entry>,
    next_op: OpId,
    in_flight: Vec<StoreOp>,
    retries: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct RingWorld {
    writers: Vec<Writer>,
    store: MemoryStore,
    /// The true log.
    truth: ShardState,
    committed: Vec<EntryId>,
    /// Writes whose sender has had no answer and that may still take effect.
    late: Vec<StoreRequest>,
    lost_left: u32,
    crashes_left: u32,
    part_bytes: usize,
    fault: Option<Fault>,
}

impl RingWorld {
    pub(crate) fn new(
        batches: [u64; 2],
        lost_left: u32,
        crashes_left: u32,
        part_bytes: usize,
        fault: Option<Fault>,
    ) -> RingWorld {
        let mut world = RingWorld {
            writers: Vec::new(),
            store: MemoryStore::default(),
            truth: ShardState::default(),
            committed: Vec::new(),
            late: Vec::new(),
            lost_left,
            crashes_left,
            part_bytes,
            fault,
        };
        for (batches, id) in batches.into_iter().zip(1..) {
            let queue = (0..batches).map(|n| entry(id, n)).collect();
            let writer = world.start(id, queue);
            world.writers.push(writer);
        }
        world
    }

    fn start(&self, id: u64, queue: Vec<Entry>) -> Writer {
        let mut log = ShardLog::new(ShardId(0), RING, Incarnation(id));
        log.set_fault(self.fault);
        log.set_chunk_bytes(self.part_bytes);
        let (mut next_op, mut in_flight) = (0, Vec::new());
        log.load(&mut next_op, &mut in_flight);
        Writer {
            log,
            queue,
            next_op,
            in_flight,
            retries: false,
        }
    }

    fn apply(&mut self, request: &StoreRequest) -> Result<StoreResult, String> {
        let result = self.store.apply(request);
        if let StoreRequest::Cas { key, value, .. } = request
            && matches!(result, StoreResult::Applied { .. })
            && matches!(key, StoreKey::Slot { .. })
        {
            let batch: Batch = from_cbor(value).map_err(|e| e.to_string())?;
            self.truth.apply(&batch).map_err(|e| e.to_string())?;
            self.committed.extend(batch.entries.iter().map(|e| e.id));
        }
        Ok(result)
    }

    fn answer(&mut self, writer: usize, op: OpId, result: &StoreResult) -> Result<(), String> {
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
                        return Err(format!("entry {id} is not in the log"));
                    }
                }
                LogEvent::NotCommitted { entries } => {
                    w.queue.splice(0..0, entries);
                }
                LogEvent::Corrupt { detail } => return Err(detail),
                LogEvent::Unreachable => w.retries = true,
                LogEvent::Ready => {}
            }
        }
        Ok(())
    }

    /// Moves of one writer that need no answer.
    fn own_moves(&self, writer: usize, out: &mut Vec<RingWorld>) {
        let mut next = self.clone();
        let w = &mut next.writers[writer];
        if w.log.is_ready() && !w.queue.is_empty() {
            // One entry a batch, so that there are several batches.
            let mut first = vec![w.queue.remove(0)];
            w.log
                .commit(Millis(0), &mut first, &mut w.next_op, &mut w.in_flight);
            out.push(next);
        } else if w.retries {
            w.retries = false;
            w.log.tick(Millis::MAX, &mut w.next_op, &mut w.in_flight);
            out.push(next);
        }
    }

    fn crash(&self, writer: usize, out: &mut Vec<RingWorld>) {
        if self.crashes_left == 0 {
            return;
        }
        let mut next = self.clone();
        next.crashes_left -= 1;
        let old = next.writers.remove(writer);
        next.late.extend(
            old.in_flight
                .into_iter()
                .map(|op| op.request)
                .filter(is_write),
        );
        let renewed = next.start(writer as u64 + 10, old.queue);
        next.writers.insert(writer, renewed);
        out.push(next);
    }

    fn deliver(&self, writer: usize, n: usize, out: &mut Vec<RingWorld>) -> Result<(), String> {
        let mut next = self.clone();
        let op = next.writers[writer].in_flight.remove(n);
        let mut answered = next.clone();
        let result = answered.apply(&op.request)?;
        answered.answer(writer, op.op, &result)?;
        out.push(answered);
        if self.lost_left == 0 {
            return Ok(());
        }
        next.lost_left -= 1;
        let mut refused = next.clone();
        refused.answer(writer, op.op, &StoreResult::Unavailable)?;
        out.push(refused);
        let mut late = next.clone();
        late.late.extend(Some(op.request.clone()).filter(is_write));
        late.answer(writer, op.op, &StoreResult::Unknown)?;
        out.push(late);
        next.apply(&op.request)?;
        next.answer(writer, op.op, &StoreResult::Unknown)?;
        out.push(next);
        Ok(())
    }
}

impl World for RingWorld {
    fn next(&self) -> Result<Vec<RingWorld>, String> {
        let mut out = Vec::new();
        for writer in 0..self.writers.len() {
            self.own_moves(writer, &mut out);
            self.crash(writer, &mut out);
            for n in 0..self.writers[writer].in_flight.len() {
                self.deliver(writer, n, &mut out)?;
            }
        }
        for n in 0..self.late.len() {
            let mut next = self.clone();
            let request = next.late.remove(n);
            next.apply(&request)?;
            out.push(next);
        }
        let idle = self.writers.iter().all(|w| w.queue.is_empty());
        if out.is_empty() && !(idle && self.truth.position() > 0) {
            return Err("the writers are stuck".to_owned());
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
