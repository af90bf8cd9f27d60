//! Hedged attempts: while a backend server is silent, another one is tried beside it.

use std::{pin::Pin, sync::atomic::Ordering, time::Duration};

use tokio::time::timeout;
use toucanchute_core::routing::AttemptReport;
use toucanchute_proto::{Millis, config::Route};

use super::{BackendResponse, ProxiedRequest, RequestTrace, RetryState};
use crate::{
    backend::report_for_status,
    control::Assignment,
    passthrough::{Dialect, Failure, RouteControl},
    settings::duration,
};

/// Percentage of a route's latency target after which a backend server without a response head counts
/// as silent.
const FIRST_BYTE_TARGET_PERCENT: u32 = 70;

/// Shortest time without a response head after which a backend server counts as silent.
const MIN_FIRST_BYTE_PATIENCE: Duration = Duration::from_millis(250);

/// The backend server of a stream counts as silent after this many times the route's target for the gap
/// between two events.
const EVENT_GAP_FACTOR: u32 = 2;

/// Shortest gap between two events after which the backend server counts as silent.
const MIN_EVENT_PATIENCE: Duration = Duration::from_millis(1_200);

/// Returns how long a backend server may send no head before another one is tried beside it.
pub(super) fn head_patience(route: &Route) -> Duration {
    let target = duration(Millis(route.target_ms));
    MIN_FIRST_BYTE_PATIENCE.max(target * FIRST_BYTE_TARGET_PERCENT / 100)
}

/// Returns how long a backend server may send no event before another one is tried beside it.
pub(in crate::passthrough) fn event_patience(route: &Route) -> Duration {
    let target = duration(Millis(route.gap_target_ms));
    MIN_EVENT_PATIENCE.max(target * EVENT_GAP_FACTOR)
}

/// The attempt that a hedge is beside.
#[derive(Clone, Copy)]
pub(in crate::passthrough) struct FirstAttempt<'a> {
    pub(in crate::passthrough) assignment: &'a Assignment,
    /// Time without a result after which its backend server counts as silent.
    pub(in crate::passthrough) patience: Duration,
    /// Last event that was relayed of a stream.
    pub(in crate::passthrough) resume_after: Option<u64>,
}

/// Outcome of an attempt that may have been hedged.
pub(in crate::passthrough) enum Hedged<T, C: RouteControl> {
    /// The result of the first attempt. No other one is in progress.
    First(T),
    /// A second backend server has answered with a success while the first one was silent.
    Second(BackendResponse<C>),
    /// The first attempt failed while a second one was in progress: the results of both.
    Both(T, Result<BackendResponse<C>, Failure>),
    /// The attempt is itself a hedge, its backend server is silent too, and it is given up, so that
    /// another one can be tried.
    Silent,
}

impl<C: RouteControl, D: Dialect> ProxiedRequest<C, D> {
    /// Waits for `result` of the `first` attempt. If its backend server is silent, others are tried
    /// beside it, one at a time, as far as the request may be sent again.
    ///
    /// A second server that refuses or fails leaves the first attempt as it is, and one that is silent
    /// too is given up for a third one. The server that has a result first goes on, and the other
    /// attempt is cancelled; but a first attempt whose result does not satisfy `is_sound` leaves the
    /// request to a second one in progress. The first hedge is assigned at once or not at all, later
    /// ones may wait for a server.
    pub(in crate::passthrough) async fn hedge<T>(
        &self,
        first: FirstAttempt<'_>,
        result: impl Future<Output = T> + Send,
        is_sound: impl Fn(&T) -> bool + Send,
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Hedged<T, C> {
        let mut result = std::pin::pin!(result);
        if !retries.is_idempotent() {
            return Hedged::First(result.await);
        }
        if let Ok(result) = timeout(first.patience, result.as_mut()).await {
            return Hedged::First(result);
        }
        let attempt = first.assignment.attempt;
        self.state.control.report(attempt, AttemptReport::Silent);
        trace.log_silence(first.assignment, first.patience);
        retries.exclude_backend(&first.assignment.backend);
        if retries.may_rerun() && retries.is_hedging() {
            return Hedged::Silent;
        }
        let hedged = self.race(first, result, &is_sound, retries, trace).await;
        if let Hedged::First(result) = &hedged
            && is_sound(result)
        {
            self.state.control.report(attempt, AttemptReport::Resumed);
            trace.record_backend(first.assignment);
        }
        hedged
    }

    /// Tries other backend servers until one of them or the silent one of `first` has a result.
    async fn race<T>(
        &self,
        first: FirstAttempt<'_>,
        mut result: Pin<&mut (impl Future<Output = T> + Send)>,
        is_sound: &(impl Fn(&T) -> bool + Send),
        retries: &mut RetryState,
        trace: &mut RequestTrace<C>,
    ) -> Hedged<T, C> {
        let mut may_wait = false;
        while retries.may_rerun() {
            let hedging = retries.begin_hedge(&first.assignment.backend, may_wait);
            let mut second = self.boxed_response(retries, trace, first.resume_after);
            let outcome = tokio::select! {
                biased;
                result = result.as_mut() => match is_sound(&result) {
                    true => Ok(Hedged::First(result)),
                    false => {
                        hedging.store(false, Ordering::Relaxed);
                        Ok(Hedged::Both(result, second.as_mut().await))
                    }
                },
                response = second.as_mut() => match response {
                    Ok(response) if response.head.status().is_success() => {
                        Ok(Hedged::Second(response))
                    }
                    response => Err(response),
                },
            };
            drop(second);
            retries.end_hedge();
            match outcome {
                Ok(hedged) => return hedged,
                Err(response) => end_failed_hedge(response, trace),
            }
            if let Ok(result) = timeout(first.patience, result.as_mut()).await {
                return Hedged::First(result);
            }
            may_wait = true;
        }
        Hedged::First(result.await)
    }

    /// Does the same as `next_response`, which it is called by.
    fn boxed_response<'a>(
        &'a self,
        retries: &'a mut RetryState,
        trace: &'a mut RequestTrace<C>,
        resume_after: Option<u64>,
    ) -> Pin<Box<dyn Future<Output = Result<BackendResponse<C>, Failure>> + Send + 'a>> {
        Box::pin(self.next_response(retries, trace, resume_after))
    }
}

/// Ends a second attempt that brought no success.
fn end_failed_hedge<C: RouteControl>(
    response: Result<BackendResponse<C>, Failure>,
    trace: &RequestTrace<C>,
) {
    match response {
        Ok(response) => {
            let status = response.head.status().as_u16();
            response.attempt.report_end(report_for_status(status));
            trace.log_hedge_failure("the backend server sent an error response");
        }
        Err(failure) => trace.log_hedge_failure(failure.reason),
    }
}
