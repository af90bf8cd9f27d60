use toucanchute_proto::{BudgetId, GrantId, Millis, ShardId};

use super::{Action, Money, outbox::EntryPurpose};

/// Longest time that a drain waits for the return of grants, in milliseconds.
pub const GRANT_RETURN_WAIT_MS: u64 = 5_000;

/// State of a [`Money`] state machine, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Status {
    /// Tokens available in this router's grants, by budget.
    pub available: Vec<(BudgetId, u64)>,
    /// Tokens available in each grant of this router.
    pub grants: Vec<(GrantId, u64)>,
    /// Calls that wait for tokens.
    pub waiting_calls: usize,
    /// Reservations that are neither billed nor released.
    pub reservations: usize,
    /// Entries whose result is not known yet.
    pub pending_entries: usize,
    /// Age of the oldest pending entry.
    pub oldest_entry_age: Millis,
    /// Entries queued for the next batches that this router writes.
    pub queued_entries: usize,
    /// Debits that this router holds as a witness.
    pub witnessed_debits: usize,
    /// Shards that this router writes.
    pub written_shards: Vec<ShardId>,
    /// Pending entries that are neither requests nor returns of grants. A drain waits for them
    /// without a limit.
    pub drain_blocking_entries: usize,
    /// Time since the drain began; `None` if the router is not draining.
    pub draining_for: Option<Millis>,
}

impl Money {
    /// Returns the current state for operators.
    #[must_use]
    pub fn status(&self) -> Status {
        let budgets = self.budget_states.keys();
        let oldest = self
            .outbox
            .values()
            .map(|o| self.now.since(o.proposed_at))
            .max();
        let shards = (0..self.cfg.ledger.shards).map(ShardId);
        Status {
            available: budgets.map(|&b| (b, self.available_tokens(b))).collect(),
            grants: self
                .grants
                .iter()
                .map(|(&id, g)| (id, g.available()))
                .collect(),
            waiting_calls: self.budget_states.values().map(|s| s.waiting.len()).sum(),
            reservations: self.reservations.len(),
            pending_entries: self.outbox.len(),
            oldest_entry_age: oldest.unwrap_or_default(),
            queued_entries: self
                .writers
                .values()
                .map(super::writer::ShardWriter::queued_entries)
                .sum(),
            witnessed_debits: self.witness_buffer.len(),
            written_shards: shards.filter(|&s| self.writer_of(s) == self.me()).collect(),
            drain_blocking_entries: self
                .outbox
                .values()
                .filter(|o| !is_grant_or_return(&o.purpose))
                .count(),
            draining_for: self.draining_since.map(|at| self.now.since(at)),
        }
    }

    /// Returns whether the drain has waited for the return of grants as long as it may. Grants that
    /// are not returned by then are reclaimed later. The drain waits without a limit for bills and
    /// for debits that are held as a witness.
    fn grant_wait_is_over(&self) -> bool {
        let since = self.draining_since.map(|at| self.now.since(at));
        since.is_some_and(|waited| waited >= Millis(GRANT_RETURN_WAIT_MS))
    }

    /// Emits [`Action::Drained`] once, when nothing is left to wait for.
    pub(super) fn finish_drain(&mut self, out: &mut Vec<Action>) {
        let ignore_grants = self.grant_wait_is_over();
        let busy = !self.reservations.is_empty()
            || !self.running_calls.is_empty()
            || self
                .outbox
                .values()
                .any(|o| !(ignore_grants && is_grant_or_return(&o.purpose)))
            || !(ignore_grants || self.grants.is_empty())
            || self.witness_buffer.len() > 0
            || self
                .transfer_requests
                .values()
                .any(|a| !a.declined && self.is_alive(a.peer))
            || self.budget_states.values().any(|s| !s.waiting.is_empty());
        if self.draining && !self.drained && !busy {
            self.drained = true;
            // A transfer that arrives from now on is reclaimed after the process has exited.
            self.transfer_requests.clear();
            out.push(Action::Drained);
        }
    }
}

fn is_grant_or_return(purpose: &EntryPurpose) -> bool {
    matches!(purpose, EntryPurpose::Grant | EntryPurpose::Return { .. })
}
