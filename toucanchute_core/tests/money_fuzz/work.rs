//! Calls of a random walk, and the work on backend servers that they start.

use toucanchute_core::money::CallId;
use toucanchute_proto::{BudgetId, Incarnation, Millis, RequestKey, ledger::Answer};

#[derive(Clone, Debug)]
pub(super) enum Call {
    Reserve { budget: BudgetId, key: RequestKey },
    Intend { key: RequestKey, refused: bool },
    TopUp,
    Statement { budget: BudgetId },
}

/// A request that is running on a backend server.
pub(super) struct RunningRequest {
    pub(super) host: usize,
    pub(super) incarnation: Incarnation,
    pub(super) done_at: Millis,
    pub(super) work: Work,
}

pub(super) enum Work {
    Stream { call: CallId, tokens: u64 },
    Booking { key: RequestKey, answer: Answer },
}
