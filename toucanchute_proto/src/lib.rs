//! Messages, documents and identifiers that processes of toucanchute exchange.
//!
//! The modules in [`config`] and its siblings are generated from the JSON Schemas in `schema/`; the
//! identifiers are written by hand because they are small `Copy` keys.

mod codec;
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
#[path = "generated/ledger.rs"]
pub mod ledger;

#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    unreachable_pub
)]
#[path = "generated/money.rs"]
pub mod money;

pub use bytes::Bytes;
pub use codec::{DecodeError, from_cbor, to_cbor};
pub use id::{AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, RequestKey, ShardId};
pub use time::Millis;

use ledger::{Backing, Entry, EntryResult, Statement};
