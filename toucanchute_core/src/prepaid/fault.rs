/// A deliberate fault of a [`Prepaid`](super::Prepaid) machine, for tests of tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Takes an account over without fencing its witnesses.
    SkipFence,
    /// Spends beyond what the witnesses acknowledged.
    IgnoreMarks,
    /// Takes refunds more than once.
    RefundTwice,
    /// Spends on after an account was given back.
    SpendReleased,
    /// Lets witnesses take marks of lesser terms.
    ForgetFence,
    /// Spends beyond what the record says is drawn.
    IgnoreDrawn,
}
