use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde_json::Value;
use tokio::sync::oneshot;
use toucanchute_core::{ledger::StoreResult, money::Peer};
use toucanchute_edge::{
    CallOutcome, IntentRequest, Refusal, ReserveRequest, ServiceAnswer, Settlement,
};
use toucanchute_proto::{
    BudgetId, GrantId, Incarnation, Millis, RequestKey, config::Config, money::MoneyMessage,
};

/// A call to the money machine, answered by one [`MoneyReply`] or by a refusal.
#[derive(Debug)]
pub(crate) enum MoneyCall {
    /// Reserves tokens for a request.
    Reserve(ReserveRequest),
    /// Bills a reservation.
    Settle {
        /// Identifier of the reservation.
        id: u64,
        /// Tokens used.
        tokens: u64,
    },
    /// Commits the intent to run a call of a plain service.
    CommitIntent(IntentRequest),
    /// Adds tokens to a budget, only once for each `id`.
    TopUp {
        /// The operator's identifier of the top-up.
        id: String,
        /// Budget to which the tokens are added.
        budget: BudgetId,
        /// Tokens to add.
        tokens: u64,
    },
    /// Writes off a forfeited grant.
    WriteOff {
        /// Budget of the grant.
        budget: BudgetId,
        /// The grant.
        grant: GrantId,
    },
    /// Queries the statement of a budget.
    Statement {
        /// Budget of the statement.
        budget: BudgetId,
    },
}

/// Successful result of a [`MoneyCall`].
#[derive(Debug)]
pub(crate) enum MoneyReply {
    /// Tokens are reserved.
    Reserved {
        /// Identifier of the reservation.
        id: u64,
        /// Tokens reserved.
        tokens: u64,
    },
    /// The reservation was billed now or earlier.
    Settled(Settlement),
    /// The intent is committed, so that the call may run.
    Accepted,
    /// A call with the same key ran earlier and gave this answer.
    Recorded(ServiceAnswer),
    /// The tokens of the top-up are in the budget.
    ToppedUp,
    /// The grant is written off.
    WrittenOff,
    /// The statement of the budget, as a JSON document.
    Statement(Value),
}

/// Input of a [`MoneyActor`].
#[derive(Debug)]
pub(crate) enum MoneyInput {
    /// A call and the receiver of its result.
    Call(MoneyCall, oneshot::Sender<Result<MoneyReply, Refusal>>),
    /// Cancels a reservation without billing it.
    Release {
        /// Identifier of the reservation.
        id: u64,
    },
    /// The call of an accepted intent ended.
    RecordOutcome(RequestKey, CallOutcome),
    /// Another configuration is in force.
    Config(Arc<Config>),
    /// The other routers, and their addresses for callers. Replaces the previous lists.
    Peers(Vec<Peer>, HashMap<Incarnation, SocketAddr>),
    /// A message from another router.
    Message(Incarnation, Box<MoneyMessage>),
    /// A call to the platform's store ended.
    Store {
        /// Number of the call.
        op: u64,
        /// Result of the call.
        result: StoreResult,
    },
    /// The process is leaving: returns all grants.
    Drain,
    /// A tick that the machine requested for this time is due.
    Wake(Millis),
    /// Time has passed. Sent about every 50 ms.
    Tick,
}
