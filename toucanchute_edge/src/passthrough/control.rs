use std::{future::Future, sync::Arc};

use toucanchute_core::routing::{BackendWord, Report};
use toucanchute_proto::{AttemptId, BudgetId, Incarnation, Millis, config::Config, fleet::Load};

use super::Failure;
use crate::control::{AssignRequest, Assignment, Refusal};

/// The router's decisions, as the gateway asks for them.
pub trait RouteControl: Send + Sync + 'static {
    /// Returns the configuration in force.
    fn config(&self) -> Arc<Config>;

    /// Returns why this router takes no new work, if it takes none.
    fn unready(&self) -> Option<Refusal>;

    /// Whether the router is leaving, so that callers should use another one.
    fn is_leaving(&self) -> bool;

    /// Sets the worst case of a request aside. Dropping the future gives it back.
    fn reserve(
        &self,
        req: TokenRequest,
    ) -> impl Future<Output = Result<TokenReservation, Failure>> + Send;

    /// Tells how many tokens a request used of those set aside.
    fn settle(&self, hold: TokenReservation, used: u64);

    /// Chooses a backend server; waits in the queue while the request can still start in time.
    /// Dropping the future gives the place up.
    fn assign(
        &self,
        req: AssignRequest,
    ) -> impl Future<Output = Result<Assignment, Refusal>> + Send;

    /// Reports progress or the end of an attempt. Every assignment is ended by one report other
    /// than [`Report::FirstToken`].
    fn report(&self, attempt: AttemptId, report: Report);

    /// Tells a backend server's load, as its answer said.
    fn report_load(&self, load: Load);

    /// Tells what a backend server said of itself in an answer, before that answer's end is reported.
    fn report_notice(&self, backend: &str, notice: BackendWord);

    /// Counts a request that has ended.
    fn record_end(&self, end: &RequestEnd<'_>);
}

/// A request for tokens.
#[derive(Clone, Debug)]
pub struct TokenRequest {
    /// The caller's id of the request, for the event log; empty if it has none.
    pub request: String,
    /// Budget of the customer.
    pub budget: BudgetId,
    /// Worst case, in tokens.
    pub tokens: u64,
    /// Time after which the answer is of no use.
    pub deadline: Millis,
}

/// Tokens set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct TokenReservation {
    /// Identifies the reservation within this router.
    pub id: u64,
    /// Tokens set aside.
    pub tokens: u64,
    /// Router that spends from the budget.
    pub owner: Incarnation,
}

/// How a request ended, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd<'a> {
    /// Name of the route; empty if none fits.
    pub route: &'a str,
    /// Status of the answer.
    pub status: u16,
    /// What became of it, in a word.
    pub outcome: &'a str,
    /// Time to the answer's head, in milliseconds.
    pub first_ms: u64,
}
