use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifier of one run of a router process; it changes with each restart.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Identifier of a shard of the ledger.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ShardId(pub u16);

/// Identifier of a prepaid budget, derived from its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BudgetId(pub u64);

/// Idempotency key of one customer, as a 128-bit digest of customer and key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey(pub u128);

/// 128-bit digest of a request's path and body.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Digest(pub u128);

/// Identifier of a ledger entry, unique over all routers and time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EntryId(pub Incarnation, pub u64);

/// Identifier of a grant of a part of a budget, unique over all routers and time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct GrantId(pub Incarnation, pub u64);

/// Identifier of one attempt to send a request to a backend server, unique over all routers and
/// time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AttemptId(pub Incarnation, pub u64);

impl BudgetId {
    /// Returns the identifier of the budget named `name`.
    ///
    /// ```
    /// use toucanchute_proto::BudgetId;
    ///
    /// assert_eq!(BudgetId::from_name("north"), BudgetId::from_name("north"));
    /// assert_ne!(BudgetId::from_name("north"), BudgetId::from_name("south"));
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> BudgetId {
        let hash = blake3::hash(name.as_bytes());
        let (head, _) = hash.as_bytes().split_at(8);
        BudgetId(head.iter().fold(0, |id, &b| id << 8 | u64::from(b)))
    }

    /// Returns the ledger shard of this budget, if the ledger has `shards` shards.
    #[must_use]
    pub fn shard(self, shards: u16) -> ShardId {
        ShardId((self.0 % u64::from(shards.max(1))) as u16)
    }
}

impl RequestKey {
    /// Returns the digest of the idempotency key `key` that `customer` sent.
    #[must_use]
    pub fn new(customer: &str, key: &[u8]) -> RequestKey {
        RequestKey(digest(&[customer.as_bytes(), key]))
    }
}

impl Digest {
    /// Returns the digest of a request to `path` with `body`.
    #[must_use]
    pub fn new(path: &str, body: &[u8]) -> Digest {
        Digest(digest(&[path.as_bytes(), body]))
    }
}

fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let (head, _) = hash.as_bytes().split_at(16);
    head.iter().fold(0, |sum, &b| sum << 8 | u128::from(b))
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl fmt::Display for BudgetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

macro_rules! display_pair {
    ($($id:ident),*) => {$(
        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}-{}", self.0, self.1)
            }
        }
    )*};
}

display_pair!(EntryId, GrantId, AttemptId);
