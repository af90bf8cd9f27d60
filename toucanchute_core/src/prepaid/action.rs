use toucanchute_proto::{Incarnation, Millis, prepaid::PrepaidMessage};

use super::{CallId, TakeoverBasis};
use crate::ledger::StoreOp;

/// What a [`PrepaidAccounts`](super::PrepaidAccounts) state machine returns to its caller to carry
/// out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The requested tokens are set aside.
    Reserved {
        /// The request.
        call: CallId,
        /// Router that owns the budget's account.
        owner: Incarnation,
    },
    /// The requested tokens are refused.
    Refused {
        /// The request.
        call: CallId,
        /// Reason of the refusal, and when to retry.
        refusal: Refusal,
    },
    /// Send a message to another router.
    Send {
        /// The receiver.
        to: Incarnation,
        /// The message.
        message: Box<PrepaidMessage>,
    },
    /// Call the store and report the result as [`Event::Store`](super::Event::Store).
    Store(StoreOp),
    /// Write an event of an account to the event log.
    Log(AccountEvent),
    /// No account is left to hand over or release. The process may end.
    Drained,
}

impl Action {
    pub(super) fn send(to: Incarnation, message: PrepaidMessage) -> Action {
        let message = Box::new(message);
        Action::Send { to, message }
    }
}

/// A refused request for tokens: the reason, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed; absent if a retry does not help.
    pub retry_after: Option<Millis>,
}

/// Reason why tokens are not set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The total does not cover the request, even if all requests in progress refund their tokens.
    Exhausted,
    /// The total does not cover the request while tokens are reserved for other requests or written
    /// off.
    Held,
    /// The total may cover the request, but no router can spend from the budget at the moment.
    Unavailable,
    /// The budget is not in the configuration.
    Unknown,
}

/// An event of an account, for the event log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AccountEvent {
    /// This router took the account over and spends from it from now on.
    Opened {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// Epoch of the account, which rises with each claim.
        epoch: u64,
        /// Tokens that count as spent.
        spent: u64,
        /// Tokens newly written off because too few witnesses answered.
        lost: u64,
        /// What `spent` was derived from.
        basis: TakeoverBasis,
    },
    /// This router refused a request for tokens of the account.
    Refused {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// Router that sent the request, and the number that the request has there.
        request: (Incarnation, u64),
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Tokens used or set aside.
        used: u64,
        /// Total of the budget, in tokens.
        limit: u64,
        /// Bound on `used` that the record in the store and the witnesses allow.
        bound: u64,
    },
    /// The account's record cannot be decoded, so no router can take the account over.
    Unreadable {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// Revision of the record in the store.
        revision: u64,
        /// Error of the decoder.
        error: String,
    },
    /// This router takes the account over although its record names a router that can be reached, which no
    /// longer owns it.
    RecordOutdated {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// Epoch of the record.
        epoch: u64,
        /// Router that the record names.
        named: Incarnation,
    },
    /// Unused tokens of a request of this router were not returned. They count as spent.
    RefundLost {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// Number that the request has at this router.
        seq: u64,
        /// Whether the refund was sent to an owner.
        sent: bool,
    },
    /// This router handed the account over. It does not know whether the message arrives.
    HandedOver {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// The receiver.
        to: Incarnation,
    },
    /// This router no longer spends from the account.
    Closed {
        /// Budget of the account.
        budget: toucanchute_proto::BudgetId,
        /// Reason why it no longer spends.
        cause: CloseCause,
    },
}

/// Why a router no longer spends from an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// It released the account to the store.
    Released,
    /// It handed the account over to another router.
    HandedOver,
    /// Another router took the account over, or another writer changed its record.
    Superseded,
}
