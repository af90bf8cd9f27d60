use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis, config::Ledger, fleet::MemberState, prepaid::PrepaidMessage,
};

use super::ClockSpread;
use crate::ledger::StoreResult;

/// A request for tokens, numbered by its router and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a [`PrepaidAccounts`](super::PrepaidAccounts) machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Asks to set tokens aside. Answered by [`Reserved`](super::Action::Reserved) or
    /// [`Refused`](super::Action::Refused).
    Reserve {
        /// The request; it also names the reservation.
        call: CallId,
        /// Budget of the customer.
        budget: BudgetId,
        /// Worst case, in tokens.
        tokens: u64,
        /// Time after which the reservation is of no use.
        deadline: Millis,
    },
    /// The request of a reservation has ended.
    Settle {
        /// The reservation.
        call: CallId,
        /// Tokens that it used.
        used: u64,
    },
    /// Totals of the budgets and policy, as the configuration in force has them.
    Configure {
        /// Tokens that may be spent of each budget, in all.
        limits: BTreeMap<BudgetId, u64>,
        /// Number of witnesses and acknowledgements, time that a draw should last.
        policy: Ledger,
    },
    /// The other routers, as far as they are known; replaces the list before.
    Peers(Vec<Peer>),
    /// A message from another router.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: PrepaidMessage,
    },
    /// Result of a call to the store.
    Store {
        /// The call's number.
        op: u64,
        /// Its result.
        result: StoreResult,
    },
    /// How far the fleet's clocks are apart.
    Clocks(ClockSpread),
    /// The store was known to answer some router at this time.
    StoreSeen(Millis),
    /// Time has passed. Wanted every 50 ms or so.
    Tick,
    /// The router is leaving: give all accounts away. Answered by
    /// [`Drained`](super::Action::Drained).
    Drain,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its present run.
    pub incarnation: Incarnation,
    /// Its host, on which one router runs at a time.
    pub host: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Processor time of its host, in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// What is believed of it.
    pub state: MemberState,
    /// Whether it reaches the store.
    pub store_up: bool,
}

impl Peer {
    /// Whether it takes messages.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Leaving)
    }
}
