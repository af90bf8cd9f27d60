use toucanchute_proto::{BudgetId, GrantId, Millis, ShardId};

use super::{Action, Money, outbox::Purpose};

/// Longest time that a drain waits until grants are given back, in milliseconds.
pub const GRANT_RETURN_WAIT_MS: u64 = 5_000;

/// What operators see of a [`Money`] machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Status {
    /// Tokens available in this router's grants, by budget.
    pub available: Vec<(BudgetId, u64)>,
    /// Tokens available in each grant of this router.
    pub grants: Vec<(GrantId, u64)>,
    /// Calls that wait for tokens.
    pub waiting_calls: usize,
    /// Reservations that are neither billed nor given back.
    pub reservations: usize,
    /// Entries whose result is not known.
    pub pending_entries: usize,
    /// Age of the oldest of these entries.
    pub oldest_entry_age: Millis,
    /// Entries queued for this router's next batches.
    pub queued_entries: usize,
    /// Debits kept as a witness.
    pub witnessed_debits: usize,
    /// Shards that this router writes.
    pub written_shards: Vec<ShardId>,
    /// Those of the entries that are not about getting or returning tokens.
    pub drain_blocking_entries: usize,
    /// How long the router has been giving everything back, if it does.
    pub draining_for: Option<Millis>,
}

impl Money {
    /// Returns what operators see.
    #[must_use]
    pub fn status(&self) -> Status {
        let budgets = self.holdings.keys();
        let oldest = self.outbox.values().map(|o| self.now.since(o.since)).max();
        let shards = (0..self.cfg.ledger.shards).map(ShardId);
        Status {
            available: budgets.map(|&b| (b, self.available(b))).collect(),
            grants: self
                .grants
                .iter()
                .map(|(&id, g)| (id, g.available()))
                .collect(),
            waiting_calls: self.holdings.values().map(|h| h.waiting.len()).sum(),
            reservations: self.reservations.len(),
            pending_entries: self.outbox.len(),
            oldest_entry_age: oldest.unwrap_or_default(),
            queued_entries: self
                .writers
                .values()
                .map(super::writer::Writer::queued)
                .sum(),
            witnessed_debits: self.buffer.len(),
            written_shards: shards.filter(|&s| self.writer_of(s) == self.me()).collect(),
            drain_blocking_entries: self
                .outbox
                .values()
                .filter(|o| !is_about_grants(&o.purpose))
                .count(),
            draining_for: self.drain_since.map(|at| self.now.since(at)),
        }
    }

    /// Whether grants have been given back for as long as a drain waits for that. What is not given
    /// back by then is reclaimed; bills and what is kept for others are waited for.
    fn grants_are_left(&self) -> bool {
        let since = self.drain_since.map(|at| self.now.since(at));
        since.is_some_and(|waited| waited >= Millis(GRANT_RETURN_WAIT_MS))
    }

    /// Reports once that nothing is left to give back.
    pub(super) fn finish_drain(&mut self, out: &mut Vec<Action>) {
        let leave_grants = self.grants_are_left();
        let busy = !self.reservations.is_empty()
            || !self.running.is_empty()
            || self
                .outbox
                .values()
                .any(|o| !(leave_grants && is_about_grants(&o.purpose)))
            || !(leave_grants || self.grants.is_empty())
            || self.buffer.len() > 0
            || self
                .asks
                .values()
                .any(|a| !a.declined && self.is_alive(a.peer))
            || self.holdings.values().any(|h| !h.waiting.is_empty());
        if self.draining && !self.drained && !busy {
            self.drained = true;
            // A transfer that comes now is reclaimed when the process has ended.
            self.asks.clear();
            out.push(Action::Drained);
        }
    }
}

fn is_about_grants(purpose: &Purpose) -> bool {
    matches!(purpose, Purpose::Grant | Purpose::Return { .. })
}
