/// A deliberate fault, by which tests show that their checks can fail. Never set in production.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A writer replaces a ring key without checking which batch it holds.
    SkipRingCheck,
    /// A key is billed again at each settlement.
    SkipDeduplication,
    /// A top-up is credited again at each arrival.
    RecreditTopUp,
    /// A grant is reclaimed without fencing its witnesses.
    ReclaimWithoutFence,
    /// A restarted witness answers for its earlier incarnation.
    ForgetWitnessIncarnation,
    /// The end of an answer is released before its bill is committed or witnessed.
    ReleaseBeforeCommit,
    /// A non-idempotent call is sent before its intent is committed.
    SendBeforeCommit,
    /// A transfer is credited at each arrival.
    CreditTransferTwice,
}
