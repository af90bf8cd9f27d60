use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, EntryId, GrantId, Incarnation, Millis, ShardId,
    ledger::{Entry, EntryBody, EntryResult, GrantRecord, Reclaim},
    money::{Fence, Fenced, MoneyMessage},
};

use super::{Action, Money, outbox::EntryPurpose};
use crate::ledger::{Fault, fences_needed};

/// Delay before a fence request is sent again to a witness that has not answered, in milliseconds.
const FENCE_RESEND_MS: u64 = 500;

/// A grant that this router is reclaiming as the writer of its shard.
#[derive(Debug)]
pub(super) struct PendingReclaim {
    budget: BudgetId,
    /// Witnesses that refuse further debits, with the debits that they held.
    fenced: BTreeMap<Incarnation, Vec<Entry>>,
    fences_requested_at: Option<Millis>,
    proposed_entry: Option<EntryId>,
}

/// Reclaims of grants whose holder is gone.
impl Money {
    pub(super) fn tick_reclaims(&mut self, out: &mut Vec<Action>) {
        if self.draining {
            return;
        }
        let shards: Vec<_> = self.writers.keys().copied().collect();
        let mut due = Vec::new();
        for shard in shards {
            if self.writer_of(shard) != self.me() {
                continue;
            }
            if let Some(writer) = self.writers.get(&shard).filter(|w| w.log.is_loaded()) {
                let grants = writer.log.state().grants().cloned();
                due.extend(grants.map(|g| (shard, g)));
            }
        }
        for (shard, record) in due {
            if self.is_abandoned(shard, &record) {
                self.advance_reclaim(shard, &record, out);
            }
        }
    }

    /// Returns whether the grant's holder has been gone for at least `reclaim_after_ms` and has
    /// committed nothing for as long. A holder behind a partition may still reach the ledger, and
    /// as long as it commits entries it is alive.
    fn is_abandoned(&mut self, shard: ShardId, record: &GrantRecord) -> bool {
        let GrantId(holder, _) = record.grant;
        let bound = Millis(self.cfg.ledger.reclaim_after_ms);
        // A router that knows no peers may just have started.
        let alone = self.peers.is_empty() && !record.backing.witnesses.is_empty();
        let state = self.writers.get(&shard).map(|w| w.log.state());
        let last_seen = state
            .and_then(|s| s.last_entry_time(holder))
            .unwrap_or_default();
        let last_seen = last_seen.max(record.opened_at);
        let silent = self.now.since(last_seen) >= bound;
        !alone && silent && self.gone_for(holder).is_some_and(|gone| gone >= bound)
    }

    fn advance_reclaim(&mut self, shard: ShardId, record: &GrantRecord, out: &mut Vec<Action>) {
        let id = record.grant;
        let reclaim = self
            .pending_reclaims
            .entry(id)
            .or_insert_with(|| PendingReclaim {
                budget: record.budget,
                fenced: BTreeMap::new(),
                fences_requested_at: None,
                proposed_entry: None,
            });
        if reclaim
            .proposed_entry
            .is_some_and(|e| self.outbox.contains_key(&e))
        {
            return;
        }
        if self.has_fault(Fault::ReclaimWithoutFence) {
            return self.reclaim_unfenced(record);
        }
        self.request_fences(shard, record, out);
        self.propose_reclaim_if_ready(record);
    }

    fn request_fences(&mut self, shard: ShardId, record: &GrantRecord, out: &mut Vec<Action>) {
        let (now, me, grant) = (self.now, self.me(), record.grant);
        let Some(reclaim) = self.pending_reclaims.get_mut(&grant) else {
            return;
        };
        let due = reclaim
            .fences_requested_at
            .is_none_or(|at| now.since(at) >= Millis(FENCE_RESEND_MS));
        if !due {
            return;
        }
        reclaim.fences_requested_at = Some(now);
        for &witness in &record.backing.witnesses {
            if reclaim.fenced.contains_key(&witness) {
                continue;
            }
            if witness == me {
                reclaim.fenced.insert(me, self.witness_buffer.fence(grant));
                continue;
            }
            let message = MoneyMessage::Fence(Fence {
                witness,
                grant,
                shard,
            });
            out.push(Action::Send {
                to: witness,
                message,
            });
        }
    }

    pub(super) fn on_fenced(&mut self, body: Fenced) {
        if let Some(reclaim) = self.pending_reclaims.get_mut(&body.grant) {
            reclaim.fenced.entry(body.witness).or_insert(body.debits);
        }
    }

    /// Proposes the reclaim once enough witnesses are fenced, or once all other witnesses are gone.
    fn propose_reclaim_if_ready(&mut self, record: &GrantRecord) {
        let needed = fences_needed(&record.backing);
        let pending = self.count_pending_fences(record);
        let Some(reclaim) = self.pending_reclaims.get(&record.grant) else {
            return;
        };
        let newly_fenced = reclaim.fenced.keys().any(|w| !record.fenced.contains(w));
        let enough = reclaim.fenced.len() >= needed;
        let none_pending = pending == 0;
        if !(enough || none_pending) || (record.forfeited && !newly_fenced) {
            return;
        }
        let body = Reclaim {
            grant: record.grant,
            debits: reclaim.fenced.values().flatten().cloned().collect(),
            fenced: reclaim.fenced.keys().copied().collect(),
        };
        self.propose_reclaim_entry(body, record.budget);
    }

    /// Returns the number of witnesses that are not fenced and may still answer.
    fn count_pending_fences(&mut self, record: &GrantRecord) -> usize {
        let bound = Millis(self.cfg.ledger.reclaim_after_ms);
        let mut pending = 0;
        for &witness in &record.backing.witnesses {
            let reclaim = self.pending_reclaims.get(&record.grant);
            if reclaim.is_some_and(|r| r.fenced.contains_key(&witness)) {
                continue;
            }
            let gone = self.gone_for(witness).is_some_and(|gone| gone >= bound);
            pending += usize::from(!gone);
        }
        pending
    }

    fn reclaim_unfenced(&mut self, record: &GrantRecord) {
        let body = Reclaim {
            grant: record.grant,
            debits: Vec::new(),
            fenced: record.backing.witnesses.clone(),
        };
        self.propose_reclaim_entry(body, record.budget);
    }

    fn propose_reclaim_entry(&mut self, body: Reclaim, budget: BudgetId) {
        let grant = body.grant;
        let entry = self.new_entry(budget, EntryBody::Reclaim(body));
        if let Some(reclaim) = self.pending_reclaims.get_mut(&grant) {
            reclaim.proposed_entry = Some(entry.id);
        }
        self.propose(entry, EntryPurpose::Reclaim { grant }, None);
    }

    pub(super) fn on_reclaim_result(
        &mut self,
        grant: GrantId,
        result: &EntryResult,
        out: &mut Vec<Action>,
    ) {
        let GrantId(holder, _) = grant;
        if *result != EntryResult::Reclaimed {
            return;
        }
        let reclaim = self.pending_reclaims.remove(&grant);
        if let Some(state) = reclaim.and_then(|r| self.budget_states.get_mut(&r.budget)) {
            state.last_refusal = None;
        }
        let message = MoneyMessage::Closed(grant);
        out.push(Action::Send {
            to: holder,
            message,
        });
    }
}
