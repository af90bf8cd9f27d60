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
#[path = "generated/config.rs"]
pub mod config;

#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    unreachable_pub
)]
#[path = "generated/peer.rs"]
pub mod peer;

pub use id::{AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, RequestKey, ShardId};
pub use time::Millis;
