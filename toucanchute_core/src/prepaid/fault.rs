/// A deliberate fault of a [`PrepaidAccounts`](super::PrepaidAccounts) machine, for tests of tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Takes an account over without fencing its witnesses.
    SkipFence,
    /// Spends beyond what the witnesses acknowledged.
    IgnoreMarks,
    /// Takes an owner that it cannot reach for one that has ended.
    AssumeUnreachableEnded,
    /// Asks witnesses for marks above the ramp.
    MarkAboveRamp,
    /// Writes ramps that do not cover the marks of witnesses.
    RampBelowMarks,
    /// Takes refunds more than once.
    RefundTwice,
    /// Spends on after an account was given back, as if that had not been written.
    SpendAfterRelease,
    /// Lets witnesses take marks of lesser terms.
    AcceptFencedMarks,
    /// Spends beyond what the record says is drawn.
    IgnoreDrawn,
}
