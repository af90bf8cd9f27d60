use std::{
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use http::{Method, StatusCode};
use tokio::sync::oneshot;
use toucanchute_edge::{
    AddressList, AssignRequest, Assignment, AttemptReport, CallOutcome, Control, IntentDecision,
    IntentRequest, Refusal, RefusalOutcome, RefusalReason, Reservation, ReserveRequest, Settlement,
};
use toucanchute_proto::{AttemptId, RequestKey, config::Config};
use xtra::prelude::*;

use crate::{
    actor::{
        AssignBackend, DispatchActor, DispatchInput, MoneyActor, MoneyCall, MoneyInput, MoneyReply,
        post,
    },
    admin::AdminApi,
    clock,
    metrics::Metrics,
    view::RouterView,
};

/// Connects the HTTP edge to the actors, the view and the metrics.
pub(crate) struct RouterControl {
    view: Arc<RouterView>,
    money: Address<MoneyActor>,
    dispatch: Address<DispatchActor>,
    admin: AdminApi,
    metrics: Metrics,
    in_flight: Arc<AtomicU64>,
}

/// Components of a [`RouterControl`].
pub(crate) struct ControlParts {
    /// State that the fleet actor publishes for the HTTP edge.
    pub(crate) view: Arc<RouterView>,
    /// Actor that owns the grants and the ledger.
    pub(crate) money: Address<MoneyActor>,
    /// Actor that chooses backend servers.
    pub(crate) dispatch: Address<DispatchActor>,
    /// Handler of operators' requests.
    pub(crate) admin: AdminApi,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Number of reservations and calls in progress.
    pub(crate) in_flight: Arc<AtomicU64>,
}

impl RouterControl {
    /// Creates the control.
    pub(crate) fn new(parts: ControlParts) -> RouterControl {
        let ControlParts {
            view,
            money,
            dispatch,
            admin,
            metrics,
            in_flight,
        } = parts;
        RouterControl {
            view,
            money,
            dispatch,
            admin,
            metrics,
            in_flight,
        }
    }

    async fn call_money(&self, call: MoneyCall) -> Result<MoneyReply, Refusal> {
        let (reply, reply_rx) = oneshot::channel();
        post(&self.money, MoneyInput::Call(call, reply));
        reply_rx.await.unwrap_or_else(|_| Err(actor_stopped()))
    }

    fn request_started(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    fn request_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    fn record_refusal<T>(&self, result: Result<T, Refusal>) -> Result<T, Refusal> {
        result.inspect_err(|refusal| self.metrics.record_refusal(refusal.reason))
    }

    /// Returns the assignment, or releases it and refuses the request if the view on which it is
    /// based has become too old in the meantime. A router that is leaving still serves the requests
    /// that it has accepted.
    fn check_view_age(&self, assignment: Assignment) -> Result<Assignment, Refusal> {
        match self.view.unready(clock::now()) {
            Some(refusal) if refusal.reason == RefusalReason::StaleView => {
                self.report(assignment.attempt, AttemptReport::NotTried);
                Err(refusal)
            }
            _ => Ok(assignment),
        }
    }
}

impl Control for RouterControl {
    fn config(&self) -> Arc<Config> {
        self.view.config()
    }

    fn addresses(&self) -> AddressList {
        self.view.addresses()
    }

    fn unready(&self) -> Option<Refusal> {
        self.view.unready(clock::now())
    }

    // --- money

    async fn reserve(&self, req: ReserveRequest) -> Result<Reservation, Refusal> {
        let key = req.key;
        let reply = self.record_refusal(self.call_money(MoneyCall::Reserve(req)).await)?;
        match reply {
            MoneyReply::Reserved { id, tokens } => {
                self.request_started();
                Ok(Reservation { key, id, tokens })
            }
            _ => Err(actor_stopped()),
        }
    }

    async fn settle(&self, reservation: Reservation, tokens: u64) -> Result<Settlement, Refusal> {
        let id = reservation.id;
        let result = self.record_refusal(self.call_money(MoneyCall::Settle { id, tokens }).await);
        self.request_ended();
        match result? {
            MoneyReply::Settled(settlement) => {
                self.metrics.record_settlement(tokens);
                Ok(settlement)
            }
            _ => Err(actor_stopped()),
        }
    }

    fn release(&self, reservation: Reservation) {
        post(&self.money, MoneyInput::Release { id: reservation.id });
        self.request_ended();
    }

    async fn commit_intent(&self, req: IntentRequest) -> Result<IntentDecision, Refusal> {
        match self.record_refusal(self.call_money(MoneyCall::CommitIntent(req)).await)? {
            MoneyReply::Accepted => {
                self.request_started();
                Ok(IntentDecision::Accepted)
            }
            MoneyReply::Recorded(answer) => Ok(IntentDecision::Recorded(answer)),
            _ => Err(actor_stopped()),
        }
    }

    fn record_outcome(&self, key: RequestKey, recorded: CallOutcome) {
        post(&self.money, MoneyInput::RecordOutcome(key, recorded));
        self.request_ended();
    }

    // --- routing

    fn assign(
        &self,
        req: AssignRequest,
    ) -> impl Future<Output = Result<Assignment, Refusal>> + Send {
        let (reply, reply_rx) = oneshot::channel();
        post(&self.dispatch, AssignBackend { req, reply });
        async move {
            let result = reply_rx.await.unwrap_or_else(|_| Err(actor_stopped()));
            self.record_refusal(result.and_then(|assignment| self.check_view_age(assignment)))
        }
    }

    fn report(&self, attempt: AttemptId, report: AttemptReport) {
        self.metrics.record_attempt(report);
        post(&self.dispatch, DispatchInput::Report(attempt, report));
    }

    // --- operators

    async fn admin(
        &self,
        method: Method,
        path: String,
        body: Bytes,
    ) -> (StatusCode, serde_json::Value) {
        self.admin.answer(&method, &path, &body).await
    }
}

/// Returns the refusal of a request whose actor has stopped.
fn actor_stopped() -> Refusal {
    let reason = RefusalReason::LedgerUnavailable;
    Refusal {
        reason,
        outcome: RefusalOutcome::NothingSent,
        retry_after: None,
        elsewhere: None,
    }
}
