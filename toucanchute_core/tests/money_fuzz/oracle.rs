//! What must hold, checked apart from the machines.

use std::collections::BTreeMap;

use toucanchute_core::ledger::{MAX_CLOCK_SKEW, ShardState, StoreKey};
use toucanchute_proto::{
    BudgetId, Bytes, EntryId, GrantId, Incarnation, RequestKey, ShardId, from_cbor,
    ledger::{Batch, Entry, EntryBody, Intent, IntentOutcome, KeyState, Statement},
};

/// Follows the true log and the answers that callers got.
#[derive(Default)]
pub(crate) struct Oracle {
    shards: BTreeMap<ShardId, ShardState>,
    /// Bill that each key was charged for.
    bills: BTreeMap<RequestKey, Charge>,
    /// Budget and price of calls that were announced and not refunded.
    calls: BTreeMap<RequestKey, (BudgetId, u64)>,
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

/// Bill, budget and tokens.
type Charge = (EntryId, BudgetId, u64);

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
        let mut forgotten = Vec::new();
        for entry in &batch.entries {
            self.note_charges(shard, entry, &mut forgotten)?;
        }
        self.explain_spent(shard, &forgotten)
    }

    /// Notes what an entry charged. Keys that the ledger forgot with this batch go to `forgotten`.
    fn note_charges(
        &mut self,
        shard: ShardId,
        entry: &Entry,
        forgotten: &mut Vec<(RequestKey, Charge)>,
    ) -> Verdict {
        let state = &self.shards[&shard];
        match &entry.body {
            EntryBody::Reclaim(body) => {
                let mut debits = body.debits.iter();
                return debits.try_for_each(|debit| self.note_charges(shard, debit, forgotten));
            }
            EntryBody::Transfer(_) => self.transfers += 1,
            EntryBody::Settle(bill) => {
                let charge = (entry.id, entry.budget, bill.tokens);
                match state.key(bill.key).map(|r| &r.state) {
                    Some(KeyState::Billed(billed)) if billed.by == entry.id => {
                        return self.note_bill(bill.key, charge);
                    }
                    None if bill.expires + MAX_CLOCK_SKEW < state.time() => {
                        forgotten.push((bill.key, charge));
                    }
                    _ => {}
                }
            }
            EntryBody::Intent(Intent { key, .. })
            | EntryBody::Outcome(IntentOutcome { key, .. }) => {
                match state.key(*key).map(|r| &r.state) {
                    Some(KeyState::Announced(call)) => {
                        self.calls.insert(*key, (call.budget, call.tokens));
                    }
                    Some(KeyState::Free) => {
                        self.calls.remove(key);
                    }
                    None if self.calls.contains_key(key) => {
                        forgotten.push((*key, (entry.id, entry.budget, 0)));
                    }
                    _ => {}
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn note_bill(&mut self, key: RequestKey, charge: Charge) -> Verdict {
        let first = *self.bills.entry(key).or_insert(charge);
        match first == charge {
            true => Ok(()),
            false => Err(format!("key {key} billed twice")),
        }
    }

    /// Checks that what the ledger counts as spent is the sum of the bills and calls, where keys
    /// that were forgotten at once may have been billed or refunded.
    fn explain_spent(&mut self, shard: ShardId, forgotten: &[(RequestKey, Charge)]) -> Verdict {
        let totals: Vec<_> = self.shards[&shard].budgets().cloned().collect();
        for record in totals {
            let budget = record.budget;
            let known = |key| self.bills.contains_key(key);
            let options: Vec<_> = forgotten
                .iter()
                .filter(|(key, c)| c.1 == budget && !known(key))
                .collect();
            let charged = self.charged(budget);
            let change = |set: u32| {
                let chosen = (0..options.len()).filter(|n| set >> n & 1 == 1);
                chosen.map(|n| self.change(options[n])).sum::<i64>()
            };
            let open = record.spent as i64 - charged as i64;
            let Some(set) = (0..1_u32 << options.len().min(16)).find(|&set| change(set) == open)
            else {
                return Err(format!("{} spent, {charged} charged", record.spent));
            };
            let chosen = (0..options.len()).filter(|n| set >> n & 1 == 1);
            for (key, charge) in chosen.map(|n| *options[n]).collect::<Vec<_>>() {
                if self.calls.remove(&key).is_none() {
                    self.note_bill(key, charge)?;
                }
            }
        }
        Ok(())
    }

    /// Returns by how much a forgotten charge changes what is spent: a call was refunded.
    fn change(&self, (key, charge): &(RequestKey, Charge)) -> i64 {
        let call = self.calls.get(key);
        call.map_or(charge.2 as i64, |call| -(call.1 as i64))
    }

    fn charged(&self, budget: BudgetId) -> u64 {
        let bills = self.bills.values().filter(|c| c.1 == budget).map(|c| c.2);
        let calls = self.calls.values().filter(|c| c.0 == budget);
        bills.chain(calls.map(|c| c.1)).sum()
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

    /// Returns the grants that the ledger has of a run.
    pub(crate) fn grants_of(&self, holder: Incarnation) -> Vec<GrantId> {
        let grants = self.shards.values().flat_map(ShardState::grants);
        grants.map(|g| g.grant).filter(|g| g.0 == holder).collect()
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
        // Grants may close between the statement and now; the totals may not change.
        let unspent = |s: &Statement| s.free + s.granted + s.forfeited;
        let totals = |s: &Statement| (s.topped_up, s.spent, unspent(s));
        if totals(found) != totals(&truth) {
            return Err(format!(
                "statement is not the truth: {}",
                differences(found, &truth)
            ));
        }
        let bought = self.bought(budget);
        if truth.topped_up > bought {
            return Err(format!("{} topped up, {bought} bought", truth.topped_up));
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
