use std::sync::Arc;

use tokio::time::Instant;
use toucanchute_core::routing::AttemptReport;

use super::{RouteControl, TokenReservation};
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

/// Tokens reserved for one request. They are settled on drop, however the request ends.
pub(super) struct ReservationGuard<C: RouteControl> {
    control: Arc<C>,
    reservation: Option<TokenReservation>,
    /// Tokens that are charged when the reservation is settled.
    pub(super) used: u64,
}

impl<C: RouteControl> ReservationGuard<C> {
    /// Creates a guard; `reservation` is `None` for requests that cost nothing.
    pub(super) fn new(
        control: Arc<C>,
        reservation: Option<TokenReservation>,
    ) -> ReservationGuard<C> {
        ReservationGuard {
            control,
            reservation,
            used: 0,
        }
    }
}

impl<C: RouteControl> Drop for ReservationGuard<C> {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.control.settle(reservation, self.used);
        }
    }
}
