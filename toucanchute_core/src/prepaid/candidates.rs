//! Selects the router that takes an account over, and the router that requests go to while the
//! owner of an account is not known.

use toucanchute_proto::{BudgetId, Incarnation, fleet::MemberState};

use super::{Action, PrepaidAccounts};
use crate::hash;

/// Number of routers to which an owner announces itself. The others send their requests to the
/// first of these.
const MAX_ANNOUNCE_TARGETS: usize = 7;

/// Most budgets in the configuration for which accounts are claimed before the first request for
/// them.
const MAX_PRECLAIMED_BUDGETS: usize = 256;

/// A router that may take an account over.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: Incarnation,
    /// Whether it reaches the store.
    up: bool,
    /// Rank for the budget. The lowest rank comes first.
    rank: f64,
}

impl PrepaidAccounts {
    /// Claims accounts that have no owner and for which this router is the candidate.
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
        let budgets = self
            .preclaim_cache
            .as_ref()
            .map(|(_, budgets)| budgets.clone());
        for budget in budgets.unwrap_or_default() {
            let busy = self.accounts.contains_key(&budget) || self.takeovers.contains_key(&budget);
            if !busy && self.reachable_owner(budget).is_none() {
                self.start_takeover(budget, out);
            }
        }
    }

    /// Returns the budgets whose accounts this router should claim if they have no owner. Only
    /// budgets are returned whose owner it would know, because it knew an owner before or because
    /// all others send their requests to this router.
    fn preclaimable_budgets(&self) -> Vec<BudgetId> {
        let me = Some(self.me());
        let informed = |b| self.known_owners.get(b).is_some() || self.registrar(b) == me;
        let budgets = self.limits.keys().copied();
        budgets
            .filter(|&b| self.candidate(b) == me && informed(b))
            .collect()
    }

    /// Returns the router that should take over an account without an owner: one that reaches the
    /// store, if there is any.
    pub(super) fn candidate(&self, budget: BudgetId) -> Option<Incarnation> {
        let best = self.candidates(budget);
        let best = best.min_by(|a, b| b.up.cmp(&a.up).then(a.rank.total_cmp(&b.rank)));
        best.map(|c| c.id)
    }

    /// Returns the router that requests go to while the owner of an account is not known: the
    /// candidate if all routers reached the store. Whether a router reaches the store changes
    /// quickly in an outage, so routers would not agree on the candidate.
    pub(super) fn registrar(&self, budget: BudgetId) -> Option<Incarnation> {
        let best = self.candidates(budget);
        let best = best.min_by(|a, b| a.rank.total_cmp(&b.rank));
        best.map(|c| c.id)
    }

    /// Returns the router that a request goes to while no owner of its account can be reached.
    pub(super) fn next_without_owner(&self, budget: BudgetId) -> Option<Incarnation> {
        match self.registrar(budget) {
            Some(me) if me == self.me() => self.candidate(budget),
            registrar => registrar,
        }
    }

    /// Returns the routers that may take an account over.
    fn candidates(&self, budget: BudgetId) -> impl Iterator<Item = Candidate> {
        let candidate = move |id: Incarnation, up: bool, capacity: u32| {
            let rank =
                hash::weighted_rank(hash::mix(&[budget.0, id.0]), hash::host_weight(capacity));
            Candidate { id, up, rank }
        };
        let alive = self.peers.values();
        let alive = alive
            .filter(|p| p.state == MemberState::Alive)
            .map(move |p| candidate(p.incarnation, p.store_up, p.capacity));
        let me = candidate(self.me(), self.store_up(), self.cfg.capacity);
        alive.chain((!self.draining).then_some(me))
    }

    /// Returns the routers that others may send their requests to while they do not know the owner.
    pub(super) fn announce_targets(&self, budget: BudgetId) -> Vec<Incarnation> {
        let mut all: Vec<_> = self.candidates(budget).collect();
        all.sort_unstable_by(|a, b| a.rank.total_cmp(&b.rank));
        all.truncate(MAX_ANNOUNCE_TARGETS);
        all.retain(|c| c.id != self.me());
        all.into_iter().map(|c| c.id).collect()
    }
}
