use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{oneshot, watch};
use toucanchute_edge::{
    AssignRequest, Assignment, AttemptReport, BackendNotice, Refusal, RefusalOutcome,
    RefusalReason,
    passthrough::{
        RequestEnd, ResponseRecord, RouteControl, TokenRefusal, TokenRefusalReason, TokenRequest,
        TokenReservation,
    },
};
use toucanchute_proto::{AttemptId, Millis, config::Config, fleet::Load};
use xtra::prelude::*;

use super::{metrics::GatewayMetrics, shutdown};
use crate::{
    actor::{AssignBackend, DispatchActor, DispatchInput, PrepaidActor, PrepaidInput, post},
    clock,
    view::RouterView,
};

/// Time after which a caller that was refused because the process ends may try again, elsewhere or
/// at the next process.
const LEAVING_RETRY_AFTER: Millis = Millis(1_000);

/// Connects the gateway's request handling to the actors, the view and the metrics.
pub(super) struct GatewayControl {
    pub(super) view: Arc<RouterView>,
    pub(super) prepaid: Address<PrepaidActor>,
    pub(super) dispatch: Address<DispatchActor>,
    /// Whether a planned stop of the process has begun.
    pub(super) leaving: Arc<AtomicBool>,
    /// Becomes true shortly before the process ends, when waiting requests are refused: they would
    /// be cut otherwise.
    pub(super) closing: watch::Receiver<bool>,
    pub(super) metrics: Arc<GatewayMetrics>,
}

impl RouteControl for GatewayControl {
    fn config(&self) -> Arc<Config> {
        self.view.config()
    }

    fn unready(&self) -> Option<Refusal> {
        self.view.unready(clock::now())
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    async fn reserve(&self, req: TokenRequest) -> Result<TokenReservation, TokenRefusal> {
        let (tx, rx) = oneshot::channel();
        post(&self.prepaid, PrepaidInput::Reserve(req, tx));
        let result = tokio::select! {
            biased;
            result = rx => result.unwrap_or_else(|_| Err(tokens_unavailable())),
            () = shutdown::requested(self.closing.clone()) => Err(tokens_unavailable()),
        };
        self.metrics.record_reservation(&result);
        result
    }

    fn settle(&self, reservation: TokenReservation, used: u64) {
        self.metrics.record_tokens_used(used);
        post(&self.prepaid, PrepaidInput::Settle(reservation, used));
    }

    async fn assign(&self, req: AssignRequest) -> Result<Assignment, Refusal> {
        let (reply, reply_rx) = oneshot::channel();
        post(&self.dispatch, AssignBackend { req, reply });
        let assigned = tokio::select! {
            biased;
            assigned = reply_rx => assigned.unwrap_or_else(|_| Err(not_assigned(RefusalReason::NoBackend))),
            () = shutdown::requested(self.closing.clone()) => Err(Refusal {
                retry_after: Some(LEAVING_RETRY_AFTER),
                ..not_assigned(RefusalReason::Draining)
            }),
        };
        if assigned.as_ref().is_ok_and(|a| a.rate_limited) {
            self.metrics.record_permit_used();
        }
        assigned
    }

    fn report(&self, attempt: AttemptId, report: AttemptReport) {
        self.metrics.record_attempt(report);
        post(&self.dispatch, DispatchInput::Report(attempt, report));
    }

    fn report_load(&self, load: Load) {
        post(&self.dispatch, DispatchInput::Load(load));
    }

    fn report_notice(&self, backend: &str, notice: BackendNotice) {
        self.metrics.record_notice(notice);
        let input = DispatchInput::Notice(backend.to_owned(), notice);
        post(&self.dispatch, input);
    }

    fn record_response(&self, response: &ResponseRecord) {
        self.metrics.record_response(response);
    }

    fn record_end(&self, end: &RequestEnd<'_>) {
        self.metrics.record_request(end);
    }
}

/// Returns the refusal of a request that is assigned no backend server.
fn not_assigned(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        outcome: RefusalOutcome::NothingSent,
        retry_after: None,
        elsewhere: None,
    }
}

/// Returns the refusal of a request for which no tokens can be reserved any more.
fn tokens_unavailable() -> TokenRefusal {
    TokenRefusal {
        reason: TokenRefusalReason::Stopping,
        retry_after: None,
    }
}

#[cfg(test)]
mod tests;
