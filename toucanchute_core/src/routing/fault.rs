use super::Dispatcher;

/// A deliberate fault, to show that the tests notice it. Only tests can set one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Withdrawn replicas get work.
    UseWithdrawn,
    /// Replicas get more than the configured concurrency.
    ExceedConcurrency,
    /// Calls start after their deadline.
    StartLate,
    /// Calls that cannot make it are dropped without an answer.
    DropLate,
    /// Other routers do not hear where suspects run.
    HideClaims,
    /// A crash never quarantines.
    NeverQuarantine,
    /// Other routers do not hear of suspects.
    DropVerdicts,
    /// Retries are not counted.
    UncountedRetries,
    /// Failing replicas are not ejected.
    NeverEject,
    /// Started work is not counted against its customer.
    ServeUnfairly,
}

impl Dispatcher {
    #[cfg(not(test))]
    pub(super) fn has(&self, _fault: Fault) -> bool {
        false
    }

    #[cfg(test)]
    pub(super) fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
