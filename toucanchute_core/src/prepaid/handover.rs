use std::collections::VecDeque;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{
        Account, Handover, PendingRecord, PrepaidMessage, ReservedRecord, SettledRecord, Term,
    },
};

use super::{
    AccountEvent, Action, CloseCause, PrepaidAccounts,
    account::OwnedAccount,
    marks::Marks,
    record,
    reservations::{RequestId, Reservation},
};

/// Least time that a router keeps an account before it hands it over to one that reaches the store.
/// By then, peers that have lost the store as well have reported it.
const MIN_TIME_BEFORE_MOVE: Millis = Millis(2_000);

/// Hands accounts over to other routers, or releases them to the store.
impl PrepaidAccounts {
    /// Hands each account over to another router, or releases it to the store if there is none.
    pub(super) fn advance_drain(&mut self, out: &mut Vec<Action>) {
        if !self.draining {
            return;
        }
        for budget in self.accounts.keys().copied().collect::<Vec<_>>() {
            let Some(owned) = self.accounts.get(&budget) else {
                continue;
            };
            // Waits for the result of a write in flight, since only its sender receives it.
            let busy = owned.write.as_ref().is_some_and(|w| w.op.is_some());
            if busy && self.store_up() {
                continue;
            }
            match self.candidate(budget) {
                Some(to) if !owned.releasing => self.hand_over(budget, to, out),
                _ if owned.write.is_none() && self.now >= owned.retry_at => {
                    self.release(budget, out);
                }
                _ => {}
            }
        }
    }

    /// Hands an account over to a router that reaches the store, if this one has lost it.
    pub(super) fn move_to_connected_router(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let movable = |a: &OwnedAccount| !a.releasing && now.since(a.since) >= MIN_TIME_BEFORE_MOVE;
        if !self.store_lost() || !self.accounts.get(&budget).is_some_and(movable) {
            return;
        }
        let reaches = |id: &Incarnation| self.peers.get(id).is_some_and(|p| p.store_up);
        if let Some(to) = self.candidate(budget).filter(reaches) {
            self.hand_over(budget, to, out);
        }
    }

    fn release(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        owned.releasing = true;
        let record = Account {
            owner: None,
            spent: owned.used,
            drawn: owned.used,
            ahead: 0,
            late: None,
            pace: 0,
            quorum: record::no_quorum(),
            era: Some(self.store_era),
            settled: Some(owned.settled),
            ..owned.record.clone()
        };
        self.write_record(budget, record, out);
    }

    fn hand_over(&mut self, budget: BudgetId, to: Incarnation, out: &mut Vec<Action>) {
        let (now, limit) = (self.now, self.limit(budget));
        let Some(owned) = self.accounts.get(&budget) else {
            return;
        };
        let pending = owned.pending.iter().map(|(account, sent)| PendingRecord {
            account: account.clone(),
            age: now.since(*sent),
        });
        let reserved = owned.reserved.iter().map(|(id, r)| ReservedRecord {
            router: id.router,
            seq: id.seq,
            tokens: r.tokens,
            rest: Some(r.rest),
        });
        let settled_earlier = owned.settled_earlier.iter().map(|id| SettledRecord {
            router: id.router,
            seq: id.seq,
        });
        let body = Handover {
            budget,
            term: next_term(owned.term),
            used: owned.used,
            mark: owned.bound(now, limit).max(owned.used),
            account: early_part(&owned.record),
            late: owned.record.late,
            age: now.since(owned.sent_at),
            pending: pending.collect(),
            reserved: reserved.collect(),
            settled: Some(owned.settled),
            settled_earlier: settled_earlier.collect(),
            revision: owned.revision,
        };
        let term = body.term;
        let message = PrepaidMessage::Handover(body);
        out.push(Action::send(to, message));
        self.known_owners.confirm(budget, term, to);
        out.push(Action::Log(AccountEvent::HandedOver { budget, to }));
        self.close(budget, CloseCause::HandedOver, out);
    }

    pub(super) fn on_handover(&mut self, body: Handover, out: &mut Vec<Action>) {
        let budget = body.budget;
        let term = body.term;
        let superseded = self.known_owners.term(budget).is_some_and(|t| t > term);
        // Spending in a term fences it, so a message that arrives twice is refused as well.
        let fenced = self.witness_marks.term(budget).is_some_and(|t| t >= term);
        if superseded || fenced || self.accounts.contains_key(&budget) {
            return;
        }
        let takeover = self.takeovers.remove(&budget);
        let waiting = takeover.map_or(VecDeque::new(), |t| t.waiting);
        self.ops.retain(|_, b| *b != budget);
        let now = self.now;
        let account = with_late_part(body.account, body.late);
        let mut owned = OwnedAccount::new(now, body.term, account, body.revision);
        owned.sent_at = now - body.age;
        owned.used = body.used;
        owned.settled = body.settled.unwrap_or(owned.settled);
        let earlier = body.settled_earlier.iter().map(|r| RequestId {
            router: r.router,
            seq: r.seq,
        });
        owned.settled_earlier = earlier.collect();
        for r in body.reserved {
            let id = RequestId {
                router: r.router,
                seq: r.seq,
            };
            let reservation = Reservation {
                tokens: r.tokens,
                rest: r.rest.unwrap_or(0),
                since: now,
            };
            owned.reserved.insert(id, reservation);
        }
        owned.marks = Marks::inherit(owned.record.quorum.clone(), body.mark);
        let pending = body.pending.into_iter();
        owned.pending = pending.map(|p| (p.account, now - p.age)).collect();
        let era = self.store_era;
        if owned.record.era.is_some_and(|written| written < era) {
            owned.begin_renewal(now);
        }
        self.start_spending(budget, owned, waiting, out);
    }
}

/// Returns a record that allows no more than the early part of its ramp, at any age. Routers of earlier
/// versions would spend the late part as soon as the pace allows.
fn early_part(account: &Account) -> Account {
    let late = account.late.unwrap_or(0);
    Account {
        drawn: account.drawn.saturating_sub(late),
        ..record::without_late(account)
    }
}

/// Returns the record from which the `late` part was taken.
fn with_late_part(account: Account, late: Option<u64>) -> Account {
    Account {
        drawn: account.drawn.saturating_add(late.unwrap_or(0)),
        late,
        ..account
    }
}

/// Returns the term of the router that an account is handed over to.
fn next_term(term: Term) -> Term {
    Term {
        epoch: term.epoch,
        turn: term.turn + 1,
    }
}
