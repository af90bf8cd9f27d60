use std::sync::Arc;

use toucanchute_core::routing::Report;

use super::{RouteControl, TokenReservation};
use crate::control::Assignment;

/// One attempt at a backend server, ended by exactly one report.
pub(super) struct Attempt<C: RouteControl> {
    control: Arc<C>,
    pub(super) assignment: Assignment,
    /// Whether the end was reported; it is reported as cancelled on drop otherwise.
    ended: bool,
}

impl<C: RouteControl> Attempt<C> {
    pub(super) fn new(control: Arc<C>, assignment: Assignment) -> Attempt<C> {
        Attempt {
            control,
            assignment,
            ended: false,
        }
    }

    /// Reports the first sign of the answer.
    pub(super) fn first(&self) {
        let id = self.assignment.attempt;
        self.control.report(id, Report::FirstToken);
    }

    /// Reports the end.
    pub(super) fn end(mut self, report: Report) {
        self.ended = true;
        self.control.report(self.assignment.attempt, report);
    }
}

impl<C: RouteControl> Drop for Attempt<C> {
    fn drop(&mut self) {
        if !self.ended {
            let id = self.assignment.attempt;
            self.control.report(id, Report::Cancelled);
        }
    }
}

/// Tokens set aside for one request, settled by what it used when it ends in whatever way.
pub(super) struct Held<C: RouteControl> {
    control: Arc<C>,
    hold: Option<TokenReservation>,
    /// Tokens that count as used.
    pub(super) used: u64,
}

impl<C: RouteControl> Held<C> {
    /// Holds a reservation; `None` for requests that cost nothing.
    pub(super) fn new(control: Arc<C>, hold: Option<TokenReservation>) -> Held<C> {
        Held {
            control,
            hold,
            used: 0,
        }
    }
}

impl<C: RouteControl> Drop for Held<C> {
    fn drop(&mut self) {
        if let Some(hold) = self.hold.take() {
            self.control.settle(hold, self.used);
        }
    }
}
