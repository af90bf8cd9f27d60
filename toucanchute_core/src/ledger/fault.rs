/// A fault that tests inject to show that their checks can fail. Never set in production.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A writer replaces a ring key without checking which batch it holds.
    SkipRingCheck,
    /// A request key is billed again each time it is settled.
    SkipDeduplication,
    /// A top-up is credited again each time it is applied.
    RecreditTopUp,
    /// A grant is reclaimed without fencing its witnesses.
    ReclaimWithoutFence,
    /// A restarted witness responds to messages for its earlier incarnation.
    ForgetWitnessIncarnation,
    /// The end of an answer is sent to the client before its bill is committed or acknowledged by
    /// witnesses.
    ReleaseBeforeCommit,
    /// A non-idempotent call is sent before its intent is committed.
    SendBeforeCommit,
    /// A transfer is credited again each time it is received.
    CreditTransferTwice,
}
