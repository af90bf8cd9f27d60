use toucanchute_proto::{
    AttemptId, BudgetId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Answer, EntryBody, Intent, IntentOutcome},
};

use super::{
    Action, CallId, Money, RefusalReason, budget_state::WaitingCall, outbox::EntryPurpose,
    reserve::RETRY_AFTER_MS,
};
use crate::ledger::Fault;

/// Time after which a call is refused if its intent is not committed, in milliseconds.
const INTENT_TIMEOUT_MS: u64 = 3_000;

/// Largest body of an answer that the ledger records, in bytes. An answer with a larger body is
/// recorded as [`Answer::Unknown`].
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A non-idempotent call that was accepted and whose outcome is not recorded yet.
#[derive(Clone, Debug)]
pub(super) struct RunningCall {
    pub(super) attempt: AttemptId,
    pub(super) budget: BudgetId,
    pub(super) expires: Millis,
}

/// Intents and outcomes of non-idempotent calls.
impl Money {
    pub(super) fn propose_intent(
        &mut self,
        budget: BudgetId,
        grant: GrantId,
        waiting: &WaitingCall,
        out: &mut Vec<Action>,
    ) {
        let (call, tokens) = (waiting.call, waiting.tokens);
        let uncommitted_origin = self
            .grants
            .get(&grant)
            .and_then(|g| g.uncommitted_origin.as_ref());
        let after = uncommitted_origin.map(|o| o.id);
        let attempt = self.new_attempt();
        let body = Intent {
            key: waiting.key,
            digest: waiting.digest,
            attempt,
            grant,
            tokens,
            expires: waiting.expires,
        };
        if self.has_fault(Fault::SendBeforeCommit) {
            self.accept_call(call, budget, &body, out);
        }
        let entry = self.new_entry(budget, EntryBody::Intent(body));
        let deadline = waiting.deadline.min(self.now + Millis(INTENT_TIMEOUT_MS));
        let purpose = EntryPurpose::Intent {
            call,
            grant,
            tokens,
            deadline,
        };
        self.propose(entry, purpose, after);
    }

    pub(super) fn accept_call(
        &mut self,
        call: CallId,
        budget: BudgetId,
        body: &Intent,
        out: &mut Vec<Action>,
    ) {
        let running = RunningCall {
            attempt: body.attempt,
            budget,
            expires: body.expires,
        };
        self.running_calls.insert(body.key, running);
        out.push(Action::Accepted { call });
    }

    pub(super) fn record_outcome(&mut self, key: RequestKey, answer: Answer) {
        let Some(call) = self.running_calls.remove(&key) else {
            return;
        };
        let answer = match answer {
            Answer::Recorded(body) if body.body.len() > MAX_RECORDED_BYTES => Answer::Unknown,
            answer => answer,
        };
        self.propose_outcome(call.budget, key, call.attempt, call.expires, answer);
    }

    pub(super) fn propose_outcome(
        &mut self,
        budget: BudgetId,
        key: RequestKey,
        attempt: AttemptId,
        expires: Millis,
        answer: Answer,
    ) {
        let body = IntentOutcome {
            key,
            attempt,
            expires,
            answer,
        };
        let entry = self.new_entry(budget, EntryBody::Outcome(body));
        self.propose(entry, EntryPurpose::Outcome, None);
    }

    /// Records the outcome of a call as unknown if the router that sent it has been gone for at
    /// least `reclaim_after_ms`.
    pub(super) fn record_lost_call(&mut self, budget: BudgetId, attempt: AttemptId, body: &Intent) {
        let bound = Millis(self.cfg.ledger.reclaim_after_ms);
        let AttemptId(sender, _): AttemptId = attempt;
        let sender: Incarnation = sender;
        if self.gone_for(sender).is_some_and(|gone| gone >= bound) {
            self.propose_outcome(budget, body.key, attempt, body.expires, Answer::Unknown);
        }
    }

    /// Refuses calls whose intent is not committed by its deadline. They are never sent.
    pub(super) fn tick_intents(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        for pending in self.outbox.values_mut() {
            let EntryPurpose::Intent {
                call,
                grant,
                tokens,
                deadline,
            } = pending.purpose
            else {
                continue;
            };
            if now < deadline {
                continue;
            }
            pending.purpose = EntryPurpose::AbandonedIntent { grant, tokens };
            out.push(Action::Refused {
                call,
                reason: RefusalReason::LedgerUnavailable,
                retry_after: Some(Millis(RETRY_AFTER_MS)),
                elsewhere: None,
            });
        }
    }
}
