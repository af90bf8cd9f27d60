//! Messages, documents and identifiers that processes of toucanchute exchange.
//!
//! The module [`config`] and its siblings are generated from the JSON Schemas in `schema/`.
//! Identifiers are written by hand, because they are small `Copy` keys.

mod codec;
mod config_traits;
mod generated;
mod id;
mod packed;
mod rate;
mod revision;
mod time;

pub use bytes::Bytes;
pub use codec::{DecodeError, from_cbor, to_cbor};
pub use generated::{api, config, fleet, ledger, money, peer, permits, prepaid, settings, streams};
pub use id::{AttemptId, BudgetId, Digest, EntryId, GrantId, Incarnation, RequestKey, ShardId};
pub use packed::{pack, unpack};
pub use rate::RequestRate;
pub use revision::Revision;
pub use time::Millis;

/// IP address and port, under the name that the generated types use.
pub type SocketAddr = std::net::SocketAddr;

// Generated types refer to types of other schemas by their paths in the crate root.
use ledger::{Backing, Entry, EntryResult, GrantRecord, Statement};
