use std::fmt;

use toucanchute_proto::{BudgetId, Bytes, ShardId};

/// A key of the platform's key-value service that holds a part of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreKey {
    /// Head of the newest snapshot of a shard.
    Snapshot {
        /// The shard.
        shard: ShardId,
    },
    /// A part of a snapshot that is too large for one value.
    Chunk {
        /// The shard.
        shard: ShardId,
        /// Index of the set of chunk keys; successive snapshots use the sets in rotation.
        generation: u8,
        /// Index of the chunk in the snapshot.
        chunk: u32,
    },
    /// One key of a shard's ring of batches.
    Slot {
        /// The shard.
        shard: ShardId,
        /// Index in the ring.
        slot: u32,
    },
    /// Record of a prepaid account, which is kept outside the shards.
    Account {
        /// The account's budget.
        budget: BudgetId,
    },
}

impl StoreKey {
    /// Returns the key's path in the platform's key-value service.
    ///
    /// ```
    /// use toucanchute_core::ledger::StoreKey;
    /// use toucanchute_proto::ShardId;
    ///
    /// let key = StoreKey::Slot { shard: ShardId(2), slot: 7 };
    /// assert_eq!(key.path(), "/toucanchute/ledger/2/ring/7");
    /// ```
    #[must_use]
    pub fn path(&self) -> String {
        self.to_string()
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreKey::Snapshot { shard } => write!(f, "/toucanchute/ledger/{shard}/snapshot"),
            StoreKey::Chunk {
                shard,
                generation,
                chunk,
            } => write!(f, "/toucanchute/ledger/{shard}/chunk/{generation}/{chunk}"),
            StoreKey::Slot { shard, slot } => write!(f, "/toucanchute/ledger/{shard}/ring/{slot}"),
            StoreKey::Account { budget } => write!(f, "/toucanchute/prepaid/{budget}"),
        }
    }
}

/// A call to the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: StoreKey,
    },
    /// Replaces a key's value if its revision is the one expected.
    Cas {
        /// The key.
        key: StoreKey,
        /// Revision at which the key was last modified; 0 if it is absent.
        expected_revision: u64,
        /// The new value.
        value: Bytes,
    },
}

/// A numbered call to the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreOp {
    /// Number of the call, to be passed along with its result.
    pub op: u64,
    /// The call.
    pub request: StoreRequest,
}

/// Result of a call to the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The key that was read.
    Value {
        /// Revision at which the key was last modified.
        revision: u64,
        /// Its value.
        value: Bytes,
    },
    /// The key that was read is absent.
    Missing,
    /// The value was replaced.
    Applied {
        /// The new revision.
        revision: u64,
    },
    /// The key's revision is not the one expected; nothing was replaced.
    Conflict,
    /// No response was received; the call may have taken effect or may still do so.
    Unknown,
    /// The service cannot be reached or refused the call. The call has had no effect and will have
    /// none.
    Unavailable,
}
