use std::{future::Future, sync::Arc};

use tokio::sync::watch;
use toucanchute_core::{
    origins::{StreamId, StreamOrigin},
    placement::LinkRequest,
    routing::{AttemptReport, BackendNotice},
};
use toucanchute_proto::{AttemptId, BudgetId, Incarnation, Millis, config::Config, fleet::Load};

use super::{PlannedStop, ResponseRecord};
use crate::control::{AssignRequest, Assignment, Refusal};

/// The router's decisions that the gateway needs: tokens and backend servers for requests.
pub trait RouteControl: Send + Sync + 'static {
    /// Returns the configuration in force.
    fn config(&self) -> Arc<Config>;

    /// Returns why this router accepts no new requests, or `None` if it accepts them.
    fn unready(&self) -> Option<Refusal>;

    /// Returns the channel with the planned stop of the process, empty until one begins.
    fn planned_stop(&self) -> &watch::Receiver<Option<PlannedStop>>;

    /// Admits a request to the link of this router's host, or refuses it because the link cannot carry it.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with the time after which the request may be repeated.
    fn admit_to_link(&self, req: LinkRequest<'_>) -> Result<(), Refusal>;

    /// Reserves tokens of a request. Dropping the future releases them.
    fn reserve(
        &self,
        req: TokenRequest,
    ) -> impl Future<Output = Result<TokenReservation, TokenRefusal>> + Send;

    /// Ends a reservation of which the request used `used` tokens.
    fn settle(&self, reservation: TokenReservation, used: u64);

    /// Chooses a backend server. Waits in the queue as long as the request can still start in time;
    /// dropping the future removes the request from the queue.
    fn assign(
        &self,
        req: AssignRequest,
    ) -> impl Future<Output = Result<Assignment, Refusal>> + Send;

    /// Reports progress, a silence or the end of an attempt. Every assignment is ended by one report
    /// other than [`AttemptReport::FirstToken`], [`AttemptReport::Silent`] and
    /// [`AttemptReport::Resumed`].
    fn report(&self, attempt: AttemptId, report: AttemptReport);

    /// Reports a backend server's load as stated in its response.
    fn report_load(&self, load: Load);

    /// Reports that a backend server announced in a response that it leaves or wants a pause.
    /// Called before the end of that attempt is reported.
    fn report_notice(&self, backend: &str, notice: BackendNotice);

    /// Records that a stream began, or goes on, at `origin`. Its caller may take it up again for `keep`.
    /// Resolves once other routers know it as well, or after a short time in which none answered.
    fn record_stream(
        &self,
        stream: StreamId,
        origin: StreamOrigin,
        keep: Millis,
    ) -> impl Future<Output = ()> + Send;

    /// Whether several versions of software serve `service`, or began streams that callers may take up.
    fn has_several_versions(&self, service: &str) -> bool;

    /// Whether `backend`, in the run that its registration describes, was registered at `at` or later, as
    /// far as is known.
    fn was_registered_at(&self, backend: &str, at: Millis) -> bool;

    /// Returns what began a stream that `service` would go on with, or `None` if that is not known.
    fn find_origin(
        &self,
        stream: StreamId,
        service: &str,
    ) -> impl Future<Output = Option<StreamOrigin>> + Send;

    /// Records the head of a backend server's response for metrics.
    fn record_response(&self, response: &ResponseRecord);

    /// Records the end of a request for metrics.
    fn record_end(&self, end: &RequestEnd<'_>);
}

/// A request to reserve tokens of a budget.
#[derive(Clone, Debug)]
pub struct TokenRequest {
    /// The caller's identifier of the request, for the event log; empty if it has none.
    pub request: String,
    /// Budget of the customer.
    pub budget: BudgetId,
    /// Tokens to reserve.
    pub tokens: u64,
    /// Further tokens that the request may need later. It is admitted only if there is room for them.
    pub rest: u64,
    /// Reservation of the same request before this one; absent for the first.
    pub extends: Option<u64>,
    /// Time after which the caller does not want the response, since the Unix epoch.
    pub deadline: Millis,
}

/// Tokens reserved for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct TokenReservation {
    /// Identifies the reservation within this router.
    pub id: u64,
    /// Number of tokens reserved.
    pub tokens: u64,
    /// Router that spends from the budget.
    pub owner: Incarnation,
}

/// A request for tokens that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRefusal {
    /// Why no tokens were reserved.
    pub reason: TokenRefusalReason,
    /// Time after which a retry may succeed, where that helps.
    pub retry_after: Option<Millis>,
}

/// Reason of a [`TokenRefusal`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenRefusalReason {
    /// What is left of the budget does not cover the request.
    Exhausted,
    /// Tokens that other requests have reserved would have to be returned first.
    Held,
    /// The budget's owner could not be reached in time.
    Unavailable,
    /// The router is stopping.
    Stopping,
}

impl TokenRefusalReason {
    /// Returns the name in logs, metrics and responses.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            TokenRefusalReason::Exhausted => "budget-exhausted",
            TokenRefusalReason::Held => "budget-held",
            TokenRefusalReason::Unavailable => "budget-unavailable",
            TokenRefusalReason::Stopping => "stopping",
        }
    }
}

/// How a request ended, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct RequestEnd<'a> {
    /// Name of the route; empty if none matched.
    pub route: &'a str,
    /// HTTP status of the response.
    pub status: u16,
    /// Short name of the outcome, as in the log.
    pub outcome: &'a str,
    /// Time to the head of the response, in milliseconds.
    pub first_ms: u64,
}
