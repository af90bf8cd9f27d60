use std::{fmt, future::Future};

use bytes::Bytes;
use toucanchute_proto::Millis;

use crate::{StoreError, Watch};

/// Revision of a key-value service; each change takes a greater one.
///
/// As the expected revision of a key, zero stands for an absent key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Revision = Revision(0);

    /// Returns the revision after this one.
    #[must_use]
    pub fn next(self) -> Revision {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A lease of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision at which the value was written.
    pub revision: Revision,
}

/// Entries as they stood at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Revision of the service when it was read; a watch goes on after it.
    pub revision: Revision,
    /// Entries in ascending order of key.
    pub entries: Vec<Entry>,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CasOutcome {
    /// The value is written.
    Applied {
        /// Revision of the new value.
        revision: Revision,
    },
    /// The key was at another revision; nothing is written.
    Conflict {
        /// What the key holds, if it exists.
        current: Option<Entry>,
    },
}

/// Keys that a watch follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySelection {
    /// One key.
    Key(String),
    /// Each key that starts with the text.
    Prefix(String),
}

/// A key-value service with compare-and-swap, leases and watches.
///
/// An error says by [`StoreError::write_effect`] whether a write may have taken effect all the same.
pub trait Store: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Reads each key that starts with `prefix`, as of one revision.
    fn get_prefix(&self, prefix: &str)
    -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Writes `value` if the key's value was written at revision `expected`.
    fn cas(
        &self,
        key: &str,
        expected: Revision,
        value: Bytes,
    ) -> impl Future<Output = Result<CasOutcome, StoreError>> + Send;

    /// Writes a key whatever it holds; it is deleted when `lease` lapses.
    fn put(
        &self,
        key: &str,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Revision, StoreError>> + Send;

    /// Deletes a key; returns whether it existed.
    fn delete(&self, key: &str) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Grants a lease of `ttl`, rounded up to whole seconds.
    fn grant_lease(&self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Extends a lease; returns its time to live, zero if it has lapsed.
    fn keep_alive(&self, lease: LeaseId)
    -> impl Future<Output = Result<Millis, StoreError>> + Send;

    /// Ends a lease and deletes its keys.
    fn revoke_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Follows the changes from revision `from` on. The watch connects again by itself.
    fn watch(&self, selection: KeySelection, from: Revision) -> Watch;
}
