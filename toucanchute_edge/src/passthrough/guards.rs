use std::sync::Arc;

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
    /// Whether the end was reported.
    end_reported: bool,
}

impl<C: RouteControl> AttemptGuard<C> {
    pub(super) fn new(control: Arc<C>, assignment: Assignment) -> AttemptGuard<C> {
        AttemptGuard {
            control,
            assignment,
            assigned_at: Instant::now(),
            end_reported: false,
        }
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
