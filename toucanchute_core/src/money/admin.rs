use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    ledger::{EntryBody, Statement, TopUp},
    money::{AskStatement, MoneyMessage, StatementReply},
};

use super::{Action, CallId, Event, Money, RefusalReason, outbox::EntryPurpose};

/// Time after which an operator's call is refused if it has no result, in milliseconds.
const ADMIN_TIMEOUT_MS: u64 = 5_000;

/// Time after which a router reads the shard itself if its writer has not sent the statement, in
/// milliseconds.
const STATEMENT_FALLBACK_MS: u64 = 1_000;

/// Operators' calls: top-ups, write-offs and statements.
impl Money {
    pub(super) fn handle_admin_event(&mut self, event: Event) {
        match event {
            Event::TopUp {
                call,
                id,
                budget,
                tokens,
            } => {
                let body = EntryBody::TopUp(TopUp { top_up: id, tokens });
                let entry = self.new_entry(budget, body);
                self.propose(entry, EntryPurpose::TopUp { call }, None);
            }
            Event::WriteOff {
                call,
                budget,
                grant,
            } => {
                let entry = self.new_entry(budget, EntryBody::WriteOff(grant));
                self.propose(entry, EntryPurpose::WriteOff { call }, None);
            }
            _ => {}
        }
    }

    pub(super) fn request_statement(
        &mut self,
        call: CallId,
        budget: BudgetId,
        out: &mut Vec<Action>,
    ) {
        self.statement_requests
            .insert(call, (budget, self.now + Millis(ADMIN_TIMEOUT_MS)));
        let to = self.writer_of(self.shard_of(budget));
        if to == self.me() {
            return self.queue_statement(to, call, budget);
        }
        let body = AskStatement {
            call: call.0,
            budget,
        };
        let message = MoneyMessage::AskStatement(body);
        out.push(Action::Send { to, message });
    }

    pub(super) fn on_ask_statement(&mut self, from: Incarnation, body: &AskStatement) {
        self.queue_statement(from, CallId(body.call), body.budget);
    }

    pub(super) fn send_statement(
        &mut self,
        requester: Incarnation,
        call: CallId,
        statement: Statement,
        out: &mut Vec<Action>,
    ) {
        let reply = StatementReply {
            call: call.0,
            statement,
        };
        if requester == self.me() {
            return self.on_statement(reply, out);
        }
        let message = MoneyMessage::Statement(reply);
        out.push(Action::Send {
            to: requester,
            message,
        });
    }

    pub(super) fn on_statement(&mut self, body: StatementReply, out: &mut Vec<Action>) {
        let call = CallId(body.call);
        if self.statement_requests.remove(&call).is_some() {
            let statement = body.statement;
            out.push(Action::Statement { call, statement });
        }
    }

    /// Refuses operators' calls that are past their timeout, and reads the shard itself for
    /// statements that its writer has not sent within [`STATEMENT_FALLBACK_MS`].
    pub(super) fn tick_statements(&mut self, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.me());
        for (call, (budget, until)) in self.statement_requests.clone() {
            if now >= until {
                self.statement_requests.remove(&call);
                self.refuse(
                    call,
                    RefusalReason::LedgerUnavailable,
                    Some(Millis(1_000)),
                    out,
                );
            } else if now + Millis(ADMIN_TIMEOUT_MS - STATEMENT_FALLBACK_MS) >= until {
                self.queue_statement(me, call, budget);
            }
        }
        for pending in self.outbox.values_mut() {
            let call = match pending.purpose {
                EntryPurpose::TopUp { call } | EntryPurpose::WriteOff { call } => call,
                _ => continue,
            };
            if now.since(pending.proposed_at) >= Millis(ADMIN_TIMEOUT_MS) {
                pending.purpose = EntryPurpose::AbandonedCall;
                out.push(Action::Refused {
                    call,
                    reason: RefusalReason::LedgerUnavailable,
                    retry_after: Some(Millis(1_000)),
                    elsewhere: None,
                });
            }
        }
    }
}
