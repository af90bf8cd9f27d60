use super::Fleet;

/// A deliberate fault, to show that the tests notice it. Only tests can set one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// An older configuration replaces a newer one.
    AcceptOlder,
    /// A view never gets too old.
    IgnoreAge,
    /// A peer's confirmed view confirms one's own, whatever it lacks.
    TrustAnyPeer,
    /// A view is taken for as old as it was when the acknowledgement was read.
    CountFromReceipt,
    /// An outage that one router sees is taken for one that all see.
    OutageAlone,
    /// Backend servers that are not listed as live get work.
    ForgetUnlisted,
    /// A leaving router refuses work while callers still have its address.
    RefuseEarly,
    /// A leaving router does not wait for requests in progress.
    ExitBusy,
    /// A leaving router stays in its own address list.
    StayListed,
    /// A member does not contradict its suspicion.
    NeverRefute,
}

impl Fleet {
    #[cfg(not(test))]
    pub(super) fn has_fault(&self, _fault: Fault) -> bool {
        false
    }

    #[cfg(test)]
    pub(super) fn has_fault(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
