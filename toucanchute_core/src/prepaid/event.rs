use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis, config::Ledger, fleet::MemberState, prepaid::PrepaidMessage,
};

use super::ClockSpread;
use crate::ledger::StoreResult;

/// A request for tokens. Its router numbers the requests and never reuses a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Tokens that a request needs.
///
/// A request may reserve its tokens in several parts, each by a [`CallId`] of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenDemand {
    /// Budget of the customer.
    pub budget: BudgetId,
    /// Tokens to set aside now.
    pub tokens: u64,
    /// Further tokens that the request may ask for later. It is admitted only if there is room for them.
    pub rest: u64,
    /// Part that was reserved before this one, whose `rest` this one replaces; absent for the first.
    pub extends: Option<CallId>,
}

impl TokenDemand {
    /// Creates the demand of a request that reserves all its tokens at once.
    #[must_use]
    pub fn whole(budget: BudgetId, tokens: u64) -> TokenDemand {
        TokenDemand {
            budget,
            tokens,
            rest: 0,
            extends: None,
        }
    }
}

/// Input of a [`PrepaidAccounts`](super::PrepaidAccounts) state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Set tokens aside. Answered by [`Reserved`](super::Action::Reserved) or
    /// [`Refused`](super::Action::Refused).
    Reserve {
        /// The request, which also identifies the reservation.
        call: CallId,
        /// The tokens.
        demand: TokenDemand,
        /// Time after which the reservation is no longer needed.
        deadline: Millis,
    },
    /// The request of a reservation has ended.
    Settle {
        /// The reservation.
        call: CallId,
        /// Tokens that it used.
        used: u64,
    },
    /// Totals of the budgets, and the policy, from the configuration in force.
    Configure {
        /// Total of each budget, in tokens.
        limits: BTreeMap<BudgetId, u64>,
        /// Settings of the ledger, of which the numbers of witnesses and acknowledgements are used.
        policy: Ledger,
    },
    /// The other routers, as far as they are known. Replaces the previous list.
    Peers(Vec<Peer>),
    /// A message from another router.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: Box<PrepaidMessage>,
    },
    /// Result of a call to the store.
    Store {
        /// Number of the call, from [`Action::Store`](super::Action::Store).
        op: u64,
        /// Its result.
        result: StoreResult,
    },
    /// Era of the store. Expected before the result of any call that it answered in that era.
    StoreEra(u64),
    /// How far the clocks of the fleet differ.
    Clocks(ClockSpread),
    /// The store answered some router of the fleet at this time.
    StoreSeen(Millis),
    /// Time has passed. Expected about every 50 ms.
    Tick,
    /// The router is leaving and hands over or releases all accounts. Answered by
    /// [`Drained`](super::Action::Drained).
    Drain,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Incarnation, which identifies its current run.
    pub incarnation: Incarnation,
    /// Host, on which one router runs at a time.
    pub host: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Processor time of its host, in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// State of the member, as far as this router knows.
    pub state: MemberState,
    /// Whether it reaches the store.
    pub store_up: bool,
}

impl Peer {
    /// Whether messages reach it.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }
}
