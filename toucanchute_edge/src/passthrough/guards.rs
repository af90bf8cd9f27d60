use std::sync::Arc;

use toucanchute_core::routing::Report;

use super::{RouteControl, TokenReservation};
use crate::control::Assignment;

/// One attempt at a backend server, ended by exactly one report.
pub(super) struct AttemptGuard<C: RouteControl> {
    control: Arc<C>,
    pub(super) assignment: Assignment,
    /// Whether the end was reported; it is reported as cancelled on drop otherwise.
    end_reported: bool,
}

impl<C: RouteControl> AttemptGuard<C> {
    pub(super) fn new(control: Arc<C>, assignment: Assignment) -> AttemptGuard<C> {
        AttemptGuard {
            control,
            assignment,
            end_reported: false,
        }
    }

    /// Reports the first sign of the answer.
    pub(super) fn report_first_byte(&self) {
        let id = self.assignment.attempt;
        self.control.report(id, Report::FirstToken);
    }

    /// Reports the end.
    pub(super) fn report_end(mut self, report: Report) {
        self.end_reported = true;
        self.control.report(self.assignment.attempt, report);
    }
}

impl<C: RouteControl> Drop for AttemptGuard<C> {
    fn drop(&mut self) {
        if !self.end_reported {
            let id = self.assignment.attempt;
            self.control.report(id, Report::Cancelled);
        }
    }
}

/// Tokens set aside for one request, settled by what it used when it ends in whatever way.
pub(super) struct ReservationGuard<C: RouteControl> {
    control: Arc<C>,
    reservation: Option<TokenReservation>,
    /// Tokens that count as used.
    pub(super) used: u64,
}

impl<C: RouteControl> ReservationGuard<C> {
    /// Holds a reservation; `None` for requests that cost nothing.
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
