use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation,
    prepaid::{OwnerView, Term},
};

/// What this router knows of the owners of accounts.
///
/// Views of different routers are ordered by their terms, so that all routers agree once they have
/// exchanged them. Which router should be the owner is not decided here.
#[derive(Debug, Default)]
pub(super) struct KnownOwners(BTreeMap<BudgetId, OwnerView>);

impl KnownOwners {
    /// Returns what is known of the owner of an account.
    pub(super) fn get(&self, budget: BudgetId) -> Option<OwnerView> {
        self.0.get(&budget).copied()
    }

    /// Returns the greatest known term of an account.
    pub(super) fn term(&self, budget: BudgetId) -> Option<Term> {
        self.0.get(&budget).map(|view| view.term)
    }

    /// Records that `owner` spends from an account in `term`, by its own word or because this router made
    /// it the owner. Returns false if a greater term is known.
    pub(super) fn confirm(&mut self, budget: BudgetId, term: Term, owner: Incarnation) -> bool {
        let outdated = self.term(budget).is_some_and(|known| known > term);
        if !outdated {
            let owner = Some(owner);
            self.0.insert(budget, OwnerView { term, owner });
        }
        !outdated
    }

    /// Merges the view of another router or of a record. A greater term replaces a lesser one. In one
    /// term, a view without an owner replaces one with it, since an owner gives a term up only once.
    pub(super) fn merge(&mut self, budget: BudgetId, view: OwnerView) {
        let known = self.0.entry(budget).or_insert(view);
        let gave_up = view.term == known.term && view.owner.is_none();
        if view.term > known.term || gave_up {
            *known = view;
        }
    }

    /// Records that `owner` no longer spends from an account, if it is the known owner.
    pub(super) fn give_up(&mut self, budget: BudgetId, owner: Incarnation) {
        if let Some(known) = self.0.get_mut(&budget) {
            known.owner.take_if(|known| *known == owner);
        }
    }
}
