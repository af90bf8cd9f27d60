use toucanchute_proto::{
    Incarnation, Millis,
    ledger::{Answer, Statement},
    money::MoneyMessage,
};

use super::CallId;
use crate::ledger::StoreOp;

/// Output of a [`Money`](super::Money) state machine: an answer to a call, or work for its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Tokens are reserved. They may be fewer than requested when the budget runs out.
    Reserved {
        /// The call.
        call: CallId,
        /// Tokens reserved.
        tokens: u64,
    },
    /// The request is billed, and the end of its answer may be sent to the client.
    Settled {
        /// The call.
        call: CallId,
        /// How it was billed.
        billing: Billing,
    },
    /// The intent is committed: the call must be sent now, once.
    Accepted {
        /// The call.
        call: CallId,
    },
    /// A call under this key ran before, or may have run; it must not be sent.
    Recorded {
        /// The call.
        call: CallId,
        /// The recorded outcome.
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
    /// The requested statement of a budget's account.
    Statement {
        /// The call.
        call: CallId,
        /// The statement.
        statement: Statement,
    },
    /// The call is refused. No other answer to it follows.
    Refused {
        /// The call.
        call: CallId,
        /// The reason.
        reason: RefusalReason,
        /// Time to wait before a retry, where a retry can help.
        retry_after: Option<Millis>,
        /// Another router that is more likely to hold tokens of the budget, if one is known.
        elsewhere: Option<Incarnation>,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: MoneyMessage,
    },
    /// Call the platform's service and pass the result to the state machine as
    /// [`Event::Store`](super::Event::Store).
    Store(StoreOp),
    /// The router is drained; the process may exit.
    Drained,
}

/// How a request was billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Billing {
    /// The request is billed.
    Billed,
    /// An earlier run under the same key was billed; this run is free.
    Duplicate,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The budget does not have enough tokens left.
    BudgetExhausted,
    /// No tokens were granted in time, but other routers may hold some.
    GrantUnavailable,
    /// The key was used for a different request, or the id for a different top-up.
    KeyReused,
    /// The key has expired.
    KeyExpired,
    /// A call under this key is still running.
    InProgress,
    /// The key was billed, and the request was run again too often since.
    TooManyReruns,
    /// The ledger did not answer in time.
    LedgerUnavailable,
    /// The grant was reclaimed before the bill was committed.
    GrantReclaimed,
    /// The grant is not forfeited.
    NotForfeited,
    /// The router is draining.
    Draining,
}
