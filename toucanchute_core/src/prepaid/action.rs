use toucanchute_proto::{Incarnation, Millis, prepaid::PrepaidMessage};

use super::{CallId, TakeoverBasis};
use crate::ledger::StoreOp;

/// What a [`PrepaidAccounts`](super::PrepaidAccounts) machine wants done or answers.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The tokens are set aside.
    Reserved {
        /// The request.
        call: CallId,
        /// Router that spends from the budget.
        owner: Incarnation,
    },
    /// The tokens are not set aside.
    Refused {
        /// The request.
        call: CallId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: PrepaidMessage,
    },
    /// Call the store and give the result back as [`Event::Store`](super::Event::Store).
    Store(StoreOp),
    /// A belief about an account changed; for the event log.
    Log(AccountEvent),
    /// Nothing is left to give away; the process may end.
    Drained,
}

/// Why tokens are not set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, where that helps.
    pub retry_after: Option<Millis>,
}

/// Why tokens are not set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The total does not cover the request, whatever becomes of the requests in progress.
    Exhausted,
    /// The total does not cover the request while others are in progress or written off.
    Held,
    /// The total may cover it, but nobody can spend from the budget just now.
    Unavailable,
    /// The budget is not in the configuration.
    Unknown,
}

/// A change of what a router believes about an account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccountEvent {
    /// This router spends from the account from now on.
    Opened {
        /// The account.
        budget: toucanchute_proto::BudgetId,
        /// Its epoch.
        epoch: u64,
        /// Tokens that count as spent.
        spent: u64,
        /// Tokens newly written off because too few witnesses answered.
        lost: u64,
        /// What `spent` was told from.
        basis: TakeoverBasis,
    },
    /// This router refused a request for tokens of the account.
    Refused {
        /// The account.
        budget: toucanchute_proto::BudgetId,
        /// Router that asked, and its number of the request.
        request: (Incarnation, u64),
        /// Why.
        reason: RefusalReason,
        /// Tokens used or set aside.
        used: u64,
        /// The total.
        limit: u64,
        /// Bound that the store's record and the witnesses allow.
        bound: u64,
    },
    /// The account's record cannot be decoded, so that nobody can take the account over.
    Unreadable {
        /// The account.
        budget: toucanchute_proto::BudgetId,
        /// Revision of the record in the store.
        revision: u64,
        /// What is wrong with it.
        error: String,
    },
    /// This router spends from the account no more.
    Closed {
        /// The account.
        budget: toucanchute_proto::BudgetId,
        /// Why.
        cause: CloseCause,
    },
}

/// Why a router spends no more from an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// It gave it back to the store.
    Released,
    /// It gave it to another router.
    HandedOver,
    /// Another router took it, or another writer changed its record.
    Superseded,
}
