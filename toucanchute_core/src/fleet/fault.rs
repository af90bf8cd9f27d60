use super::Fleet;

/// A deliberate fault with which a test shows that the checks detect it. Only tests can set one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// An older configuration replaces a newer one.
    AcceptOlder,
    /// A view never counts as stale.
    IgnoreAge,
    /// A peer's confirmation also confirms this router's view, even if that lacks what the peer
    /// has.
    TrustAnyPeer,
    /// The age in an acknowledgement is counted from its receipt instead of from the ping.
    CountFromReceipt,
    /// An outage that only this router observes counts as one of the whole fleet.
    OutageAlone,
    /// Backend servers that are not listed as live still get work.
    ForgetUnlisted,
    /// Orders to evacuate a failure domain are ignored.
    IgnoreEvacuations,
    /// A leaving router refuses work while callers still have its address.
    RefuseEarly,
    /// A leaving router does not wait for requests in progress.
    ExitBusy,
    /// A leaving router stays in its own address list.
    StayListed,
    /// A member does not refute the suspicion that it is unreachable.
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
