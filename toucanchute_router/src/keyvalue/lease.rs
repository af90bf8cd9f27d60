use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use toucanchute_core::fleet::orders::Lease;
use toucanchute_proto::{Incarnation, Millis};
use toucanchute_store::{CasOutcome, Client, Revision, Store, StoreError};

use crate::clock;

/// Time to live of a lease on the orders of one pool.
const LEASE_TTL: Millis = Millis(5_000);

/// Stored lease: which router may send orders to the engines of one pool. There is one key per
/// pool.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LeaseRecord {
    /// Run of the router that holds the lease or was its last holder.
    incarnation: Incarnation,
    /// Fencing number; rises with each change of holder.
    fence: u64,
    /// Time to live, in milliseconds, counted from when the holder requested the lease.
    ttl_ms: u64,
    /// Time to live of the previous holder's lease, in milliseconds, or `None` if that holder
    /// released it. Renewals keep the value, so that a holder whose first call succeeded but whose
    /// response was lost learns it too.
    after_ms: Option<u64>,
    /// Whether the holder has released the lease.
    released: bool,
}

/// Error of a call that acquires or releases a lease.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(crate) enum LeaseError {
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// Another router changed the lease at the same time.
    #[snafu(display("another router changed the lease at the same time"))]
    Conflict,
    /// The stored value is not a lease.
    #[snafu(display("the lease is malformed: {source}"), context(false))]
    Malformed { source: serde_json::Error },
}

/// Leases on the right to send orders to a pool, stored in the platform's key-value service.
///
/// A lease is a key that is replaced by compare-and-swap. A change of its holder raises its fencing
/// number. Each router counts the time to live by its own clock. The platform's own leases are not
/// used, since it may let them expire during an outage of its own.
#[derive(Clone, Debug)]
pub(crate) struct LeaseStore {
    client: Arc<Client>,
    own: Incarnation,
}

impl LeaseStore {
    /// Creates a store for the leases of the router run `own`.
    pub(crate) fn new(client: Arc<Client>, own: Incarnation) -> LeaseStore {
        LeaseStore { client, own }
    }

    /// Acquires or renews the lease of `pool`.
    ///
    /// It does not wait until the lease of a previous holder has expired. The result holds the time
    /// to live of a lease that was not released, and [`PoolOrders`] waits for it where the engines
    /// of the pool ignore fencing numbers.
    ///
    /// [`PoolOrders`]: toucanchute_core::fleet::orders::PoolOrders
    ///
    /// # Errors
    ///
    /// Returns an error if a call fails, if the stored lease is malformed, or if another router
    /// changed it at the same time.
    pub(crate) async fn acquire(&self, pool: &str) -> Result<Lease, LeaseError> {
        let requested_at = clock::now();
        let (revision, last) = self.read(pool).await?;
        let record = match last {
            Some(last) if last.incarnation == self.own && !last.released => last,
            last => self.next_record(last),
        };
        self.write(pool, revision, &record).await?;
        Ok(Lease {
            fence: record.fence,
            requested_at,
            ttl: Millis(record.ttl_ms),
            previous_ttl: record.after_ms.map(Millis),
        })
    }

    /// Returns the record of a new holder, this router, with the next fencing number.
    fn next_record(&self, last: Option<LeaseRecord>) -> LeaseRecord {
        let unreleased = last.filter(|last| !last.released);
        LeaseRecord {
            incarnation: self.own,
            fence: last.map_or(1, |last| last.fence + 1),
            ttl_ms: LEASE_TTL.0,
            after_ms: unreleased.map(|last| last.ttl_ms),
            released: false,
        }
    }

    /// Releases the lease of `pool` if this router still holds it.
    ///
    /// # Errors
    ///
    /// As for [`acquire`](Self::acquire).
    pub(crate) async fn release(&self, pool: &str) -> Result<(), LeaseError> {
        let (revision, last) = self.read(pool).await?;
        match last {
            Some(last) if last.incarnation == self.own => {
                let released = true;
                self.write(pool, revision, &LeaseRecord { released, ..last })
                    .await
            }
            _ => Ok(()),
        }
    }

    async fn read(&self, pool: &str) -> Result<(Revision, Option<LeaseRecord>), LeaseError> {
        match self.client.get(&lease_key(pool)).await? {
            Some(entry) => Ok((entry.revision, Some(serde_json::from_slice(&entry.value)?))),
            None => Ok((Revision::ABSENT, None)),
        }
    }

    async fn write(
        &self,
        pool: &str,
        expected: Revision,
        record: &LeaseRecord,
    ) -> Result<(), LeaseError> {
        let value = serde_json::to_vec(record)?;
        let cas = self
            .client
            .cas(&lease_key(pool), expected, value.into())
            .await?;
        match cas {
            CasOutcome::Applied { .. } => Ok(()),
            CasOutcome::Conflict { .. } => ConflictSnafu.fail(),
        }
    }
}

fn lease_key(pool: &str) -> String {
    format!("/toucanchute/orders/{pool}")
}

#[cfg(test)]
mod tests;
