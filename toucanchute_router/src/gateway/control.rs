use std::sync::Arc;

use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};
use toucanchute_core::{
    origins::{StreamId, StreamOrigin},
    placement::LinkRequest,
};
use toucanchute_edge::{
    AssignRequest, Assignment, AttemptReport, BackendNotice, Refusal, RefusalOutcome,
    RefusalReason,
    passthrough::{
        PlannedStop, RequestEnd, ResponseRecord, RouteControl, TokenRefusal, TokenRefusalReason,
        TokenRequest, TokenReservation,
    },
};
use toucanchute_platform::StoreClient;
use toucanchute_proto::{AttemptId, Millis, config::Config, fleet::Load};
use xtra::prelude::*;

use super::{
    host_link::HostLink, metrics::GatewayMetrics, shutdown, stream_origins::StreamOriginKeeper,
};
use crate::{
    actor::{AssignBackend, DispatchActor, DispatchInput, PrepaidActor, PrepaidInput, post},
    clock,
    view::RouterView,
};

/// Connects the gateway's request handling to the actors, the view and the metrics.
pub(super) struct GatewayControl {
    pub(super) view: Arc<RouterView>,
    pub(super) prepaid: Address<PrepaidActor>,
    pub(super) dispatch: Address<DispatchActor>,
    /// The planned stop of the process, once it has begun.
    pub(super) stop: watch::Receiver<Option<PlannedStop>>,
    /// Becomes true shortly before the process ends, when waiting requests are refused: they would
    /// be cut otherwise.
    pub(super) closing: watch::Receiver<bool>,
    /// What began the streams that callers may take up.
    pub(super) origins: Arc<StreamOriginKeeper<StoreClient>>,
    pub(super) metrics: Arc<GatewayMetrics>,
    pub(super) host_link: Arc<HostLink>,
}

impl RouteControl for GatewayControl {
    fn config(&self) -> Arc<Config> {
        self.view.config()
    }

    fn unready(&self) -> Option<Refusal> {
        let stopping = self.stop.borrow().map(|s| s.accepts_until);
        match stopping.is_some_and(|until| Instant::now() >= until) {
            true => Some(PlannedStop::refusal()),
            false => self.view.unready(clock::now()),
        }
    }

    fn planned_stop(&self) -> &watch::Receiver<Option<PlannedStop>> {
        &self.stop
    }

    fn admit_to_link(&self, req: LinkRequest<'_>) -> Result<(), Refusal> {
        self.host_link.admit(req)
    }

    async fn reserve(&self, req: TokenRequest) -> Result<TokenReservation, TokenRefusal> {
        let (tx, rx) = oneshot::channel();
        let is_new = req.extends.is_none();
        post(&self.prepaid, PrepaidInput::Reserve(req, tx));
        let result = tokio::select! {
            biased;
            result = rx => result.unwrap_or_else(|_| Err(tokens_unavailable())),
            () = shutdown::requested(self.closing.clone()), if is_new => Err(tokens_unavailable()),
        };
        self.metrics.record_reservation(is_new, &result);
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
            assigned = reply_rx => assigned.unwrap_or_else(|_| Err(not_assigned())),
            () = shutdown::requested(self.closing.clone()) => Err(PlannedStop::refusal()),
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
        post(&self.dispatch, DispatchInput::OwnLoad(load));
    }

    fn report_notice(&self, backend: &str, notice: BackendNotice) {
        self.metrics.record_notice(notice);
        let input = DispatchInput::Notice(backend.to_owned(), notice);
        post(&self.dispatch, input);
    }

    async fn record_stream(&self, stream: StreamId, origin: StreamOrigin, keep: Millis) {
        let copied = self.origins.record(stream, origin, keep).await;
        self.metrics.record_stream_copy(copied);
    }

    fn has_several_versions(&self, service: &str) -> bool {
        self.origins.has_several_versions(service)
    }

    fn was_registered_at(&self, backend: &str, at: Millis) -> bool {
        let confirmed = self.view.store_answered_at();
        confirmed.is_some_and(|as_of| as_of >= at) && self.origins.is_registered(backend)
    }

    async fn find_origin(&self, stream: StreamId, service: &str) -> Option<StreamOrigin> {
        let found = self.origins.find(stream, service).await;
        self.metrics.record_take_up(&found);
        found.ok()
    }

    fn record_response(&self, response: &ResponseRecord) {
        self.metrics.record_response(response);
    }

    fn record_end(&self, end: &RequestEnd<'_>) {
        self.metrics.record_request(end);
    }
}

/// Returns the refusal of a request that the dispatcher no longer answers.
fn not_assigned() -> Refusal {
    Refusal {
        reason: RefusalReason::NoBackend,
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
