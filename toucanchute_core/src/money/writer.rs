use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, EntryId, Incarnation, Millis, ShardId,
    ledger::{Entry, EntryResult},
    money::{MoneyMessage, Propose, Proposed, ProposedResult},
};

use super::{Action, CallId, Money};
use crate::ledger::{LogEvent, ShardLog, StoreOp, StoreResult};

/// Shortest time between the starts of two batches of a shard, in milliseconds. It keeps the writes
/// below the platform's rate limit.
const MIN_COMMIT_INTERVAL_MS: u64 = 10;

/// Interval at which a shard's writer reads batches of other writers, in milliseconds. Grants
/// that those batches open may have to be reclaimed as well.
const REFRESH_INTERVAL_MS: u64 = 5_000;

/// Time after its start from which a router that knows no peers assumes that it is alone, in
/// milliseconds.
const PEER_DISCOVERY_MS: u64 = 5_000;

/// State of this router as a writer of one shard.
#[derive(Debug)]
pub(super) struct ShardWriter {
    pub(super) log: ShardLog,
    /// Entries for the next batches, in order and without duplicates.
    queue: Vec<Entry>,
    /// Where to send the results of entries that are queued or in flight.
    routes: BTreeMap<EntryId, Vec<ResultRoute>>,
    last_commit: Option<Millis>,
    /// Requested statements, answered once the log has been read to its tail: the requester, its
    /// call and the budget.
    waiting_statements: Vec<(Incarnation, CallId, BudgetId)>,
    /// When the log was last read for batches of other writers.
    refreshed_at: Millis,
    /// Whether a read of other writers' batches was started for `waiting_statements`.
    refreshing: bool,
}

/// Where to send an entry's result: to `origin`, through `via`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResultRoute {
    pub(super) origin: Incarnation,
    pub(super) via: Incarnation,
}

impl ShardWriter {
    pub(super) fn next_commit_at(&self) -> Option<Millis> {
        let has_next_batch = !self.queue.is_empty() && self.log.is_ready();
        let last = self.last_commit.filter(|_| has_next_batch)?;
        Some(last + Millis(MIN_COMMIT_INTERVAL_MS))
    }

    pub(super) fn queued_entries(&self) -> usize {
        self.queue.len()
    }

    fn may_commit(&self, now: Millis) -> bool {
        let next = self
            .last_commit
            .map(|at| at + Millis(MIN_COMMIT_INTERVAL_MS));
        self.log.is_ready() && next.is_none_or(|at| now >= at)
    }
}

/// Writes to shards.
impl Money {
    pub(super) fn writer(&mut self, shard: ShardId) -> &mut ShardWriter {
        let (me, ring, fault) = (self.me(), self.cfg.ledger.ring, self.cfg.fault);
        let part_bytes = self.cfg.part_bytes;
        self.writers.entry(shard).or_insert_with(|| {
            let mut log = ShardLog::new(shard, ring, me);
            log.set_fault(fault);
            log.set_chunk_bytes(part_bytes);
            ShardWriter {
                log,
                queue: Vec::new(),
                routes: BTreeMap::new(),
                last_commit: None,
                waiting_statements: Vec::new(),
                refreshed_at: Millis(0),
                refreshing: false,
            }
        })
    }

    /// Queues entries for the next batch that this router writes.
    pub(super) fn enqueue(&mut self, shard: ShardId, entries: Vec<Entry>, route: ResultRoute) {
        let writer = self.writer(shard);
        for entry in entries {
            let known = writer.routes.contains_key(&entry.id);
            let routes = writer.routes.entry(entry.id).or_default();
            if !routes.contains(&route) {
                routes.push(route);
            }
            if !known {
                writer.queue.push(entry);
            }
        }
    }

    pub(super) fn on_propose(&mut self, from: Incarnation, body: Propose, out: &mut Vec<Action>) {
        let to = self.writer_of(body.shard);
        if to != self.me() && !body.relayed && to != from && to != body.origin {
            let relayed = true;
            let message = MoneyMessage::Propose(Propose { relayed, ..body });
            out.push(Action::Send { to, message });
            return;
        }
        let route = ResultRoute {
            origin: body.origin,
            via: from,
        };
        self.enqueue(body.shard, body.entries, route);
    }

    /// Starts the next operation of each shard that can start one: a read of the log, or a batch.
    pub(super) fn start_writer_ops(&mut self, out: &mut Vec<Action>) {
        let (now, mut next_op) = (self.now, self.next_op);
        let mut ops = Vec::new();
        for writer in self.writers.values_mut() {
            let has_work = !writer.queue.is_empty() || !writer.waiting_statements.is_empty();
            if has_work && writer.log.needs_load() {
                writer.log.load(&mut next_op, &mut ops);
            } else if !writer.waiting_statements.is_empty()
                && !writer.refreshing
                && writer.log.is_ready()
            {
                writer.refreshing = true;
                writer.log.refresh(&mut next_op, &mut ops);
            } else if !writer.queue.is_empty() && writer.may_commit(now) {
                writer.last_commit = Some(now);
                writer
                    .log
                    .commit(now, &mut writer.queue, &mut next_op, &mut ops);
            }
        }
        self.next_op = next_op;
        out.extend(ops.into_iter().map(Action::Store));
    }

    pub(super) fn tick_writers(&mut self, out: &mut Vec<Action>) {
        let shards: Vec<_> = (0..self.cfg.ledger.shards).map(ShardId).collect();
        let (now, mut next_op) = (self.now, self.next_op);
        let mut ops = Vec::new();
        let running = now.since(self.started_at.unwrap_or(now));
        let peers_known = !self.peers.is_empty() || running >= Millis(PEER_DISCOVERY_MS);
        for shard in shards {
            if peers_known && self.writer_of(shard) == self.me() {
                let writer = self.writer(shard);
                writer.log.load(&mut next_op, &mut ops);
                if now.since(writer.refreshed_at) >= Millis(REFRESH_INTERVAL_MS) {
                    writer.refreshed_at = now;
                    writer.log.refresh(&mut next_op, &mut ops);
                }
            }
            if let Some(writer) = self.writers.get_mut(&shard) {
                writer.log.tick(now, &mut next_op, &mut ops);
            }
        }
        self.next_op = next_op;
        out.extend(ops.into_iter().map(Action::Store));
    }

    pub(super) fn on_store(&mut self, op: u64, result: &StoreResult, out: &mut Vec<Action>) {
        let (now, mut next_op) = (self.now, self.next_op);
        let mut ops: Vec<StoreOp> = Vec::new();
        let mut events = Vec::new();
        let mut found = None;
        for (&shard, writer) in &mut self.writers {
            if writer
                .log
                .on_store_result(now, op, result, &mut next_op, &mut ops, &mut events)
            {
                found = Some(shard);
                break;
            }
        }
        self.next_op = next_op;
        out.extend(ops.into_iter().map(Action::Store));
        if let Some(shard) = found {
            for event in events {
                self.on_log_event(shard, event, out);
            }
        }
    }

    fn on_log_event(&mut self, shard: ShardId, event: LogEvent, out: &mut Vec<Action>) {
        match event {
            LogEvent::Committed { results } => self.on_committed(shard, results, out),
            LogEvent::NotCommitted { entries } => {
                let writer = self.writer(shard);
                writer.queue.splice(0..0, entries);
            }
            LogEvent::Ready => self.answer_statements(shard, out),
            LogEvent::Unreachable | LogEvent::Corrupt { .. } => {}
        }
    }

    fn on_committed(
        &mut self,
        shard: ShardId,
        results: Vec<(EntryId, EntryResult)>,
        out: &mut Vec<Action>,
    ) {
        let me = self.me();
        let mut own = Vec::new();
        let mut replies: BTreeMap<(Incarnation, Incarnation), Vec<ProposedResult>> =
            BTreeMap::new();
        let writer = self.writer(shard);
        let at = writer.log.state().time();
        for (entry, result) in results {
            for route in writer.routes.remove(&entry).unwrap_or_default() {
                if route.origin == me {
                    own.push((entry, result.clone()));
                    continue;
                }
                let result = result.clone();
                let reply = replies.entry((route.via, route.origin)).or_default();
                reply.push(ProposedResult { entry, result });
            }
        }
        for ((to, origin), results) in replies {
            let message = MoneyMessage::Proposed(Proposed {
                origin,
                at,
                results,
            });
            out.push(Action::Send { to, message });
        }
        for (entry, result) in own {
            self.resolve(entry, result, out);
        }
    }

    /// Answers the statements that waited until the log was read to its tail.
    fn answer_statements(&mut self, shard: ShardId, out: &mut Vec<Action>) {
        let writer = self.writer(shard);
        writer.refreshing = false;
        for (requester, call, budget) in std::mem::take(&mut writer.waiting_statements) {
            let statement = self.writer(shard).log.state().statement(budget);
            self.send_statement(requester, call, statement, out);
        }
    }

    /// Queues a statement, to be answered once the shard's log has been read to its tail.
    pub(super) fn queue_statement(
        &mut self,
        requester: Incarnation,
        call: CallId,
        budget: BudgetId,
    ) {
        let shard = self.shard_of(budget);
        let writer = self.writer(shard);
        if !writer
            .waiting_statements
            .contains(&(requester, call, budget))
        {
            writer.waiting_statements.push((requester, call, budget));
        }
    }
}
