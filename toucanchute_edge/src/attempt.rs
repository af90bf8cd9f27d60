use toucanchute_proto::{AttemptId, RequestKey};

use toucanchute_core::routing::AttemptReport;

use crate::control::{Assignment, Control, Refusal, Reservation, Settlement};

/// One attempt to serve a request at a backend server.
///
/// Exactly one report ends it: that of [`Attempt::end`], or a cancellation when it is dropped
/// without one.
pub(crate) struct Attempt<'a, C: Control> {
    control: &'a C,
    /// Name and address of the backend server and identifier of the attempt.
    pub(crate) assignment: Assignment,
    /// Whether the end was reported.
    ended: bool,
}

impl<'a, C: Control> Attempt<'a, C> {
    /// Logs the start of an attempt for the request with `key`.
    pub(crate) fn new(control: &'a C, key: RequestKey, assignment: Assignment) -> Attempt<'a, C> {
        let id = assignment.attempt;
        log::info!(request:% = key, attempt:% = id, backend = assignment.backend; "attempt-started");
        Attempt {
            control,
            assignment,
            ended: false,
        }
    }

    /// Returns the attempt's identifier.
    pub(crate) fn id(&self) -> AttemptId {
        self.assignment.attempt
    }

    /// Reports that the first token of the answer has arrived.
    pub(crate) fn report_first_token(&self) {
        self.control.report(self.id(), AttemptReport::FirstToken);
    }

    /// Ends the attempt with `report`.
    pub(crate) fn end(mut self, report: AttemptReport) {
        self.ended = true;
        self.control.report(self.id(), report);
        let id = self.id();
        log::info!(attempt:% = id, backend = self.assignment.backend, report = report.name(); "attempt-ended");
    }
}

impl<C: Control> Drop for Attempt<'_, C> {
    fn drop(&mut self) {
        if !self.ended {
            self.control.report(self.id(), AttemptReport::Cancelled);
        }
    }
}

/// A reservation that is settled or released exactly once.
///
/// Dropping it without [`ReservationGuard::settle`] releases it.
pub(crate) struct ReservationGuard<'a, C: Control> {
    control: &'a C,
    /// `None` once settling has begun.
    reservation: Option<Reservation>,
    /// Tokens reserved.
    pub(crate) tokens: u64,
}

impl<'a, C: Control> ReservationGuard<'a, C> {
    /// Takes ownership of a reservation.
    pub(crate) fn new(control: &'a C, reservation: Reservation) -> ReservationGuard<'a, C> {
        ReservationGuard {
            control,
            tokens: reservation.tokens,
            reservation: Some(reservation),
        }
    }

    /// Bills `tokens`, or the reserved tokens if these are fewer.
    ///
    /// # Errors
    ///
    /// Fails if the control refuses the bill.
    pub(crate) async fn settle(mut self, tokens: u64) -> Result<Settlement, Refusal> {
        let Some(reservation) = self.reservation.take() else {
            return Ok(Settlement::Duplicate);
        };
        let key = reservation.key;
        let tokens = tokens.min(self.tokens);
        match self.control.settle(reservation, tokens).await {
            Ok(settlement) => {
                log::info!(request:% = key, tokens = tokens, settlement:? = settlement; "request-settled");
                Ok(settlement)
            }
            Err(refusal) => {
                log::warn!(request:% = key, tokens = tokens, reason:? = refusal.reason; "settle-refused");
                Err(refusal)
            }
        }
    }
}

impl<C: Control> Drop for ReservationGuard<'_, C> {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.control.release(reservation);
        }
    }
}
