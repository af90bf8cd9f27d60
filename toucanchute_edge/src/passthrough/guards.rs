use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use toucanchute_core::routing::{AttemptReport, CrashKind};

use super::RouteControl;
use crate::control::Assignment;

/// One attempt at a backend server. Its end is reported exactly once: as cancelled if the guard is
/// dropped without a report.
pub(super) struct AttemptGuard<C: RouteControl> {
    control: Arc<C>,
    pub(super) assignment: Assignment,
    /// When the backend server was assigned.
    pub(super) assigned_at: Instant,
    /// When bytes of the response last arrived; the assignment if none did.
    last_bytes_at: Instant,
    /// The report of its end and the length of the silence before.
    end: Option<(AttemptReport, Duration)>,
}

impl<C: RouteControl> AttemptGuard<C> {
    pub(super) fn new(control: Arc<C>, assignment: Assignment) -> AttemptGuard<C> {
        let assigned_at = Instant::now();
        AttemptGuard {
            control,
            assignment,
            assigned_at,
            last_bytes_at: assigned_at,
            end: None,
        }
    }

    /// Records that bytes of the response arrived.
    pub(super) fn record_bytes(&mut self) {
        self.last_bytes_at = Instant::now();
    }

    /// Returns the time from the last bytes of the response to the end of the attempt, or until now.
    pub(super) fn silent_for(&self) -> Duration {
        self.end
            .map_or_else(|| self.last_bytes_at.elapsed(), |(_, silence)| silence)
    }

    /// Returns the report for an attempt that is ended by its deadline: timed out if its backend server
    /// has been silent for `patience`.
    pub(super) fn deadline_report(&self, patience: Duration) -> AttemptReport {
        match self.silent_for() < patience {
            true => AttemptReport::Cancelled,
            false => CrashKind::TimedOut.into(),
        }
    }

    /// Reports that the response has begun.
    pub(super) fn report_first_byte(&self) {
        let id = self.assignment.attempt;
        self.control.report(id, AttemptReport::FirstToken);
    }

    /// Ends the attempt with a report. Only the first end counts.
    pub(super) fn end(&mut self, report: AttemptReport) {
        if self.end.is_none() {
            self.end = Some((report, self.silent_for()));
            self.control.report(self.assignment.attempt, report);
        }
    }

    /// Returns the report that ended the attempt.
    pub(super) fn ended_with(&self) -> Option<AttemptReport> {
        self.end.map(|(report, _)| report)
    }

    /// Does the same as `end` with an attempt that is no longer needed.
    pub(super) fn report_end(mut self, report: AttemptReport) {
        self.end(report);
    }
}

impl<C: RouteControl> Drop for AttemptGuard<C> {
    fn drop(&mut self) {
        self.end(AttemptReport::Cancelled);
    }
}
