use std::{future::Future, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use toucanchute_core::routing::{self, AttemptReport, RoutingRequest, Target};
use toucanchute_proto::{AttemptId, BudgetId, Digest, Millis, RequestKey, config::Config};

/// The router's decisions, as the HTTP edge asks for them.
///
/// Each future may be dropped only before it resolves to a value that has to be given back: the
/// edge runs a request in a task of its own, so that a caller's disconnect does not drop one.
pub trait Control: Send + Sync + 'static {
    /// Returns the configuration in force.
    fn config(&self) -> Arc<Config>;

    /// Returns the addresses that callers may use now, best first.
    fn addresses(&self) -> AddressList;

    /// Returns why this router takes no new work, if it takes none.
    fn unready(&self) -> Option<Refusal>;

    /// Reserves the worst case of a request out of the customer's budget.
    fn reserve(
        &self,
        req: ReserveRequest,
    ) -> impl Future<Output = Result<Reservation, Refusal>> + Send;

    /// Bills a reservation. Only after [`Settlement::Billed`] or [`Settlement::Duplicate`] may the
    /// end of the answer be sent.
    fn settle(
        &self,
        reservation: Reservation,
        tokens: u64,
    ) -> impl Future<Output = Result<Settlement, Refusal>> + Send;

    /// Gives back a reservation of a request that is not billed.
    fn release(&self, reservation: Reservation);

    /// Commits that a non-idempotent call is about to be sent. Bills the call's price.
    fn commit_intent(
        &self,
        req: IntentRequest,
    ) -> impl Future<Output = Result<IntentDecision, Refusal>> + Send;

    /// Records how a call ended whose intent was accepted.
    fn record_outcome(&self, key: RequestKey, recorded: CallOutcome);

    /// Chooses a backend server; waits in the queue while the request can still start in time.
    fn assign(
        &self,
        req: AssignRequest,
    ) -> impl Future<Output = Result<Assignment, Refusal>> + Send;

    /// Reports progress or the end of an attempt. Every assignment is ended by one report other
    /// than [`AttemptReport::FirstToken`].
    fn report(&self, attempt: AttemptId, report: AttemptReport);

    /// Answers an operator's request under `/v1/admin/`: status code and JSON body.
    fn admin(
        &self,
        method: http::Method,
        path: String,
        body: Bytes,
    ) -> impl Future<Output = (http::StatusCode, serde_json::Value)> + Send;
}

/// Addresses for callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList {
    /// Addresses of the callers' side, best first; leaving hosts are not in it.
    pub addresses: Vec<SocketAddr>,
    /// How long the list may be kept.
    pub max_age: Millis,
}

/// A request for tokens out of a budget.
#[derive(Clone, Debug)]
pub struct ReserveRequest {
    /// Budget of the customer.
    pub budget: BudgetId,
    /// The caller's key, or a fresh one.
    pub key: RequestKey,
    /// Digest of target and body, to detect a key used for another request.
    pub digest: Digest,
    /// Worst case of the request, in tokens.
    pub tokens: u64,
    /// Time after which the key is forgotten, since the Unix epoch.
    pub expires: Millis,
    /// Time after which the caller does not want the answer, since the Unix epoch.
    pub deadline: Millis,
}

/// Tokens set aside for one request.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Reservation {
    /// The request's key.
    pub key: RequestKey,
    /// Identifies the reservation within this router.
    pub id: u64,
    /// Tokens reserved; may be less than asked for when the budget runs out.
    pub tokens: u64,
}

/// How a reservation was billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The request is billed.
    Billed,
    /// An earlier run under the same key was billed; this one costs nothing.
    Duplicate,
}

/// A request to commit a non-idempotent call.
#[derive(Clone, Debug)]
pub struct IntentRequest {
    /// Budget of the customer.
    pub budget: BudgetId,
    /// The caller's key, or a fresh one.
    pub key: RequestKey,
    /// Digest of target and body, to detect a key used for another request.
    pub digest: Digest,
    /// Price of the call, in tokens.
    pub tokens: u64,
    /// Time after which the key is forgotten, since the Unix epoch.
    pub expires: Millis,
    /// Time after which the caller does not want the answer, since the Unix epoch.
    pub deadline: Millis,
}

/// What became of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentDecision {
    /// The intent is committed and this router alone may send the call, once.
    Accepted,
    /// The call ran earlier under this key, with this answer.
    Recorded(ServiceAnswer),
}

/// How a call ended whose intent was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran and gave this answer; later requests under its key get the answer again.
    Answer(ServiceAnswer),
    /// It provably did not run; its price is refunded and its key is free.
    NotRun,
    /// It may have run; later requests under its key are told so and never run it.
    Unknown,
}

/// A plain service's answer.
///
/// The edge bounds a body that it records: of a larger one it records the status and a JSON
/// document that names the body's size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if none.
    pub content_type: String,
    /// Whole body.
    pub body: Bytes,
}

/// A request for a backend server.
#[derive(Clone, Debug)]
pub struct AssignRequest {
    /// What is asked for.
    pub target: Target,
    /// The customer's name, for fairness.
    pub customer: String,
    /// The customer's share among customers of one priority.
    pub weight: u32,
    /// Higher goes first.
    pub priority: u8,
    /// Digest of target and body, to recognize a request that crashes backend servers.
    pub digest: Digest,
    /// Hashes of the prompt's leading blocks, longest prefix last; empty for services.
    pub prefix: Vec<u64>,
    /// Hash of what the request shares with others that should run on the same backend server.
    pub affinity: Option<u64>,
    /// Expected work, in tokens.
    pub tokens: u64,
    /// Number of earlier attempts of this request by this router.
    pub attempts: u32,
    /// Names of backend servers that failed this request.
    pub exclude: Vec<String>,
    /// Time by which the first byte has to arrive, since the Unix epoch.
    pub deadline: Millis,
}

impl AssignRequest {
    /// Returns what a dispatcher is asked under the number `call`.
    #[must_use]
    pub fn into_routing_request(self, call: u64) -> RoutingRequest {
        RoutingRequest {
            call,
            target: self.target,
            customer: self.customer,
            weight: self.weight,
            priority: self.priority,
            digest: self.digest,
            prefix: self.prefix,
            affinity: self.affinity,
            tokens: self.tokens,
            attempts: self.attempts,
            exclude: self.exclude,
            deadline: self.deadline,
        }
    }
}

/// A backend server chosen for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Assignment {
    /// The attempt's identifier, to be sent along and matched in the answer.
    pub attempt: AttemptId,
    /// Name of the backend server.
    pub backend: String,
    /// Address of the backend server.
    pub address: SocketAddr,
}

/// What became of a request, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It did not run and will not.
    NotRun,
    /// It ran in part; it is idempotent and may be sent again.
    Failed,
    /// It may have run; it will not be run again.
    Unknown,
}

/// Why a request is given up on. It is told to the caller at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The budget has not enough tokens left.
    BudgetExhausted,
    /// Tokens could not be granted in time; other routers may hold some.
    GrantUnavailable,
    /// The work cannot start in time.
    Overloaded,
    /// No backend server is fit to serve it.
    NoBackend,
    /// All backend servers that could serve it asked for rest.
    Resting,
    /// The retry budget is used up.
    RetriesExhausted,
    /// This request crashed backend servers before.
    Quarantined,
    /// The key was used for another request.
    KeyReused,
    /// The key has expired.
    KeyExpired,
    /// A call under this key is still running.
    InProgress,
    /// A call under this key may have run and will not be run again.
    UnknownOutcome,
    /// The key was billed and run again too often.
    TooManyReruns,
    /// The ledger could not be reached.
    LedgerUnavailable,
    /// The grant was reclaimed before the bill was committed.
    GrantReclaimed,
    /// The router's view of configuration and withdrawals is too old.
    StaleView,
    /// The router is leaving.
    Draining,
    /// The router has no configuration yet.
    Starting,
}

impl From<routing::RefusalReason> for RefusalReason {
    fn from(reason: routing::RefusalReason) -> RefusalReason {
        match reason {
            routing::RefusalReason::NoBackend => RefusalReason::NoBackend,
            routing::RefusalReason::BackingOff => RefusalReason::Resting,
            routing::RefusalReason::RetriesExhausted => RefusalReason::RetriesExhausted,
            routing::RefusalReason::Quarantined => RefusalReason::Quarantined,
            _ => RefusalReason::Overloaded,
        }
    }
}

/// A request that is given up on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// What became of the request.
    pub outcome: RequestOutcome,
    /// When to come back, where that helps.
    pub retry_after: Option<Millis>,
    /// Address of a router that is more likely to serve it.
    pub elsewhere: Option<SocketAddr>,
}
