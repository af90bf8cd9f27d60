use snafu::Snafu;
use toucanchute_proto::BudgetId;

/// Why a batch cannot be applied. The shard's log is then corrupt.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum ApplyError {
    /// The batch is not at the next position of the log.
    #[snafu(display("batch {found} found where batch {expected} was due"))]
    UnexpectedPosition {
        /// Position at which the next batch is expected.
        expected: u64,
        /// Position of the batch that was to be applied.
        found: u64,
    },
    /// The parts of a budget do not add up to the tokens topped up.
    #[snafu(display(
        "budget {budget}: {topped_up} tokens topped up, but free, spent and granted sum to {parts}"
    ))]
    Unbalanced {
        /// The budget.
        budget: BudgetId,
        /// Tokens topped up.
        topped_up: u64,
        /// Sum of the free tokens, the spent tokens and the remainders of grants.
        parts: u64,
    },
}
