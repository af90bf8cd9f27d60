/// A fault injected into a [`PrepaidAccounts`](super::PrepaidAccounts) machine, to check that the
/// tests detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Takes an account over without fencing its witnesses.
    SkipFence,
    /// Spends beyond what the witnesses acknowledged.
    IgnoreMarks,
    /// Assumes that an owner that cannot be reached has ended.
    AssumeUnreachableEnded,
    /// Requests marks above the ramp from witnesses.
    MarkAboveRamp,
    /// Writes ramps that do not cover the marks of witnesses.
    RampBelowMarks,
    /// Applies refunds more than once.
    RefundTwice,
    /// Applies refunds of reservations of earlier epochs more than once.
    RefundEarlierTwice,
    /// Grants further tokens to requests in progress without counting them.
    UncountedExtensions,
    /// Admits requests without room for what those in progress may ask for later.
    IgnoreRests,
    /// Sends refunds to the owner of a later epoch that an earlier one may have applied.
    ReaddressRefunds,
    /// Spends from an account after a write that releases it, as if that had not been sent.
    SpendAfterRelease,
    /// Lets witnesses accept marks of lesser terms after a fence.
    AcceptFencedMarks,
    /// Spends the late part of a ramp while the record is new.
    SpendLateAtOnce,
    /// Spends beyond the bounds of the record, up to the total.
    IgnoreDrawn,
    /// Takes the record of a store that came back from an older copy for the last one.
    TrustOldEras,
}
