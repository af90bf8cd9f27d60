use super::Dispatcher;

/// A deliberate fault, to show that the tests detect it. Only tests can set one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// Withdrawn replicas get work.
    UseWithdrawn,
    /// Replicas of evacuated failure domains get work.
    IgnoreEvacuations,
    /// Each router issues the permits of cold replicas to itself.
    OwnColdPermits,
    /// Replicas get more than the configured concurrency.
    ExceedConcurrency,
    /// Calls start after their deadline.
    StartLate,
    /// Calls that cannot meet their deadline are dropped without an answer.
    DropLate,
    /// Other routers do not learn which replicas are claimed for suspects.
    HideClaims,
    /// A crash never puts a request in quarantine.
    NeverQuarantine,
    /// Other routers get no verdicts.
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
