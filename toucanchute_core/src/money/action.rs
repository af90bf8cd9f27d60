use toucanchute_proto::{
    Incarnation, Millis,
    ledger::{Answer, Statement},
    money::MoneyMessage,
};

use super::CallId;
use crate::ledger::StoreOp;

/// What a [`Money`](super::Money) machine wants done or answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The tokens are set aside; may be fewer than asked for when the budget runs out.
    Reserved {
        /// The call.
        call: CallId,
        /// Tokens reserved.
        tokens: u64,
    },
    /// The request is billed; the end of its answer may be sent.
    Settled {
        /// The call.
        call: CallId,
        /// How it was billed.
        billing: Billing,
    },
    /// The intent is committed: send the call now, once.
    Accepted {
        /// The call.
        call: CallId,
    },
    /// The call ran earlier under this key, or may have run.
    Recorded {
        /// The call.
        call: CallId,
        /// How it ended.
        answer: Answer,
    },
    /// The top-up is committed.
    ToppedUp {
        /// The call.
        call: CallId,
    },
    /// The grant is written off.
    WrittenOff {
        /// The call.
        call: CallId,
    },
    /// The account of a budget.
    Statement {
        /// The call.
        call: CallId,
        /// The account.
        statement: Statement,
    },
    /// The call is refused, finally.
    Refused {
        /// The call.
        call: CallId,
        /// Why.
        reason: RefusalReason,
        /// When to come back, where that helps.
        retry_after: Option<Millis>,
        /// A router that is more likely to hold tokens.
        elsewhere: Option<Incarnation>,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: MoneyMessage,
    },
    /// Call the platform's service and give the result back as
    /// [`Event::Store`](super::Event::Store).
    Store(StoreOp),
    /// Nothing is left to give back; the process may end.
    Drained,
}

/// How a request was billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Billing {
    /// It is billed.
    Billed,
    /// An earlier run under the same key was billed; this one costs nothing.
    Duplicate,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The budget has not enough tokens left.
    BudgetExhausted,
    /// Tokens could not be granted in time; other routers may hold some.
    GrantUnavailable,
    /// The key or the top-up's id was used for something else.
    KeyReused,
    /// The key has expired.
    KeyExpired,
    /// A call under this key is still running.
    InProgress,
    /// The key was billed and run again too often.
    TooManyReruns,
    /// The ledger could not be reached.
    LedgerUnavailable,
    /// The grant was reclaimed before the bill was committed.
    GrantReclaimed,
    /// The grant is not forfeited.
    NotForfeited,
    /// The router is leaving.
    Draining,
}
