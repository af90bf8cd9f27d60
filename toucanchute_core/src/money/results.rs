use toucanchute_proto::{
    BudgetId, EntryId, GrantId, Millis,
    ledger::{Answer, Entry, EntryBody, EntryRefusal, EntryResult, GrantRequest},
};

use super::{
    Action, Billing, CallId, Money, RefusalReason,
    budget_state::HeldGrant,
    outbox::{EntryPurpose, PendingEntry},
    reserve::RETRY_AFTER_MS,
};

/// Time after a grant before the next one may be requested ahead of demand, in milliseconds.
const PREFETCH_PAUSE_MS: u64 = 1_000;

/// The same time after a refusal, or after a grant that is small compared with the tokens held, in
/// milliseconds.
const SMALL_GRANT_PREFETCH_PAUSE_MS: u64 = 5_000;

/// A grant is small if it is less than the available tokens divided by this.
const SMALL_GRANT_DIVISOR: u64 = 4;

/// Results of this router's entries.
impl Money {
    /// Handles the result of an entry. Does nothing if the result is known already.
    pub(super) fn resolve(&mut self, id: EntryId, result: EntryResult, out: &mut Vec<Action>) {
        let Some(pending) = self.outbox.remove(&id) else {
            return;
        };
        self.unsent_entries.remove(&id);
        let budget = pending.entry.budget;
        self.outage_shards.remove(&self.shard_of(budget));
        if pending.hold_sent_at.is_some() {
            self.send_forget(id, &pending.purpose, out);
        }
        self.handle_result(pending, result, out);
        self.serve_waiting(budget, out);
        self.refill(budget, out);
    }

    fn handle_result(&mut self, pending: PendingEntry, result: EntryResult, out: &mut Vec<Action>) {
        let PendingEntry {
            entry,
            purpose,
            released,
            ..
        } = pending;
        match purpose {
            EntryPurpose::Settle {
                call,
                grant,
                tokens,
            } => {
                let caller = Some(call).filter(|_| !released);
                self.on_settle_result(caller, grant, tokens, &result, out);
            }
            EntryPurpose::Grant => self.on_grant_result(&entry, &result, out),
            EntryPurpose::Return { grant, tokens } => self.on_return_result(grant, tokens, &result),
            EntryPurpose::OutgoingTransfer {
                from,
                grant,
                tokens,
            } => {
                self.on_outgoing_result(from, grant, tokens, &result, released, out);
            }
            EntryPurpose::IncomingTransfer { grant } => self.on_incoming_result(grant, &result),
            EntryPurpose::Intent { call, deadline, .. } => {
                self.on_intent_result(call, deadline, &entry, result, out);
            }
            EntryPurpose::AbandonedIntent { grant, tokens } => {
                self.on_abandoned_intent_result(grant, tokens, &entry, &result);
            }
            EntryPurpose::TopUp { call } => self.on_top_up_result(call, entry.budget, &result, out),
            EntryPurpose::WriteOff { call } => match result {
                EntryResult::Done => out.push(Action::WrittenOff { call }),
                _ => self.refuse(call, RefusalReason::NotForfeited, None, out),
            },
            EntryPurpose::Reclaim { grant } => self.on_reclaim_result(grant, &result, out),
            EntryPurpose::WitnessedDebit { grant } => self.witness_buffer.remove(grant, entry.id),
            EntryPurpose::Outcome | EntryPurpose::AbandonedCall => {}
        }
    }

    fn on_settle_result(
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
            EntryResult::Refused(refusal) => Err(self.undo_refused_debit(grant, tokens, *refusal)),
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

    /// Undoes a debit that the ledger refused and returns the refusal reason for the caller.
    pub(super) fn undo_refused_debit(
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

    fn on_grant_result(&mut self, entry: &Entry, result: &EntryResult, out: &mut Vec<Action>) {
        let budget = entry.budget;
        let EntryBody::Grant(body) = &entry.body else {
            return;
        };
        let (now, held) = (self.now, self.available_tokens(budget));
        let state = self.budget_states.entry(budget).or_default();
        if state.grant_request.is_some_and(|(id, _)| id == entry.id) {
            state.grant_request = None;
        }
        match result {
            EntryResult::Granted(tokens) => {
                let exhausted = *tokens < body.min;
                let small = *tokens < held / SMALL_GRANT_DIVISOR;
                let pause = if small {
                    SMALL_GRANT_PREFETCH_PAUSE_MS
                } else {
                    PREFETCH_PAUSE_MS
                };
                state.next_prefetch_at = now + Millis(pause);
                state.last_refusal = exhausted.then_some((now, body.min));
                self.hold_grant(budget, body, *tokens);
            }
            EntryResult::Refused(EntryRefusal::Insufficient) => {
                state.last_refusal = Some((now, body.least));
                state.next_prefetch_at = now + Millis(SMALL_GRANT_PREFETCH_PAUSE_MS);
                self.start_transfer_round(budget, out);
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
            committed_returns: 0,
            return_in_flight: false,
            uncommitted_origin: None,
        };
        self.grants.insert(body.grant, grant);
    }

    fn on_return_result(&mut self, id: GrantId, tokens: u64, result: &EntryResult) {
        if *result != EntryResult::Done {
            self.grants.remove(&id);
            return;
        }
        if let Some(grant) = self.grants.get_mut(&id) {
            grant.committed_returns += 1;
            grant.return_in_flight = false;
        }
        self.deduct(id, tokens);
    }

    fn on_incoming_result(&mut self, id: GrantId, result: &EntryResult) {
        match result {
            EntryResult::Granted(_) => {
                if let Some(grant) = self.grants.get_mut(&id) {
                    grant.uncommitted_origin = None;
                }
            }
            _ => {
                self.grants.remove(&id);
            }
        }
    }

    fn on_intent_result(
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
                // The process was paused past the deadline, and the caller has left.
                self.on_abandoned_intent_result(grant, tokens, entry, &EntryResult::Accepted);
                let retry_after = Some(Millis(RETRY_AFTER_MS));
                self.refuse(call, RefusalReason::LedgerUnavailable, retry_after, out);
            }
            EntryResult::Accepted => {
                self.deduct(grant, tokens);
                self.accept_call(call, entry.budget, body, out);
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
                self.record_lost_call(entry.budget, attempt, body);
                let retry_after = Some(Millis(RETRY_AFTER_MS));
                self.refuse(call, RefusalReason::InProgress, retry_after, out);
            }
            EntryResult::Refused(refusal) => {
                let reason = self.undo_refused_debit(grant, tokens, refusal);
                self.refuse(call, reason, Some(Millis(RETRY_AFTER_MS)), out);
            }
            _ => {}
        }
    }

    fn on_abandoned_intent_result(
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
                self.undo_refused_debit(grant, tokens, *refusal);
            }
            _ => self.unreserve(grant, tokens),
        }
    }

    fn on_top_up_result(
        &mut self,
        call: CallId,
        budget: BudgetId,
        result: &EntryResult,
        out: &mut Vec<Action>,
    ) {
        if *result != EntryResult::Done {
            return self.refuse(call, RefusalReason::KeyReused, None, out);
        }
        if let Some(state) = self.budget_states.get_mut(&budget) {
            state.last_refusal = None;
        }
        out.push(Action::ToppedUp { call });
    }
}
