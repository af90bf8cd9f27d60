use std::future::Future;

use bytes::Bytes;
use toucanchute_proto::{Millis, Revision};

use crate::{StoreError, Watch};

/// Identifier of a lease of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// A key, its value and the revision of the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision at which the value was written.
    pub revision: Revision,
}

/// Entries as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the service at the time of the read. A watch that starts at the next revision
    /// misses no change.
    pub revision: Revision,
    /// Entries, in ascending order of key.
    pub entries: Vec<Entry>,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The key had the expected revision, and the value was written.
    Applied {
        /// Revision of the new value.
        revision: Revision,
    },
    /// The key had another revision, and nothing was written.
    Conflict {
        /// Current entry of the key; `None` if the key does not exist.
        current: Option<Entry>,
    },
}

/// Keys that a watch observes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySelection {
    /// A single key.
    Key(String),
    /// All keys that start with this prefix.
    Prefix(String),
}

/// A key-value service with compare-and-swap, leases and watches.
///
/// After a failed write, [`StoreError::write_effect`] returns whether it may have taken effect.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Reads all keys that start with `prefix`, as of one revision.
    fn get_prefix(&self, prefix: &str)
    -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Writes `value` if the current value of `key` was written at revision `expected`, or if `key`
    /// does not exist and `expected` is [`Revision::ABSENT`].
    fn cas(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> impl Future<Output = Result<CasOutcome, StoreError>> + Send;

    /// Writes `key` unconditionally. With a `lease`, the key is deleted when the lease expires.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Revision, StoreError>> + Send;

    /// Deletes `key` and returns whether it existed.
    fn delete(&self, key: &str) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Creates a lease with a time to live of `ttl`, rounded up to whole seconds.
    fn grant_lease(&self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease and returns its time to live, which is zero if the lease has expired.
    fn keep_alive(&self, lease: LeaseId)
    -> impl Future<Output = Result<Millis, StoreError>> + Send;

    /// Revokes a lease, which deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Watches the keys of `selection` for changes at revision `from` and later. The watch
    /// reconnects by itself after a failure.
    fn watch(&self, selection: KeySelection, from: Revision) -> Watch;
}
