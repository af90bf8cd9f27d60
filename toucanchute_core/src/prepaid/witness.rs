use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation,
    prepaid::{AccountFenced, FenceAccount, Mark, Marked, PrepaidMessage, Term},
};

use super::{Action, CloseCause, Fault, PrepaidAccounts};

/// What this router keeps in memory as a witness of one account: a bound on the spending of its
/// owner, returned to a router that takes the account over.
#[derive(Clone, Copy, Debug)]
pub(super) struct WitnessedMark {
    /// Greatest term that set a mark or a fence. Lesser terms are refused.
    term: Term,
    /// Highest mark set by any term.
    mark: u64,
}

/// Marks that this router keeps as a witness for other routers.
#[derive(Clone, Debug, Default)]
pub(super) struct WitnessMarks {
    marks: BTreeMap<BudgetId, WitnessedMark>,
}

impl WitnessMarks {
    /// Returns the greatest term of an account that set a mark or a fence.
    pub(super) fn term(&self, budget: BudgetId) -> Option<Term> {
        self.marks.get(&budget).map(|kept| kept.term)
    }

    /// Raises the mark of an account, or returns the greater term that forbids it.
    pub(super) fn raise(&mut self, body: &Mark) -> Result<(), Term> {
        let term = body.term;
        let kept = self
            .marks
            .entry(body.budget)
            .or_insert(WitnessedMark { term, mark: 0 });
        if kept.term > term {
            return Err(kept.term);
        }
        kept.term = term;
        kept.mark = kept.mark.max(body.mark);
        Ok(())
    }

    /// Refuses lesser terms from now on. Returns the greatest term and the mark that are kept.
    pub(super) fn fence(&mut self, budget: BudgetId, term: Term) -> (Term, u64) {
        let kept = self
            .marks
            .entry(budget)
            .or_insert(WitnessedMark { term, mark: 0 });
        kept.term = kept.term.max(term);
        (kept.term, kept.mark)
    }
}

/// Answering marks and fences as a witness.
impl PrepaidAccounts {
    pub(super) fn on_mark(&mut self, from: Incarnation, body: &Mark, out: &mut Vec<Action>) {
        let fenced = self.witness_marks.raise(body).err();
        let fenced = fenced.filter(|_| !self.has_fault(Fault::AcceptFencedMarks));
        let &Mark { budget, term, mark } = body;
        let message = PrepaidMessage::Marked(Marked {
            budget,
            term,
            mark,
            fenced,
        });
        out.push(Action::send(from, message));
    }

    pub(super) fn on_fence(
        &mut self,
        from: Incarnation,
        body: &FenceAccount,
        out: &mut Vec<Action>,
    ) {
        let (term, mark) = self.witness_marks.fence(body.budget, body.term);
        let budget = body.budget;
        if self.accounts.get(&budget).is_some_and(|a| a.term < term) {
            // A fence is sent only after the claim of the other router is in the store.
            self.close(budget, CloseCause::Superseded, out);
        }
        let message = PrepaidMessage::Fenced(AccountFenced { budget, term, mark });
        out.push(Action::send(from, message));
    }
}
