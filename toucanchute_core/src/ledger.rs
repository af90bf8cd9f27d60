//! Ledger of the budgets.
//!
//! The ledger consists of shards. Each shard is a log of batches, stored in a ring of keys of the
//! platform's key-value service.

mod error;
mod fault;
mod grants;
mod keys;
mod log;
mod state;
mod store;

pub use error::ApplyError;
pub use fault::Fault;
pub use grants::fences_needed;
pub use log::{DEFAULT_SNAPSHOT_CHUNK_BYTES, LogEvent, OpId, ShardLog};
pub use state::{MAX_CLOCK_SKEW, MAX_ENDED_ATTEMPTS, MAX_RERUNS, ShardState};
pub use store::{StoreKey, StoreOp, StoreRequest, StoreResult};
