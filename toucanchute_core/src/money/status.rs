use toucanchute_proto::{BudgetId, GrantId, Millis, ShardId};

use super::{Action, Money};

/// What operators see of a [`Money`] machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Status {
    /// Tokens available in this router's grants, by budget.
    pub available: Vec<(BudgetId, u64)>,
    /// Tokens available in each grant of this router.
    pub grants: Vec<(GrantId, u64)>,
    /// Calls that wait for tokens.
    pub waiting: usize,
    /// Reservations that are neither billed nor given back.
    pub reservations: usize,
    /// Entries whose result is not known.
    pub entries: usize,
    /// Age of the oldest of these entries.
    pub oldest_entry: Millis,
    /// Entries queued for this router's next batches.
    pub queued: usize,
    /// Debits kept as a witness.
    pub kept_debits: usize,
    /// Shards that this router writes.
    pub shards: Vec<ShardId>,
    /// Whether the router is giving everything back.
    pub draining: bool,
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
            waiting: self.holdings.values().map(|h| h.waiting.len()).sum(),
            reservations: self.reservations.len(),
            entries: self.outbox.len(),
            oldest_entry: oldest.unwrap_or_default(),
            queued: self
                .writers
                .values()
                .map(super::writer::Writer::queued)
                .sum(),
            kept_debits: self.buffer.len(),
            shards: shards.filter(|&s| self.writer_of(s) == self.me()).collect(),
            draining: self.draining,
        }
    }

    /// Reports once that nothing is left to give back.
    pub(super) fn finish_drain(&mut self, out: &mut Vec<Action>) {
        let busy = !self.reservations.is_empty()
            || !self.running.is_empty()
            || !self.outbox.is_empty()
            || !self.grants.is_empty()
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
