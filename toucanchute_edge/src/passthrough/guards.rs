use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use toucanchute_core::routing::AttemptReport;

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
    /// Whether the end was reported.
    end_reported: bool,
}

impl<C: RouteControl> AttemptGuard<C> {
    pub(super) fn new(control: Arc<C>, assignment: Assignment) -> AttemptGuard<C> {
        let assigned_at = Instant::now();
        AttemptGuard {
            control,
            assignment,
            assigned_at,
            last_bytes_at: assigned_at,
            end_reported: false,
        }
    }

    /// Records that bytes of the response arrived.
    pub(super) fn record_bytes(&mut self) {
        self.last_bytes_at = Instant::now();
    }

    /// Returns the time since bytes of the response last arrived.
    pub(super) fn silent_for(&self) -> Duration {
        self.last_bytes_at.elapsed()
    }

    /// Reports that the response has begun.
    pub(super) fn report_first_byte(&self) {
        let id = self.assignment.attempt;
        self.control.report(id, AttemptReport::FirstToken);
    }

    /// Ends the attempt with a report.
    pub(super) fn report_end(mut self, report: AttemptReport) {
        self.end_reported = true;
        self.control.report(self.assignment.attempt, report);
    }
}

impl<C: RouteControl> Drop for AttemptGuard<C> {
    fn drop(&mut self) {
        if !self.end_reported {
            let id = self.assignment.attempt;
            self.control.report(id, AttemptReport::Cancelled);
        }
    }
}
