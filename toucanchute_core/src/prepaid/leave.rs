use std::collections::VecDeque;

use toucanchute_proto::{
    BudgetId, Incarnation,
    prepaid::{Account, Handover, PrepaidMessage, Term},
};

use super::{Action, CloseCause, Prepaid, account::Owned, marks::Marks, record};

/// Giving accounts away.
impl Prepaid {
    /// Gives each account back to the store, or to another router while the store is away.
    pub(super) fn advance_drain(&mut self, out: &mut Vec<Action>) {
        if !self.draining {
            return;
        }
        for budget in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(owned) = self.accounts.get(&budget) else {
                continue;
            };
            let due = owned.write.is_none() && self.now >= owned.retry_at;
            if due && (self.store_up || owned.releasing) {
                self.give_back(budget, out);
            } else if !self.store_up && !owned.releasing && owned.pending.is_empty() {
                self.hand_over(budget, out);
            }
        }
    }

    fn give_back(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        owned.releasing = true;
        let record = Account {
            owner: None,
            spent: owned.used,
            lost: owned.record.lost + owned.doubtful,
            drawn: owned.used,
            ahead: 0,
            pace: 0,
            quorum: record::none(),
            ..owned.record.clone()
        };
        self.write_record(budget, record, out);
    }

    fn hand_over(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let Some(to) = self.candidate(budget) else {
            return;
        };
        let (now, limit) = (self.now, self.limit(budget));
        let Some(owned) = self.accounts.get(&budget) else {
            return;
        };
        let Term { epoch, turn } = owned.term;
        let body = Handover {
            budget,
            term: Term {
                epoch,
                turn: turn + 1,
            },
            used: owned.used,
            mark: owned.bound(now, limit).max(owned.used),
            doubtful: owned.doubtful,
            account: owned.record.clone(),
            age: now.since(owned.sent_at),
            revision: owned.revision,
        };
        let message = PrepaidMessage::Handover(body);
        out.push(Action::Send { to, message });
        self.close_for(budget, to, out);
    }

    fn close_for(&mut self, budget: BudgetId, to: Incarnation, out: &mut Vec<Action>) {
        if let Some(owned) = self.accounts.get(&budget) {
            let Term { epoch, turn } = owned.term;
            let term = Term {
                epoch,
                turn: turn + 1,
            };
            let known = super::machine::Known { term, owner: to };
            self.known.insert(budget, known);
        }
        self.close(budget, CloseCause::HandedOver, out);
    }

    pub(super) fn on_handover(&mut self, body: Handover, out: &mut Vec<Action>) {
        let budget = body.budget;
        let newer = self.known.get(&budget).is_none_or(|k| k.term < body.term);
        if !newer || self.accounts.contains_key(&budget) {
            return;
        }
        let waiting = self
            .takeovers
            .remove(&budget)
            .map_or(VecDeque::new(), |t| t.waiting);
        self.ops.retain(|_, b| *b != budget);
        let mut owned = Owned::new(self.now, body.term, body.account, body.revision);
        owned.sent_at = self.now - body.age;
        owned.used = body.used;
        owned.doubtful = body.doubtful;
        owned.marks = Marks::inherit(owned.record.quorum.clone(), body.mark);
        self.own(budget, owned, waiting, out);
    }
}
