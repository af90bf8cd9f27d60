//! Messages, documents and identifiers that processes of toucanchute exchange.
//!
//! The modules in [`config`] and its siblings are generated from the JSON Schemas in `schema/`; the
//! identifiers are written by hand because they are small `Copy` keys.

mod config_eq;
mod id;
mod time;

#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    unreachable_pub
)]
#[path = "generated/config.rs"]
pub mod config;
#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    unreachable_pub
)]
#[path = "generated/fleet.rs"]
pub mod fleet;

/// Generated messages refer to the configuration by its place in the crate root.
use config::Config;
pub use id::{AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, RequestKey, ShardId};
pub use time::Millis;
