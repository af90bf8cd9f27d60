//! Messages, documents and identifiers that processes of toucanchute exchange.
//!
//! The modules in [`config`] and its siblings are generated from the JSON Schemas in `schema/`; the
//! identifiers are written by hand because they are small `Copy` keys.

mod id;
mod time;

#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    unreachable_pub
)]
#[path = "generated/api.rs"]
pub mod api;

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
#[path = "generated/settings.rs"]
pub mod settings;

pub use id::{AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, RequestKey, ShardId};
pub use time::Millis;

/// IP number and port, as the generated types name it.
pub type SocketAddr = std::net::SocketAddr;
