use toucanchute_proto::{
    BudgetId, Digest, GrantId, Incarnation, Millis, RequestKey, config::Ledger, ledger::Answer,
    money::MoneyMessage,
};

use crate::ledger::StoreResult;

/// Identifies a call that the router makes to its [`Money`](super::Money) state machine. The router
/// assigns the number and never reuses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Input of a [`Money`](super::Money) state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Reserves tokens for an idempotent request, which may run more than once. Answered by
    /// [`Reserved`](super::Action::Reserved) or [`Refused`](super::Action::Refused).
    Reserve {
        /// The call; it also identifies the reservation.
        call: CallId,
        /// Budget of the customer.
        budget: BudgetId,
        /// The request's key.
        key: RequestKey,
        /// Digest of the request.
        digest: Digest,
        /// Most tokens that the request may use.
        tokens: u64,
        /// Time after which the key is forgotten.
        expires: Millis,
        /// Time after which the caller no longer needs the reservation.
        deadline: Millis,
    },
    /// Bills the tokens used out of a reservation. Answered by
    /// [`Settled`](super::Action::Settled) or [`Refused`](super::Action::Refused).
    Settle {
        /// The reservation.
        call: CallId,
        /// Tokens used. The bill is at least 1 token and at most the tokens reserved.
        tokens: u64,
    },
    /// Releases a reservation without billing it. Not answered.
    Release {
        /// The reservation.
        call: CallId,
    },
    /// Commits the intent to send a non-idempotent call. Answered by
    /// [`Accepted`](super::Action::Accepted), [`Recorded`](super::Action::Recorded) or
    /// [`Refused`](super::Action::Refused); only `Accepted` allows the call to be sent, once.
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
    /// Records the outcome of an accepted call. Not answered.
    RecordOutcome {
        /// The request's key.
        key: RequestKey,
        /// The outcome.
        answer: Answer,
    },
    /// Adds tokens to a budget, at most once for each `id`. Answered by
    /// [`ToppedUp`](super::Action::ToppedUp) or [`Refused`](super::Action::Refused).
    TopUp {
        /// The call.
        call: CallId,
        /// Identifier of the top-up, chosen by the operator.
        id: String,
        /// The budget.
        budget: BudgetId,
        /// Tokens to add.
        tokens: u64,
    },
    /// Closes a forfeited grant and counts its remainder as spent. Answered by
    /// [`WrittenOff`](super::Action::WrittenOff) or [`Refused`](super::Action::Refused).
    WriteOff {
        /// The call.
        call: CallId,
        /// Budget of the grant.
        budget: BudgetId,
        /// The grant.
        grant: GrantId,
    },
    /// Requests the statement of a budget's account. Answered by
    /// [`Statement`](super::Action::Statement) or [`Refused`](super::Action::Refused).
    Statement {
        /// The call.
        call: CallId,
        /// The budget.
        budget: BudgetId,
    },
    /// Applies the policy for grants, witnesses and reclaims of a new configuration from now on.
    /// The number of shards and the size of the ring stay as they were when the state machine was
    /// created.
    Configure(Ledger),
    /// Replaces the list of known other routers. A router that is not in it counts as gone.
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
        /// Number of the store operation.
        op: u64,
        /// Its result.
        result: StoreResult,
    },
    /// Runs the work that is due by the current time.
    Tick,
    /// Starts to drain the router, which is about to leave: returns its grants and refuses new
    /// reservations and intents. Answered by [`Drained`](super::Action::Drained) when nothing is
    /// left to settle.
    Drain,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Incarnation of its present run.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its reachability.
    pub state: PeerState,
}

/// Reachability of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The router answers.
    Alive,
    /// The router has not answered recently.
    Suspect,
    /// The router is considered dead or partitioned from this one.
    Gone,
}
