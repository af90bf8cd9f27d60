use toucanchute_proto::{
    BudgetId, GrantId,
    ledger::{
        Backing, EntryRefusal, EntryResult, GrantRecord, GrantRequest, GrantReturn, HolderRecord,
        Reclaim, Transfer,
    },
};

use super::ShardState;

type ApplyResult = Result<EntryResult, EntryRefusal>;

/// Applies entries that concern grants.
impl ShardState {
    pub(super) fn open_grant(&mut self, budget: BudgetId, body: &GrantRequest) -> ApplyResult {
        if let Some(record) = self.grants.get(&body.grant) {
            return Ok(EntryResult::Granted(record.granted));
        }
        let GrantId(holder, number) = body.grant;
        let heard = self.time;
        let record = self.holders.entry(holder).or_insert(HolderRecord {
            holder,
            newest: 0,
            heard,
        });
        if number <= record.newest {
            return Err(EntryRefusal::StaleGrant);
        }
        record.newest = number;
        record.heard = heard;
        let totals = self
            .budgets
            .get_mut(&budget)
            .ok_or(EntryRefusal::Insufficient)?;
        if totals.free < body.least.max(1) {
            return Err(EntryRefusal::Insufficient);
        }
        let share = (totals.free / body.divisor.max(1)).max(body.min.max(1));
        let floor = totals.free.checked_div(body.floor_divisor).unwrap_or(0);
        let tokens = body.want.max(floor).max(1).min(share).min(totals.free);
        totals.free -= tokens;
        let record = self.new_grant(body.grant, budget, tokens, &body.backing);
        self.grants.insert(body.grant, record);
        Ok(EntryResult::Granted(tokens))
    }

    pub(super) fn return_tokens(&mut self, budget: BudgetId, body: &GrantReturn) -> ApplyResult {
        let grant = self
            .grants
            .get_mut(&body.grant)
            .ok_or(EntryRefusal::GrantClosed)?;
        if body.sequence < grant.returns {
            return Ok(EntryResult::Done);
        }
        let valid = body.sequence == grant.returns && body.tokens <= grant.remainder;
        let totals = self
            .budgets
            .get_mut(&budget)
            .ok_or(EntryRefusal::Malformed)?;
        if !valid || grant.budget != budget {
            return Err(EntryRefusal::Malformed);
        }
        grant.returns += 1;
        grant.remainder -= body.tokens;
        totals.free += body.tokens;
        self.close_if_empty(body.grant);
        Ok(EntryResult::Done)
    }

    pub(super) fn transfer(&mut self, budget: BudgetId, body: &Transfer) -> ApplyResult {
        if let Some(record) = self.grants.get(&body.grant) {
            return Ok(EntryResult::Granted(record.granted));
        }
        let from = self
            .grants
            .get_mut(&body.from)
            .ok_or(EntryRefusal::GrantClosed)?;
        if from.given.contains(&body.grant) {
            return Ok(EntryResult::Granted(body.tokens));
        }
        if from.budget != budget || body.tokens == 0 {
            return Err(EntryRefusal::Malformed);
        }
        if from.remainder < body.tokens {
            return Err(EntryRefusal::Insufficient);
        }
        from.remainder -= body.tokens;
        from.given.push(body.grant);
        let opened_at = from.opened_at;
        let mut record = self.new_grant(body.grant, budget, body.tokens, &body.backing);
        record.opened_at = opened_at;
        self.grants.insert(body.grant, record);
        self.close_if_empty(body.from);
        Ok(EntryResult::Granted(body.tokens))
    }

    pub(super) fn reclaim(&mut self, budget: BudgetId, body: &Reclaim) -> ApplyResult {
        for debit in &body.debits {
            self.apply_entry(debit);
        }
        let Some(grant) = self.grants.get_mut(&body.grant) else {
            return Ok(EntryResult::Reclaimed);
        };
        for witness in &body.fenced {
            if grant.backing.witnesses.contains(witness) && !grant.fenced.contains(witness) {
                grant.fenced.push(*witness);
            }
        }
        if grant.fenced.len() < fences_needed(&grant.backing) {
            grant.forfeited = true;
            return Ok(EntryResult::Forfeited);
        }
        let totals = self
            .budgets
            .get_mut(&budget)
            .ok_or(EntryRefusal::Malformed)?;
        totals.free += grant.remainder;
        self.grants.remove(&body.grant);
        Ok(EntryResult::Reclaimed)
    }

    pub(super) fn write_off(&mut self, budget: BudgetId, id: GrantId) -> ApplyResult {
        let grant = self.grants.get(&id).ok_or(EntryRefusal::GrantClosed)?;
        let totals = self
            .budgets
            .get_mut(&budget)
            .ok_or(EntryRefusal::Malformed)?;
        if !grant.forfeited || grant.budget != budget {
            return Err(EntryRefusal::Malformed);
        }
        totals.spent += grant.remainder;
        totals.written_off += grant.remainder;
        self.grants.remove(&id);
        Ok(EntryResult::Done)
    }

    /// Deducts tokens from a grant's remainder and adds them to the budget's spent tokens.
    pub(super) fn debit(
        &mut self,
        budget: BudgetId,
        id: GrantId,
        tokens: u64,
    ) -> Result<(), EntryRefusal> {
        let grant = self.grants.get_mut(&id).ok_or(EntryRefusal::GrantClosed)?;
        let totals = self
            .budgets
            .get_mut(&budget)
            .ok_or(EntryRefusal::Malformed)?;
        if grant.budget != budget {
            return Err(EntryRefusal::Malformed);
        }
        if grant.remainder < tokens {
            return Err(EntryRefusal::Insufficient);
        }
        grant.remainder -= tokens;
        totals.spent += tokens;
        self.close_if_empty(id);
        Ok(())
    }

    /// Closes a grant whose remainder is 0, since no further debit of it can be outstanding.
    fn close_if_empty(&mut self, id: GrantId) {
        if self.grants.get(&id).is_some_and(|g| g.remainder == 0) {
            self.grants.remove(&id);
        }
    }

    fn new_grant(
        &self,
        grant: GrantId,
        budget: BudgetId,
        tokens: u64,
        backing: &Backing,
    ) -> GrantRecord {
        GrantRecord {
            grant,
            budget,
            remainder: tokens,
            granted: tokens,
            opened_at: self.time,
            returns: 0,
            backing: backing.clone(),
            fenced: Vec::new(),
            forfeited: false,
            given: Vec::new(),
        }
    }
}

/// Returns how many witnesses have to be fenced before a grant may be closed.
///
/// A debit is released once `acks` witnesses have acknowledged it, so every set of this size
/// contains a witness that stores it. Fewer than `acks` witnesses remain unfenced, so no further
/// debit can be released.
#[must_use]
pub fn fences_needed(backing: &Backing) -> usize {
    (backing.witnesses.len() + 1).saturating_sub(usize::from(backing.acks.max(1)))
}
