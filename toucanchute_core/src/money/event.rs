use toucanchute_proto::{
    BudgetId, Digest, GrantId, Incarnation, Millis, RequestKey, config::Ledger, ledger::Answer,
    money::MoneyMessage,
};

use crate::ledger::StoreResult;

/// A call of the router to its money machine, numbered by the router and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a [`Money`](super::Money) machine is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// Asks for tokens for a request that may run more than once. Answered by
    /// [`Reserved`](super::Action::Reserved) or [`Refused`](super::Action::Refused).
    Reserve {
        /// The call; it also names the reservation.
        call: CallId,
        /// Budget of the customer.
        budget: BudgetId,
        /// The request's key.
        key: RequestKey,
        /// Digest of the request.
        digest: Digest,
        /// Worst case, in tokens.
        tokens: u64,
        /// Time after which the key is forgotten.
        expires: Millis,
        /// Time after which the reservation is of no use.
        deadline: Millis,
    },
    /// Bills a reservation. Answered by [`Settled`](super::Action::Settled) or
    /// [`Refused`](super::Action::Refused).
    Settle {
        /// The reservation.
        call: CallId,
        /// Tokens used; at least 1 and at most those reserved are billed.
        tokens: u64,
    },
    /// Gives back a reservation that is not billed. Not answered.
    Release {
        /// The reservation.
        call: CallId,
    },
    /// Asks to commit that a non-idempotent call is about to be sent. Answered by
    /// [`Accepted`](super::Action::Accepted), [`Recorded`](super::Action::Recorded) or
    /// [`Refused`](super::Action::Refused); only the first allows the call to be sent, once.
    CommitIntent {
        /// The call.
        call: CallId,
        /// Budget of the customer.
        budget: BudgetId,
        /// The request's key.
        key: RequestKey,
        /// Digest of the request.
        digest: Digest,
        /// Price, in tokens; may be 0.
        tokens: u64,
        /// Time after which the key is forgotten.
        expires: Millis,
        /// Time after which the call must not be sent.
        deadline: Millis,
    },
    /// Tells how an accepted call ended. Not answered.
    RecordOutcome {
        /// The request's key.
        key: RequestKey,
        /// How it ended.
        answer: Answer,
    },
    /// Adds tokens to a budget, once by `id`. Answered by
    /// [`ToppedUp`](super::Action::ToppedUp) or [`Refused`](super::Action::Refused).
    TopUp {
        /// The call.
        call: CallId,
        /// The operator's name for this top-up.
        id: String,
        /// The budget.
        budget: BudgetId,
        /// Tokens to add.
        tokens: u64,
    },
    /// Closes a forfeited grant; its remainder counts as spent. Answered by
    /// [`WrittenOff`](super::Action::WrittenOff) or [`Refused`](super::Action::Refused).
    WriteOff {
        /// The call.
        call: CallId,
        /// Budget of the grant.
        budget: BudgetId,
        /// The grant.
        grant: GrantId,
    },
    /// Asks for the account of a budget. Answered by
    /// [`Statement`](super::Action::Statement) or [`Refused`](super::Action::Refused).
    Statement {
        /// The call.
        call: CallId,
        /// The budget.
        budget: BudgetId,
    },
    /// Another configuration is in force: its policy of grants, witnesses and reclaim counts from
    /// now on. Shards and ring stay as they were when the machine was created.
    Configure(Ledger),
    /// The other routers, as far as they are known. One that is missing counts as gone.
    Peers(Vec<Peer>),
    /// A message from another router.
    Message {
        /// The sender.
        from: Incarnation,
        /// The message.
        message: MoneyMessage,
    },
    /// Result of a call to the platform's service.
    Store {
        /// The call's number.
        op: u64,
        /// Its result.
        result: StoreResult,
    },
    /// Time has passed.
    Tick,
    /// The router is leaving: give everything back. Answered by
    /// [`Drained`](super::Action::Drained) when nothing is left.
    Drain,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its present run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it can be reached.
    pub state: PeerState,
}

/// Whether another router can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It has not answered for a while.
    Suspect,
    /// It is taken for dead or cut off.
    Gone,
}
