use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    ledger::{EntryBody, Statement, TopUp},
    money::{AskStatement, MoneyMessage, StatementReply},
};

use super::{Action, CallId, Event, Money, RefusalReason, outbox::Purpose};

/// Longest time that an operator's call waits, in milliseconds.
const ADMIN_WAIT_MS: u64 = 5_000;

/// Time after which a router reads a shard itself for a statement, in milliseconds.
const STATEMENT_SELF_MS: u64 = 1_000;

/// Calls of operators.
impl Money {
    pub(super) fn administer(&mut self, event: Event) {
        match event {
            Event::TopUp {
                call,
                id,
                budget,
                tokens,
            } => {
                let body = EntryBody::TopUp(TopUp { top_up: id, tokens });
                let entry = self.new_entry(budget, body);
                self.propose(entry, Purpose::TopUp { call }, None);
            }
            Event::WriteOff {
                call,
                budget,
                grant,
            } => {
                let entry = self.new_entry(budget, EntryBody::WriteOff(grant));
                self.propose(entry, Purpose::WriteOff { call }, None);
            }
            _ => {}
        }
    }

    pub(super) fn ask_statement(&mut self, call: CallId, budget: BudgetId, out: &mut Vec<Action>) {
        self.statements
            .insert(call, (budget, self.now + Millis(ADMIN_WAIT_MS)));
        let to = self.writer_of(self.shard(budget));
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

    pub(super) fn reply_statement(
        &mut self,
        asker: Incarnation,
        call: CallId,
        statement: Statement,
        out: &mut Vec<Action>,
    ) {
        let reply = StatementReply {
            call: call.0,
            statement,
        };
        if asker == self.me() {
            return self.on_statement(reply, out);
        }
        let message = MoneyMessage::Statement(reply);
        out.push(Action::Send { to: asker, message });
    }

    pub(super) fn on_statement(&mut self, body: StatementReply, out: &mut Vec<Action>) {
        let call = CallId(body.call);
        if self.statements.remove(&call).is_some() {
            let statement = body.statement;
            out.push(Action::Statement { call, statement });
        }
    }

    /// Gives up on operators' calls that waited too long, or reads the shard itself.
    pub(super) fn tick_statements(&mut self, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.me());
        for (call, (budget, until)) in self.statements.clone() {
            if now >= until {
                self.statements.remove(&call);
                self.refuse(
                    call,
                    RefusalReason::LedgerUnavailable,
                    Some(Millis(1_000)),
                    out,
                );
            } else if now + Millis(ADMIN_WAIT_MS - STATEMENT_SELF_MS) >= until {
                self.queue_statement(me, call, budget);
            }
        }
        for outgoing in self.outbox.values_mut() {
            let call = match outgoing.purpose {
                Purpose::TopUp { call } | Purpose::WriteOff { call } => call,
                _ => continue,
            };
            if now.since(outgoing.since) >= Millis(ADMIN_WAIT_MS) {
                outgoing.purpose = Purpose::Unattended;
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
