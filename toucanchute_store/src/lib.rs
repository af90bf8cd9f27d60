//! Client of the platform: its key-value service with compare-and-swap, leases and watches, and
//! its host list.
//!
//! Callers use the key-value service through the [`Store`] trait, which tests implement
//! themselves. [`Client`] implements it with etcd v3's JSON mapping over HTTP/1.1.

mod client;
mod counts;
mod error;
mod hosts;
mod store;
mod watch;

pub use client::{Client, ClientSettings};
pub use counts::{CallCounters, CallCounts, CallKind};
pub use error::{StoreError, WriteEffect};
pub use hosts::{Host, HostList, HostListClient, HostRole, HostState};
pub use store::{CasOutcome, Entry, KeySelection, LeaseId, Snapshot, Store};
pub use toucanchute_proto::Revision;
pub use watch::{Watch, WatchSender, WatchUpdate};
