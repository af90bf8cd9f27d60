//! What must hold, checked apart from the machines.

use std::collections::BTreeMap;

use toucanchute_core::ledger::{ShardState, StoreKey};
use toucanchute_proto::{
    BudgetId, Bytes, EntryId, GrantId, RequestKey, ShardId, from_cbor,
    ledger::{Batch, Entry, EntryBody, KeyState, Statement},
};

/// Follows the true log and the answers that callers got.
#[derive(Default)]
pub(crate) struct Oracle {
    shards: BTreeMap<ShardId, ShardState>,
    /// Bill that each key was charged for.
    bills: BTreeMap<RequestKey, (EntryId, BudgetId, u64)>,
    /// Transfers that were committed.
    pub(crate) transfers: u64,
    /// Tokens of top-ups that were sent, by id.
    pub(crate) top_ups: BTreeMap<String, (BudgetId, u64)>,
    /// Complete answers that callers got.
    pub(crate) complete: BTreeMap<RequestKey, (BudgetId, u64)>,
    /// Times that the call of a key was sent.
    pub(crate) sent: BTreeMap<RequestKey, u32>,
    pub(crate) committed: u64,
}

pub(crate) type Verdict = Result<(), String>;

impl Oracle {
    /// Follows one write to the store.
    pub(crate) fn on_write(&mut self, key: StoreKey, value: &Bytes) -> Verdict {
        let StoreKey::Slot { shard, .. } = key else {
            return Ok(());
        };
        let batch: Batch = from_cbor(value).map_err(|e| e.to_string())?;
        let state = self.shards.entry(shard).or_default();
        state
            .apply(&batch)
            .map_err(|e| format!("shard {shard}: {e}"))?;
        self.committed += batch.entries.len() as u64;
        for entry in &batch.entries {
            self.note_bills(shard, entry)?;
        }
        Ok(())
    }

    fn note_bills(&mut self, shard: ShardId, entry: &Entry) -> Verdict {
        match &entry.body {
            EntryBody::Reclaim(body) => body
                .debits
                .iter()
                .try_for_each(|debit| self.note_bills(shard, debit)),
            EntryBody::Transfer(_) => {
                self.transfers += 1;
                Ok(())
            }
            EntryBody::Settle(bill) => {
                let record = self.shards[&shard].key(bill.key);
                let by = match record.map(|r| &r.state) {
                    Some(KeyState::Billed(billed)) => billed.by,
                    _ => return Ok(()),
                };
                if by != entry.id {
                    return Ok(());
                }
                let charge = (entry.id, entry.budget, bill.tokens);
                let first = *self.bills.entry(bill.key).or_insert(charge);
                match first == charge {
                    true => Ok(()),
                    false => Err(format!("key {} billed twice", bill.key)),
                }
            }
            _ => Ok(()),
        }
    }

    /// Checks what holds at every step.
    pub(crate) fn check(&self) -> Verdict {
        for (key, sent) in &self.sent {
            if *sent > 1 {
                return Err(format!("call {key} was sent {sent} times"));
            }
        }
        let mut promised: BTreeMap<BudgetId, u64> = BTreeMap::new();
        for (budget, tokens) in self.complete.values() {
            *promised.entry(*budget).or_default() += tokens;
        }
        for (budget, tokens) in promised {
            let bought: u64 = self.bought(budget);
            if tokens > bought {
                return Err(format!("budget {budget}: {tokens} spent of {bought}"));
            }
        }
        Ok(())
    }

    /// Checks that a router has no more of a grant than the ledger.
    pub(crate) fn check_grant(&self, id: GrantId, available: u64) -> Verdict {
        let record = self.shards.values().find_map(|s| s.grant(id));
        match record {
            Some(record) if available > record.remainder => Err(format!(
                "grant {id}: {available} available, {} remain",
                record.remainder
            )),
            _ => Ok(()),
        }
    }

    fn bought(&self, budget: BudgetId) -> u64 {
        self.top_ups
            .values()
            .filter(|(b, _)| *b == budget)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    pub(crate) fn statement(&self, budget: BudgetId, shards: u16) -> Statement {
        let shard = budget.shard(shards);
        let state = self.shards.get(&shard).cloned().unwrap_or_default();
        state.statement(budget)
    }

    /// Checks what holds once all is quiet again: every complete answer is billed, or covered by
    /// a forfeited grant; and what the ledger counts as spent is the sum of the bills.
    pub(crate) fn check_end(&self, budget: BudgetId, shards: u16, found: &Statement) -> Verdict {
        let truth = self.statement(budget, shards);
        if *found != truth {
            return Err(format!(
                "statement is not the truth: {}",
                differences(found, &truth)
            ));
        }
        let bought = self.bought(budget);
        if truth.topped_up > bought {
            return Err(format!("{} topped up, {bought} bought", truth.topped_up));
        }
        let bills: u64 = self
            .bills
            .values()
            .filter(|b| b.1 == budget)
            .map(|b| b.2)
            .sum();
        let calls = self.called(budget, budget.shard(shards));
        if truth.spent != bills + calls {
            return Err(format!(
                "{} spent, {bills} billed, {calls} for calls",
                truth.spent
            ));
        }
        let unbilled = self
            .complete
            .iter()
            .filter(|(key, _)| !self.bills.contains_key(key));
        let lost: u64 = unbilled
            .filter(|(_, c)| c.0 == budget)
            .map(|(_, c)| c.1)
            .sum();
        if lost > truth.forfeited {
            return Err(format!("{lost} lost, {} forfeited", truth.forfeited));
        }
        Ok(())
    }

    /// Returns the price of the calls that were announced.
    fn called(&self, budget: BudgetId, shard: ShardId) -> u64 {
        let Some(state) = self.shards.get(&shard) else {
            return 0;
        };
        let calls = state.keys().filter_map(|k| match &k.state {
            KeyState::Announced(call) if call.budget == budget => Some(call.tokens),
            _ => None,
        });
        calls.sum()
    }

    /// Returns tokens of complete answers whose bills are lost.
    pub(crate) fn lost(&self) -> u64 {
        let unbilled = self
            .complete
            .iter()
            .filter(|(key, _)| !self.bills.contains_key(key));
        unbilled.map(|(_, (_, tokens))| tokens).sum()
    }
}

fn differences(found: &Statement, truth: &Statement) -> String {
    let totals = |s: &Statement| {
        format!(
            "{} = {} + {} + {} + {}",
            s.topped_up, s.free, s.spent, s.granted, s.forfeited
        )
    };
    format!("{}, but {}", totals(found), totals(truth))
}
