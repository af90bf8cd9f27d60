//! Who takes an account over, and who is asked for one whose owner is not known.

use toucanchute_proto::{BudgetId, Incarnation, fleet::MemberState};

use super::{Action, PrepaidAccounts};
use crate::hash;

/// Routers that are told who spends from an account; the others ask the first of them.
const MAX_ANNOUNCE_TARGETS: usize = 7;

/// Most budgets whose accounts are claimed before the first request for them.
const MAX_PRECLAIMED_BUDGETS: usize = 256;

/// A router that may take an account over.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: Incarnation,
    /// Whether it reaches the store.
    up: bool,
    /// Its place in the order for the budget; the least comes first.
    rank: f64,
}

/// Weight of a host among those that may serve accounts. All others send their requests to it, so
/// that accounts gather on hosts that can carry that.
pub(super) fn host_weight(capacity: u32) -> f64 {
    f64::from(capacity.max(1)).powi(4)
}

impl PrepaidAccounts {
    /// Claims accounts that have no owner and would fall to this router.
    pub(super) fn preclaim_accounts(&mut self, out: &mut Vec<Action>) {
        if !self.may_claim() || self.limits.len() > MAX_PRECLAIMED_BUDGETS {
            return;
        }
        let up = self.store_up();
        if self
            .preclaim_cache
            .as_ref()
            .is_none_or(|(was_up, _)| *was_up != up)
        {
            self.preclaim_cache = Some((up, self.preclaimable_budgets()));
        }
        let preclaim_cache = self
            .preclaim_cache
            .as_ref()
            .map(|(_, budgets)| budgets.clone());
        for budget in preclaim_cache.unwrap_or_default() {
            let busy = self.accounts.contains_key(&budget) || self.takeovers.contains_key(&budget);
            if !busy && self.reachable_owner(budget).is_none() {
                self.start_takeover(budget, out);
            }
        }
    }

    /// Budgets whose accounts would fall to this router if they had no owner. It would know of an
    /// owner, because it had one before or because all others ask this router.
    fn preclaimable_budgets(&self) -> Vec<BudgetId> {
        let me = Some(self.me());
        let informed = |b| self.known_owners.contains_key(&b) || self.registrar(b) == me;
        let budgets = self.limits.keys().copied();
        budgets
            .filter(|&b| self.candidate(b) == me && informed(b))
            .collect()
    }

    /// Returns the router that should take an account over that has no owner: one that reaches the
    /// store, if there is any.
    pub(super) fn candidate(&self, budget: BudgetId) -> Option<Incarnation> {
        let best = self.candidates(budget);
        let best = best.min_by(|a, b| b.up.cmp(&a.up).then(a.rank.total_cmp(&b.rank)));
        best.map(|c| c.id)
    }

    /// Returns the router that is asked for an account whose owner is not known: the one that would
    /// have it if all routers reached the store. What is believed of that changes quickly in an
    /// outage, so that routers would not agree on the candidate.
    pub(super) fn registrar(&self, budget: BudgetId) -> Option<Incarnation> {
        let best = self.candidates(budget);
        let best = best.min_by(|a, b| a.rank.total_cmp(&b.rank));
        best.map(|c| c.id)
    }

    /// Routers that may take an account over.
    fn candidates(&self, budget: BudgetId) -> impl Iterator<Item = Candidate> {
        let candidate = move |id: Incarnation, up: bool, capacity: u32| {
            let rank = hash::turn(hash::mix(&[budget.0, id.0]), host_weight(capacity));
            Candidate { id, up, rank }
        };
        let steady = self.peers.values();
        let steady = steady
            .filter(|p| p.state == MemberState::Alive)
            .map(move |p| candidate(p.incarnation, p.store_up, p.capacity));
        let me = candidate(self.me(), self.store_up(), self.cfg.capacity);
        steady.chain((!self.draining).then_some(me))
    }

    /// Routers that others ask for an account whose owner they do not know.
    pub(super) fn announce_targets(&self, budget: BudgetId) -> Vec<Incarnation> {
        let mut all: Vec<_> = self.candidates(budget).collect();
        all.sort_unstable_by(|a, b| a.rank.total_cmp(&b.rank));
        all.truncate(MAX_ANNOUNCE_TARGETS);
        all.retain(|c| c.id != self.me());
        all.into_iter().map(|c| c.id).collect()
    }
}
