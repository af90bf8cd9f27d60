//! Checks of the ledger and of the routers' answers, computed independently of the state machines.

use std::collections::BTreeMap;

use toucanchute_core::ledger::{MAX_CLOCK_SKEW, ShardState, StoreKey};
use toucanchute_proto::{
    BudgetId, Bytes, EntryId, GrantId, Incarnation, RequestKey, ShardId, from_cbor,
    ledger::{Batch, Entry, EntryBody, Intent, IntentOutcome, KeyState, Statement},
};

/// Replays the batches written to the store and records the answers that callers received.
#[derive(Default)]
pub(crate) struct Oracle {
    shards: BTreeMap<ShardId, ShardState>,
    /// The bill that each key was charged with.
    bills: BTreeMap<RequestKey, Charge>,
    /// Budget and price of calls whose intent is committed and that were not refunded.
    calls: BTreeMap<RequestKey, (BudgetId, u64)>,
    /// Number of committed transfers.
    pub(crate) transfers: u64,
    /// Budget and tokens of the top-ups that were sent, by id.
    pub(crate) top_ups: BTreeMap<String, (BudgetId, u64)>,
    /// Budget and tokens of the complete answers that callers received.
    pub(crate) complete: BTreeMap<RequestKey, (BudgetId, u64)>,
    /// Number of times that the call of a key was sent.
    pub(crate) sent: BTreeMap<RequestKey, u32>,
    pub(crate) committed: u64,
}

/// Entry of the bill, budget and tokens.
type Charge = (EntryId, BudgetId, u64);

pub(crate) type CheckResult = Result<(), String>;

impl Oracle {
    /// Applies one write to the store, if it is a batch of a shard's log.
    pub(crate) fn on_write(&mut self, key: StoreKey, value: &Bytes) -> CheckResult {
        let StoreKey::Slot { shard, .. } = key else {
            return Ok(());
        };
        let batch: Batch = from_cbor(value).map_err(|e| e.to_string())?;
        let state = self.shards.entry(shard).or_default();
        state
            .apply(&batch)
            .map_err(|e| format!("shard {shard}: a written batch does not apply: {e}"))?;
        self.committed += batch.entries.len() as u64;
        let mut forgotten = Vec::new();
        for entry in &batch.entries {
            self.record_charges(shard, entry, &mut forgotten)?;
        }
        self.check_spent(shard, &forgotten)
    }

    /// Records what an entry charged. Appends keys to `forgotten` that the ledger forgot in the
    /// same batch, so that it does not show whether they were charged.
    fn record_charges(
        &mut self,
        shard: ShardId,
        entry: &Entry,
        forgotten: &mut Vec<(RequestKey, Charge)>,
    ) -> CheckResult {
        let state = &self.shards[&shard];
        match &entry.body {
            EntryBody::Reclaim(body) => {
                let mut debits = body.debits.iter();
                return debits.try_for_each(|debit| self.record_charges(shard, debit, forgotten));
            }
            EntryBody::Transfer(_) => self.transfers += 1,
            EntryBody::Settle(bill) => {
                let charge = (entry.id, entry.budget, bill.tokens);
                match state.key(bill.key).map(|r| &r.state) {
                    Some(KeyState::Billed(billed)) if billed.by == entry.id => {
                        return self.record_bill(bill.key, charge);
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

    fn record_bill(&mut self, key: RequestKey, charge: Charge) -> CheckResult {
        let first = *self.bills.entry(key).or_insert(charge);
        match first == charge {
            true => Ok(()),
            false => Err(format!("key {key} was billed twice")),
        }
    }

    /// Checks that the tokens that the ledger counts as spent are the sum of the bills and calls.
    /// Keys in `forgotten` may have been billed or refunded, so any choice of them may explain the
    /// sum.
    fn check_spent(&mut self, shard: ShardId, forgotten: &[(RequestKey, Charge)]) -> CheckResult {
        let totals: Vec<_> = self.shards[&shard].budgets().cloned().collect();
        for record in totals {
            let budget = record.budget;
            let known = |key| self.bills.contains_key(key);
            let candidates: Vec<_> = forgotten
                .iter()
                .filter(|(key, c)| c.1 == budget && !known(key))
                .collect();
            let charged = self.charged(budget);
            let change = |subset: u32| {
                let chosen = (0..candidates.len()).filter(|n| subset >> n & 1 == 1);
                chosen.map(|n| self.change(candidates[n])).sum::<i64>()
            };
            let unexplained = record.spent as i64 - charged as i64;
            let Some(subset) = (0..1_u32 << candidates.len().min(16))
                .find(|&subset| change(subset) == unexplained)
            else {
                return Err(format!(
                    "budget {budget}: {} tokens spent in the ledger, but {charged} charged",
                    record.spent
                ));
            };
            let chosen = (0..candidates.len()).filter(|n| subset >> n & 1 == 1);
            for (key, charge) in chosen.map(|n| *candidates[n]).collect::<Vec<_>>() {
                if self.calls.remove(&key).is_none() {
                    self.record_bill(key, charge)?;
                }
            }
        }
        Ok(())
    }

    /// Returns by how much a forgotten key changes the tokens spent: a bill adds its tokens, the
    /// refund of a call subtracts the call's price.
    fn change(&self, (key, charge): &(RequestKey, Charge)) -> i64 {
        let call = self.calls.get(key);
        call.map_or(charge.2 as i64, |call| -(call.1 as i64))
    }

    fn charged(&self, budget: BudgetId) -> u64 {
        let bills = self.bills.values().filter(|c| c.1 == budget).map(|c| c.2);
        let calls = self.calls.values().filter(|c| c.0 == budget);
        bills.chain(calls.map(|c| c.1)).sum()
    }

    /// Checks the conditions that hold at every step.
    pub(crate) fn check(&self) -> CheckResult {
        for (key, sent) in &self.sent {
            if *sent > 1 {
                return Err(format!("call {key} was sent {sent} times"));
            }
        }
        let mut completed: BTreeMap<BudgetId, u64> = BTreeMap::new();
        for (budget, tokens) in self.complete.values() {
            *completed.entry(*budget).or_default() += tokens;
        }
        for (budget, tokens) in completed {
            let sent_top_ups: u64 = self.sent_top_ups(budget);
            if tokens > sent_top_ups {
                return Err(format!(
                    "budget {budget}: {tokens} tokens spent out of {sent_top_ups}"
                ));
            }
        }
        Ok(())
    }

    /// Checks that a router has no more tokens of a grant available than the ledger's remainder.
    pub(crate) fn check_grant(&self, id: GrantId, available: u64) -> CheckResult {
        let record = self.shards.values().find_map(|s| s.grant(id));
        match record {
            Some(record) if available > record.remainder => Err(format!(
                "grant {id}: a router has {available} tokens available, the ledger has {} left",
                record.remainder
            )),
            _ => Ok(()),
        }
    }

    /// Returns the open grants of a router's run in the ledger.
    pub(crate) fn grants_of(&self, holder: Incarnation) -> Vec<GrantId> {
        let grants = self.shards.values().flat_map(ShardState::grants);
        grants.map(|g| g.grant).filter(|g| g.0 == holder).collect()
    }

    fn sent_top_ups(&self, budget: BudgetId) -> u64 {
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

    /// Checks the conditions that hold at the end of a walk, after all work has finished: a
    /// router's statement has the totals of the ledger, no more tokens are topped up than were
    /// sent, and every complete answer is billed or covered by a forfeited grant.
    pub(crate) fn check_end(
        &self,
        budget: BudgetId,
        shards: u16,
        reported: &Statement,
    ) -> CheckResult {
        let expected = self.statement(budget, shards);
        // Grants may close after the statement was made, but the totals may not change.
        let unspent = |s: &Statement| s.free + s.granted + s.forfeited;
        let totals = |s: &Statement| (s.topped_up, s.spent, unspent(s));
        if totals(reported) != totals(&expected) {
            return Err(format!(
                "budget {budget}: the statement differs from the ledger: {}",
                describe_difference(reported, &expected)
            ));
        }
        let sent_top_ups = self.sent_top_ups(budget);
        if expected.topped_up > sent_top_ups {
            return Err(format!(
                "budget {budget}: the ledger has top-ups of {} tokens, {sent_top_ups} were sent",
                expected.topped_up
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
        if lost > expected.forfeited {
            return Err(format!(
                "budget {budget}: {lost} tokens not billed, only {} forfeited",
                expected.forfeited
            ));
        }
        Ok(())
    }

    /// Returns the tokens of complete answers whose bills are lost.
    pub(crate) fn lost(&self) -> u64 {
        let unbilled = self
            .complete
            .iter()
            .filter(|(key, _)| !self.bills.contains_key(key));
        unbilled.map(|(_, (_, tokens))| tokens).sum()
    }
}

fn describe_difference(reported: &Statement, expected: &Statement) -> String {
    let totals = |s: &Statement| {
        format!(
            "{} topped up = {} free + {} spent + {} granted + {} forfeited",
            s.topped_up, s.free, s.spent, s.granted, s.forfeited
        )
    };
    format!(
        "{} in the statement, {} in the ledger",
        totals(reported),
        totals(expected)
    )
}
