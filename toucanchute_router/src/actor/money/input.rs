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

/// A question that is answered by one [`MoneyReply`] or refused.
#[derive(Debug)]
pub(crate) enum MoneyCall {
    /// Reserves tokens.
    Reserve(ReserveRequest),
    /// Bills a reservation.
    Settle {
        /// The reservation.
        id: u64,
        /// Tokens used.
        tokens: u64,
    },
    /// Commits an intent.
    CommitIntent(IntentRequest),
    /// Adds tokens to a budget, once by `id`.
    TopUp {
        /// The operator's name for it.
        id: String,
        /// The budget.
        budget: BudgetId,
        /// Tokens to add.
        tokens: u64,
    },
    /// Closes a forfeited grant.
    WriteOff {
        /// Budget of the grant.
        budget: BudgetId,
        /// The grant.
        grant: GrantId,
    },
    /// Asks for the account of a budget.
    Statement {
        /// The budget.
        budget: BudgetId,
    },
}

/// Answer to a [`MoneyCall`].
#[derive(Debug)]
pub(crate) enum MoneyReply {
    /// Tokens are set aside.
    Reserved {
        /// The reservation.
        id: u64,
        /// Tokens reserved.
        tokens: u64,
    },
    /// The reservation is billed.
    Settled(Settlement),
    /// The intent is committed.
    Accepted,
    /// The call ran earlier.
    Recorded(ServiceAnswer),
    /// The top-up is committed.
    ToppedUp,
    /// The grant is closed.
    WrittenOff,
    /// The account, as a JSON document.
    Statement(Value),
}

/// Input of a [`MoneyActor`].
#[derive(Debug)]
pub(crate) enum MoneyInput {
    /// A question.
    Call(MoneyCall, oneshot::Sender<Result<MoneyReply, Refusal>>),
    /// A reservation is not billed.
    Release {
        /// The reservation.
        id: u64,
    },
    /// An accepted call ended.
    RecordOutcome(RequestKey, CallOutcome),
    /// Another configuration is in force.
    Config(Arc<Config>),
    /// The other routers and the addresses of their callers' sides.
    Peers(Vec<Peer>, HashMap<Incarnation, SocketAddr>),
    /// A peer sent a message.
    Message(Incarnation, Box<MoneyMessage>),
    /// The platform answered a call.
    Store {
        /// Number of the call.
        op: u64,
        /// Its result.
        result: StoreResult,
    },
    /// The process leaves: return all grants.
    Drain,
    /// The time has come for which the machine asked.
    Wake(Millis),
    /// Time passed.
    Tick,
}
