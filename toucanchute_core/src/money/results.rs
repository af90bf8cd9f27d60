use toucanchute_proto::{
    BudgetId, EntryId, GrantId, Millis,
    ledger::{Answer, Entry, EntryBody, EntryRefusal, EntryResult, GrantRequest},
};

use super::{
    Action, Billing, CallId, Money, RefusalReason,
    holding::HeldGrant,
    outbox::{Outgoing, Purpose},
    reserve::RETRY_AFTER_MS,
};

/// Pause before the next grant is asked for in advance, in milliseconds.
const ADVANCE_MS: u64 = 1_000;

/// The same after a grant that was small beside what was held, in milliseconds.
const SMALL_ADVANCE_MS: u64 = 5_000;

/// A grant below this part of what was held is small.
const SMALL_DIVISOR: u64 = 4;

/// Results of this router's entries.
impl Money {
    /// Takes the result of an entry; does nothing if it is known already.
    pub(super) fn resolve(&mut self, id: EntryId, result: EntryResult, out: &mut Vec<Action>) {
        let Some(outgoing) = self.outbox.remove(&id) else {
            return;
        };
        self.unsent.remove(&id);
        let budget = outgoing.entry.budget;
        self.outages.remove(&self.shard(budget));
        if outgoing.held_at.is_some() {
            self.forget_holds(id, &outgoing.purpose, out);
        }
        self.dispatch(outgoing, result, out);
        self.serve(budget, out);
        self.refill(budget, out);
    }

    fn dispatch(&mut self, outgoing: Outgoing, result: EntryResult, out: &mut Vec<Action>) {
        let Outgoing {
            entry,
            purpose,
            released,
            ..
        } = outgoing;
        match purpose {
            Purpose::Settle {
                call,
                grant,
                tokens,
            } => {
                let waits = Some(call).filter(|_| !released);
                self.on_settled(waits, grant, tokens, &result, out);
            }
            Purpose::Grant => self.on_grant(&entry, &result, out),
            Purpose::Return { grant, tokens } => self.on_returned(grant, tokens, &result),
            Purpose::Give {
                from,
                grant,
                tokens,
            } => {
                self.on_given(from, grant, tokens, &result, released, out);
            }
            Purpose::Origin { grant } => self.on_origin(grant, &result),
            Purpose::Intent { call, deadline, .. } => {
                self.on_intent(call, deadline, &entry, result, out);
            }
            Purpose::AbandonedIntent { grant, tokens } => {
                self.on_abandoned_intent(grant, tokens, &entry, &result);
            }
            Purpose::TopUp { call } => self.on_topped_up(call, entry.budget, &result, out),
            Purpose::WriteOff { call } => match result {
                EntryResult::Done => out.push(Action::WrittenOff { call }),
                _ => self.refuse(call, RefusalReason::NotForfeited, None, out),
            },
            Purpose::Reclaim { grant } => self.on_reclaimed(grant, &result, out),
            Purpose::Kept { grant } => self.buffer.remove(grant, entry.id),
            Purpose::Outcome | Purpose::Unattended => {}
        }
    }

    fn on_settled(
        &mut self,
        call: Option<CallId>,
        grant: GrantId,
        tokens: u64,
        result: &EntryResult,
        out: &mut Vec<Action>,
    ) {
        let billing = match result {
            EntryResult::Billed => {
                self.deduct(grant, tokens);
                Ok(Billing::Billed)
            }
            EntryResult::Duplicate => {
                self.unreserve(grant, tokens);
                Ok(Billing::Duplicate)
            }
            EntryResult::Refused(refusal) => Err(self.on_refused_debit(grant, tokens, *refusal)),
            _ => return,
        };
        match (call, billing) {
            (Some(call), Ok(billing)) => out.push(Action::Settled { call, billing }),
            (Some(call), Err(reason)) => {
                self.refuse(call, reason, Some(Millis(RETRY_AFTER_MS)), out);
            }
            (None, _) => {}
        }
    }

    /// Undoes a debit that the ledger refused and returns what to tell the caller.
    pub(super) fn on_refused_debit(
        &mut self,
        grant: GrantId,
        tokens: u64,
        refusal: EntryRefusal,
    ) -> RefusalReason {
        match refusal {
            EntryRefusal::KeyReused => {
                self.unreserve(grant, tokens);
                RefusalReason::KeyReused
            }
            EntryRefusal::KeyExpired => {
                self.unreserve(grant, tokens);
                RefusalReason::KeyExpired
            }
            EntryRefusal::TooManyReruns => {
                self.unreserve(grant, tokens);
                RefusalReason::TooManyReruns
            }
            EntryRefusal::AttemptEnded => {
                self.unreserve(grant, tokens);
                RefusalReason::InProgress
            }
            _ => {
                self.grants.remove(&grant);
                RefusalReason::GrantReclaimed
            }
        }
    }

    fn on_grant(&mut self, entry: &Entry, result: &EntryResult, out: &mut Vec<Action>) {
        let budget = entry.budget;
        let EntryBody::Grant(body) = &entry.body else {
            return;
        };
        let (now, held) = (self.now, self.available(budget));
        let holding = self.holdings.entry(budget).or_default();
        if holding.request.is_some_and(|(id, _)| id == entry.id) {
            holding.request = None;
        }
        match result {
            EntryResult::Granted(tokens) => {
                let last = *tokens < body.min;
                let small = *tokens < held / SMALL_DIVISOR;
                let pause = if small { SMALL_ADVANCE_MS } else { ADVANCE_MS };
                holding.next_advance = now + Millis(pause);
                holding.refused = last.then_some((now, body.min));
                self.hold_grant(budget, body, *tokens);
            }
            EntryResult::Refused(EntryRefusal::Insufficient) => {
                holding.refused = Some((now, body.least));
                holding.next_advance = now + Millis(SMALL_ADVANCE_MS);
                self.ask_peers(budget, out);
            }
            _ => {}
        }
    }

    fn hold_grant(&mut self, budget: BudgetId, body: &GrantRequest, tokens: u64) {
        let grant = HeldGrant {
            budget,
            remainder: tokens,
            reserved: 0,
            backing: body.backing.clone(),
            returns: 0,
            returning: false,
            origin: None,
        };
        self.grants.insert(body.grant, grant);
    }

    fn on_returned(&mut self, id: GrantId, tokens: u64, result: &EntryResult) {
        if *result != EntryResult::Done {
            self.grants.remove(&id);
            return;
        }
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.returns += 1;
            grant.returning = false;
        }
        self.deduct(id, tokens);
    }

    fn on_origin(&mut self, id: GrantId, result: &EntryResult) {
        match result {
            EntryResult::Granted(_) => {
                if let Some(grant) = self.grants.get_mut(&id) {
                    grant.origin = None;
                }
            }
            _ => {
                self.grants.remove(&id);
            }
        }
    }

    fn on_intent(
        &mut self,
        call: CallId,
        deadline: Millis,
        entry: &Entry,
        result: EntryResult,
        out: &mut Vec<Action>,
    ) {
        let EntryBody::Intent(body) = &entry.body else {
            return;
        };
        let (grant, tokens) = (body.grant, body.tokens);
        match result {
            EntryResult::Accepted if self.now >= deadline => {
                // The process was paused: the caller has gone.
                self.on_abandoned_intent(grant, tokens, entry, &EntryResult::Accepted);
                let retry_after = Some(Millis(RETRY_AFTER_MS));
                self.refuse(call, RefusalReason::LedgerUnavailable, retry_after, out);
            }
            EntryResult::Accepted => {
                self.deduct(grant, tokens);
                self.accept(call, entry.budget, body, out);
            }
            EntryResult::Ended(answer) => {
                self.deduct(grant, tokens);
                out.push(Action::Recorded { call, answer });
            }
            EntryResult::Recorded(answer) => {
                self.unreserve(grant, tokens);
                out.push(Action::Recorded { call, answer });
            }
            EntryResult::Pending(attempt) => {
                self.unreserve(grant, tokens);
                self.end_lost_call(entry.budget, attempt, body);
                let retry_after = Some(Millis(RETRY_AFTER_MS));
                self.refuse(call, RefusalReason::InProgress, retry_after, out);
            }
            EntryResult::Refused(refusal) => {
                let reason = self.on_refused_debit(grant, tokens, refusal);
                self.refuse(call, reason, Some(Millis(RETRY_AFTER_MS)), out);
            }
            _ => {}
        }
    }

    fn on_abandoned_intent(
        &mut self,
        grant: GrantId,
        tokens: u64,
        entry: &Entry,
        result: &EntryResult,
    ) {
        let EntryBody::Intent(body) = &entry.body else {
            return;
        };
        match result {
            EntryResult::Accepted => {
                self.deduct(grant, tokens);
                let (key, attempt) = (body.key, body.attempt);
                self.propose_outcome(entry.budget, key, attempt, body.expires, Answer::NotRun);
            }
            EntryResult::Ended(_) => self.deduct(grant, tokens),
            EntryResult::Refused(refusal) => {
                self.on_refused_debit(grant, tokens, *refusal);
            }
            _ => self.unreserve(grant, tokens),
        }
    }

    fn on_topped_up(
        &mut self,
        call: CallId,
        budget: BudgetId,
        result: &EntryResult,
        out: &mut Vec<Action>,
    ) {
        if *result != EntryResult::Done {
            return self.refuse(call, RefusalReason::KeyReused, None, out);
        }
        if let Some(holding) = self.holdings.get_mut(&budget) {
            holding.refused = None;
        }
        out.push(Action::ToppedUp { call });
    }
}
