//! Messages, documents and identifiers that processes of toucanchute exchange.
//!
//! The modules in [`config`] and its siblings are generated from the JSON Schemas in `schema/`; the
//! identifiers are written by hand because they are small `Copy` keys.

mod config_eq;
mod generated;
mod id;
mod time;

/// Generated messages refer to the configuration by its place in the crate root.
use config::Config;
pub use generated::{api, config, fleet, peer, settings};
pub use id::{AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, RequestKey, ShardId};
pub use time::Millis;

/// IP number and port, as the generated types name it.
pub type SocketAddr = std::net::SocketAddr;
