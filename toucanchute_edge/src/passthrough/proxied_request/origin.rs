//! Which software began a stream, that alone may go on with it.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use toucanchute_core::{
    origins::{StreamId, StreamOrigin},
    routing::SoftwareNeed,
};
use toucanchute_proto::{Millis, config::RouteKind};

use super::ProxiedRequest;
use crate::{
    control::Assignment,
    passthrough::{Dialect, Failure, RouteControl, observed_ends::ConnectionLifetime},
    run_record::RunRecord,
};

/// Time beyond a route's time limit for which what began a stream is kept.
const RETURN_TIME: Millis = Millis(5_000);

/// Longest time for which a stream that goes on waits until it is known which run of a backend server a
/// connection leads to.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);

/// Interval between two checks whether it is known.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(50);

/// One run of a backend server, by a connection to it.
#[derive(Clone, Debug)]
pub(in crate::passthrough) struct ServerRun {
    pub(in crate::passthrough) assignment: Assignment,
    pub(in crate::passthrough) connection: ConnectionLifetime,
}

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    /// Whether the caller takes up a stream of which it has events.
    fn is_taken_up(&self) -> bool {
        let route = self.route();
        let has_events = self.info.resume_after.is_some_and(|id| id > 0);
        route.kind == RouteKind::Stream && route.resumable && has_events
    }

    /// Identifies the stream over all attempts of its caller.
    fn stream_id(&self) -> StreamId {
        let attempt = match self.is_taken_up() {
            true => self.info.resumes.as_deref(),
            false => self.info.attempt.as_deref().map(str::as_bytes),
        };
        let customer = self.customer().map_or("", |c| c.name.as_str());
        StreamId::new(customer, attempt.unwrap_or_default())
    }

    /// Returns the software that the request needs: any, or what began the stream that its caller takes
    /// up. Chooses the service that began it. Fails if that is not known or no longer serves the route,
    /// since no other one can continue its text.
    pub(super) async fn find_software(
        &mut self,
        record: &RunRecord,
    ) -> Result<SoftwareNeed, Failure> {
        if !self.is_taken_up() {
            return Ok(SoftwareNeed::Any);
        }
        let control = &self.state.control;
        let origin = control.find_origin(self.stream_id(), &self.service).await;
        let is_target = |service: &str| self.route().targets.iter().any(|t| t.service == service);
        let origin = origin.filter(|o| is_target(&o.service));
        let origin =
            origin.ok_or_else(|| Failure::unserved(record, "stream-origin-unknown", None))?;
        self.service = origin.service;
        Ok(SoftwareNeed::of_stream(origin.software.as_deref()))
    }

    /// Records which software began the stream, or goes on with it, so that its caller can take it up.
    /// Resolves when the next event may be relayed, to false if it is not known yet whether the connection
    /// leads to that software.
    pub(in crate::passthrough) async fn record_origin(&self, run: &ServerRun) -> bool {
        let route = self.route();
        if !route.resumable {
            return true;
        }
        if !self.is_confirmed(run) {
            return false;
        }
        let assignment = &run.assignment;
        let origin = StreamOrigin::new(&self.service, assignment.software.as_deref());
        let keep = Millis(route.timeout_ms) + RETURN_TIME;
        let control = &self.state.control;
        control.record_stream(self.stream_id(), origin, keep).await;
        true
    }

    /// Whether a connection leads to the run of the backend server that was assigned, or it does not matter.
    fn is_confirmed(&self, run: &ServerRun) -> bool {
        let backend = &run.assignment.backend;
        let control = &self.state.control;
        if !control.has_several_versions(&self.service) {
            return true;
        }
        let ends = self.state.pool.ends();
        ends.is_confirmed(backend, run.connection, |at| {
            control.was_registered_at(backend, at)
        })
    }

    /// Waits until it is known that a connection leads to the run of the backend server that was assigned.
    /// Returns false if that is not known in time.
    pub(super) async fn confirm(&self, run: &ServerRun) -> bool {
        let until = self.deadline.min(Instant::now() + CONFIRMATION_TIME);
        while !self.is_confirmed(run) {
            if Instant::now() >= until {
                return false;
            }
            sleep(CONFIRMATION_INTERVAL).await;
        }
        true
    }
}
