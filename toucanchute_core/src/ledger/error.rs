use snafu::Snafu;
use toucanchute_proto::BudgetId;

/// Why a batch or a snapshot cannot be applied. The shard's log is then broken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum ApplyError {
    /// The batch is not the next one.
    #[snafu(display("batch {found} found where batch {expected} was due"))]
    UnexpectedPosition {
        /// Position of the next batch.
        expected: u64,
        /// Position of the batch given.
        found: u64,
    },
    /// The parts of a budget do not add up to the whole.
    #[snafu(display(
        "budget {budget}: {topped_up} tokens topped up, but its parts sum to {parts}"
    ))]
    Unbalanced {
        /// The budget.
        budget: BudgetId,
        /// Tokens topped up.
        topped_up: u64,
        /// Free, spent, and what remains of grants.
        parts: u64,
    },
}
