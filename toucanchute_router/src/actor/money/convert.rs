//! Conversions between the HTTP edge's types and those of the money machine.

use serde_json::{Value, json};
use toucanchute_core::money::{self, Billing, CallId, Event};
use toucanchute_edge::{
    CallOutcome, Refusal, RefusalOutcome, RefusalReason, ServiceAnswer, Settlement,
};
use toucanchute_proto::{
    Incarnation, Millis,
    ledger::{Answer, GrantRecord, RecordedAnswer, Statement},
};

use super::{MoneyCall, MoneyReply};

pub(super) fn call_event(call: CallId, request: MoneyCall) -> Event {
    match request {
        MoneyCall::Reserve(req) => Event::Reserve {
            call,
            budget: req.budget,
            key: req.key,
            digest: req.digest,
            tokens: req.tokens,
            expires: req.expires,
            deadline: req.deadline,
        },
        MoneyCall::CommitIntent(req) => Event::CommitIntent {
            call,
            budget: req.budget,
            key: req.key,
            digest: req.digest,
            tokens: req.tokens,
            expires: req.expires,
            deadline: req.deadline,
        },
        MoneyCall::Settle { tokens, .. } => Event::Settle { call, tokens },
        MoneyCall::TopUp { id, budget, tokens } => Event::TopUp {
            call,
            id,
            budget,
            tokens,
        },
        MoneyCall::WriteOff { budget, grant } => Event::WriteOff {
            call,
            budget,
            grant,
        },
        MoneyCall::Statement { budget } => Event::Statement { call, budget },
    }
}

pub(super) fn settled_reply(billing: Billing) -> MoneyReply {
    MoneyReply::Settled(match billing {
        Billing::Billed => Settlement::Billed,
        Billing::Duplicate => Settlement::Duplicate,
    })
}

pub(super) fn recorded_reply(answer: Answer) -> Result<MoneyReply, Refusal> {
    match answer {
        Answer::Recorded(answer) => Ok(MoneyReply::Recorded(ServiceAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        })),
        Answer::NotRun => Err(new_refusal(RefusalReason::InProgress, Some(Millis(100)))),
        Answer::Unknown => Err(unknown_outcome_refusal()),
    }
}

pub(super) fn ledger_answer(outcome: CallOutcome) -> Answer {
    match outcome {
        CallOutcome::Answer(answer) => Answer::Recorded(RecordedAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        }),
        CallOutcome::NotRun(_) => Answer::NotRun,
        CallOutcome::Unknown => Answer::Unknown,
    }
}

pub(super) fn statement_document(statement: &Statement) -> Value {
    let grants: Vec<_> = statement.grants.iter().map(grant_document).collect();
    json!({
        "topped_up": statement.topped_up,
        "free": statement.free,
        "spent": statement.spent,
        "granted": statement.granted,
        "forfeited": statement.forfeited,
        "written_off": statement.written_off,
        "grants": grants,
    })
}

fn grant_document(grant: &GrantRecord) -> Value {
    let witnesses = grant.backing.witnesses.iter();
    let witnesses: Vec<_> = witnesses.map(Incarnation::to_string).collect();
    json!({
        "grant": grant.grant.to_string(),
        "granted": grant.granted,
        "remainder": grant.remainder,
        "forfeited": grant.forfeited,
        "opened_at_ms": grant.opened_at.0,
        "witnesses": witnesses,
    })
}

pub(super) fn edge_refusal(reason: money::RefusalReason, retry_after: Option<Millis>) -> Refusal {
    let reason = match reason {
        money::RefusalReason::BudgetExhausted => RefusalReason::BudgetExhausted,
        money::RefusalReason::GrantUnavailable => RefusalReason::GrantUnavailable,
        money::RefusalReason::KeyReused => RefusalReason::KeyReused,
        money::RefusalReason::KeyExpired => RefusalReason::KeyExpired,
        money::RefusalReason::InProgress => RefusalReason::InProgress,
        money::RefusalReason::TooManyReruns => RefusalReason::TooManyReruns,
        money::RefusalReason::GrantReclaimed => RefusalReason::GrantReclaimed,
        money::RefusalReason::Draining => RefusalReason::Draining,
        _ => RefusalReason::LedgerUnavailable,
    };
    new_refusal(reason, retry_after)
}

pub(super) fn new_refusal(reason: RefusalReason, retry_after: Option<Millis>) -> Refusal {
    let outcome = match reason {
        // An earlier call with the same key may be running now.
        RefusalReason::InProgress => RefusalOutcome::Unknown,
        RefusalReason::GrantReclaimed | RefusalReason::TooManyReruns => RefusalOutcome::Failed,
        _ => RefusalOutcome::NothingSent,
    };
    Refusal {
        reason,
        outcome,
        retry_after,
        elsewhere: None,
    }
}

pub(super) fn unknown_outcome_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::UnknownOutcome,
        outcome: RefusalOutcome::Unknown,
        retry_after: None,
        elsewhere: None,
    }
}
