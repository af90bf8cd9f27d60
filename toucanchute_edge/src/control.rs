use std::{future::Future, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use toucanchute_core::routing::{
    self, AttemptReport, RegionNeed, RoutingRequest, SoftwareNeed, Target, part_digest,
};
use toucanchute_proto::{AttemptId, BudgetId, Digest, Millis, RequestKey, config::Config};

use crate::run_record::NotRun;

/// The router's decisions that the HTTP edge depends on.
///
/// A future may be dropped only before it resolves to a value that has to be settled, released or
/// reported, such as a [`Reservation`] or an [`Assignment`]. The edge therefore runs each request
/// in a task of its own, which continues when the caller disconnects.
pub trait Control: Send + Sync + 'static {
    /// Returns the configuration in force.
    fn config(&self) -> Arc<Config>;

    /// Returns the addresses that callers may use at present, best first.
    fn addresses(&self) -> AddressList;

    /// Returns the refusal for new requests while this router accepts none, `None` while it does.
    fn unready(&self) -> Option<Refusal>;

    /// Reserves the largest number of tokens that a request may use from the customer's budget.
    fn reserve(
        &self,
        req: ReserveRequest,
    ) -> impl Future<Output = Result<Reservation, Refusal>> + Send;

    /// Bills `tokens` of a reservation.
    ///
    /// The end of the answer may be sent only after [`Settlement::Billed`] or
    /// [`Settlement::Duplicate`].
    fn settle(
        &self,
        reservation: Reservation,
        tokens: u64,
    ) -> impl Future<Output = Result<Settlement, Refusal>> + Send;

    /// Releases the reservation of a request that is not billed.
    fn release(&self, reservation: Reservation);

    /// Commits to the ledger that a non-idempotent call is about to be sent, and bills its price.
    fn commit_intent(
        &self,
        req: IntentRequest,
    ) -> impl Future<Output = Result<IntentDecision, Refusal>> + Send;

    /// Records the outcome of a call whose intent was accepted.
    fn record_outcome(&self, key: RequestKey, outcome: CallOutcome);

    /// Assigns a backend server; queues the request as long as it can still start before its
    /// deadline.
    fn assign(
        &self,
        req: AssignRequest,
    ) -> impl Future<Output = Result<Assignment, Refusal>> + Send;

    /// Reports the progress, a silence or the end of an attempt. Exactly one report other than
    /// [`AttemptReport::FirstToken`], [`AttemptReport::Silent`] and [`AttemptReport::Resumed`] ends
    /// every assignment.
    fn report(&self, attempt: AttemptId, report: AttemptReport);

    /// Serves an operator's request under `/v1/admin/`; returns status code and JSON body.
    fn admin(
        &self,
        method: http::Method,
        path: String,
        body: Bytes,
    ) -> impl Future<Output = (http::StatusCode, serde_json::Value)> + Send;
}

/// List of the router addresses that callers may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressList {
    /// Addresses of the routers' listeners for callers, best first, without draining hosts.
    pub addresses: Vec<SocketAddr>,
    /// How long a caller may use the list.
    pub max_age: Millis,
}

/// A request to reserve tokens of a budget.
#[derive(Clone, Debug)]
pub struct ReserveRequest {
    /// Budget of the customer.
    pub budget: BudgetId,
    /// Key derived from the caller's idempotency key; random if there is none.
    pub key: RequestKey,
    /// Digest of request target and body, to detect a key that is reused for another request.
    pub digest: Digest,
    /// Largest number of tokens that the request may use.
    pub tokens: u64,
    /// Time at which the key expires, since the Unix epoch.
    pub expires: Millis,
    /// Time by which the answer has to begin, since the Unix epoch.
    pub deadline: Millis,
}

/// Tokens reserved for one request.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Reservation {
    /// The request's key.
    pub key: RequestKey,
    /// Identifier of the reservation, unique within this router.
    pub id: u64,
    /// Reserved tokens; fewer than requested if the budget is nearly exhausted.
    pub tokens: u64,
}

/// How a reservation was billed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The request is billed.
    Billed,
    /// An earlier run under the same key was billed; this run is free.
    Duplicate,
}

/// A request to commit the intent to send a non-idempotent call.
#[derive(Clone, Debug)]
pub struct IntentRequest {
    /// Budget of the customer.
    pub budget: BudgetId,
    /// Key derived from the caller's idempotency key; random if there is none.
    pub key: RequestKey,
    /// Digest of request target and body, to detect a key that is reused for another request.
    pub digest: Digest,
    /// Price of the call, in tokens.
    pub tokens: u64,
    /// Time at which the key expires, since the Unix epoch.
    pub expires: Millis,
    /// Time by which the answer has to begin, since the Unix epoch.
    pub deadline: Millis,
}

/// The decision on an [`IntentRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentDecision {
    /// The intent is committed; only this router may send the call, and only once.
    Accepted,
    /// The call already ran under this key; the recorded answer is to be sent again.
    Recorded(ServiceAnswer),
}

/// Outcome of a call whose intent was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call ran; later requests under its key receive the same answer.
    Answer(ServiceAnswer),
    /// The call provably did not run; its price is refunded and its key may be used again.
    NotRun(NotRun),
    /// The call may have run; later requests under its key are refused with
    /// [`RefusalReason::UnknownOutcome`] and never run it.
    Unknown,
}

/// The response of a plain service.
///
/// If its body exceeds the limit for recorded answers, the edge records only the status and a JSON
/// document with the size of the body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the response has none.
    pub content_type: String,
    /// Whole response body.
    pub body: Bytes,
}

/// A request to assign a backend server.
#[derive(Clone, Debug)]
pub struct AssignRequest {
    /// Requested model or service.
    pub target: Target,
    /// Name of the customer, to share capacity fairly among customers.
    pub customer: String,
    /// Weight of the customer among the customers of one priority.
    pub weight: u32,
    /// Priority of the customer; requests of a higher priority are assigned first.
    pub priority: u8,
    /// Digest of request target and body, to recognize a request that crashes backend servers.
    pub digest: Digest,
    /// Identifiers of the parts of the prompt that other requests may share; empty if the caller names
    /// none.
    pub parts: Vec<u64>,
    /// Hashes of the prompt's prefixes in whole blocks, longest prefix last; empty for services.
    pub prefix: Vec<u64>,
    /// Hash of the data that the request has in common with others that should run on the same
    /// backend server.
    pub affinity: Option<u64>,
    /// Expected work, in tokens.
    pub tokens: u64,
    /// Number of earlier attempts of this request by this router.
    pub attempts: u32,
    /// Names of the backend servers that already failed for this request. They are tried again if no
    /// other one has room.
    pub exclude: Vec<String>,
    /// Names of backend servers that have the request and are silent. It is never assigned to them.
    pub running_on: Vec<String>,
    /// Version of the software that may run it.
    pub software: SoftwareNeed,
    /// Regions in which it may run.
    pub regions: RegionNeed,
    /// Whether it may wait for a backend server, or is assigned at once or refused.
    pub may_wait: bool,
    /// Time by which the first byte of the answer has to arrive, since the Unix epoch.
    pub deadline: Millis,
}

impl AssignRequest {
    /// Converts this request into the dispatcher's form, with `call` as the number of its call.
    #[must_use]
    pub fn into_routing_request(self, call: u64) -> RoutingRequest {
        let parts = self.parts.iter();
        RoutingRequest {
            call,
            parts: parts.map(|&id| part_digest(&self.target, id)).collect(),
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
            running_on: self.running_on,
            software: self.software,
            regions: self.regions,
            may_wait: self.may_wait,
            deadline: self.deadline,
        }
    }
}

/// The backend server assigned to one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct Assignment {
    /// Identifier of the attempt; sent with the request and compared with that in the response.
    pub attempt: AttemptId,
    /// Name of the backend server.
    pub backend: String,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Whether the backend server is known to be rate limited.
    pub rate_limited: bool,
    /// Version of the backend server's software; `None` if unknown.
    pub software: Option<String>,
}

/// Outcome of a failed request, as sent to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request did not run and will not run.
    NotRun(NotRun),
    /// The request ran in part; it is idempotent and may be sent again.
    Failed,
    /// The request may have run and will not be run again.
    Unknown,
}

/// What a [`Refusal`] says of the request.
///
/// It is no promise to the caller: attempts that were begun before the refusal may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalOutcome {
    /// The refused step sent nothing to a backend server.
    NothingSent,
    /// The request ran; it is idempotent and may be sent again.
    Failed,
    /// The request may have run and will not be run again.
    Unknown,
}

/// Reason for a [`Refusal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum RefusalReason {
    /// The budget does not have enough tokens left.
    BudgetExhausted,
    /// Tokens could not be granted in time; other routers may hold some.
    GrantUnavailable,
    /// The request cannot start before its deadline.
    Overloaded,
    /// No backend server is able to serve the request.
    NoBackend,
    /// The failure domains of all backend servers that could serve the request are evacuated.
    Evacuated,
    /// There are backend servers for the request, but none in the regions in which it may run.
    OutsideRegions,
    /// All backend servers that could serve the request asked the router to back off.
    Resting,
    /// All backend servers that could serve the request named rate limits, which are used up.
    RateLimited,
    /// All backend servers that could serve the request have a limited rate, some of them as they warm
    /// up, and the permits are used up.
    WarmingUp,
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
    /// The key was billed, and its request run again, too often.
    TooManyReruns,
    /// The ledger could not be reached.
    LedgerUnavailable,
    /// The grant was reclaimed before the bill was committed.
    GrantReclaimed,
    /// The link of the router's host cannot carry the request now.
    HostBusy,
    /// The router's view of configuration and withdrawals is too old.
    StaleView,
    /// The router is draining.
    Draining,
    /// The router has no configuration yet.
    Starting,
}

impl From<routing::RefusalReason> for RefusalReason {
    fn from(reason: routing::RefusalReason) -> RefusalReason {
        match reason {
            routing::RefusalReason::NoBackend => RefusalReason::NoBackend,
            routing::RefusalReason::Evacuated => RefusalReason::Evacuated,
            routing::RefusalReason::OutsideRegions => RefusalReason::OutsideRegions,
            routing::RefusalReason::BackingOff => RefusalReason::Resting,
            routing::RefusalReason::RateLimited => RefusalReason::RateLimited,
            routing::RefusalReason::WarmingUp => RefusalReason::WarmingUp,
            routing::RefusalReason::RetriesExhausted => RefusalReason::RetriesExhausted,
            routing::RefusalReason::Quarantined => RefusalReason::Quarantined,
            _ => RefusalReason::Overloaded,
        }
    }
}

/// A request that the router refuses to serve. The caller is informed at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// What is known of the request.
    pub outcome: RefusalOutcome,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Millis>,
    /// Address of a router that is more likely to serve the request.
    pub elsewhere: Option<SocketAddr>,
}
