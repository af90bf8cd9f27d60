use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use toucanchute_core::fleet::orders::Lease;
use toucanchute_proto::{Incarnation, Millis};
use toucanchute_store::{Cas, Client, Revision, Store, StoreError};

use crate::clock;

/// Time to live of a lease on the orders of one pool.
const LEASE_TTL: Millis = Millis(5_000);

/// Who may send orders to the engines of one pool; the value of one key of the platform's service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LeaseRecord {
    /// Run of the router that holds the lease or held it last.
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

/// A lease that could not be got.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub(crate) enum LeaseError {
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Store { source: StoreError },
    /// Another router was faster.
    #[snafu(display("another router took the lease"))]
    Conflict,
    /// The key holds no lease.
    #[snafu(display("the lease is malformed: {source}"), context(false))]
    Malformed { source: serde_json::Error },
}

/// Leases on the orders of pools, in the platform's service.
///
/// A lease is a key that is replaced by compare-and-swap. Taking it raises its fencing number; the
/// time to live is counted by each side's own clock, so that the platform's leases, which it may
/// let lapse during an outage of its own, are not needed.
#[derive(Clone, Debug)]
pub(crate) struct LeaseStore {
    client: Arc<Client>,
    own: Incarnation,
}

impl LeaseStore {
    /// Creates a store for leases of the router `own`.
    pub(crate) fn new(client: Arc<Client>, own: Incarnation) -> LeaseStore {
        LeaseStore { client, own }
    }

    /// Takes the lease of `pool` or renews it.
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

    /// Gives the lease of `pool` back if this router still holds it.
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
            Cas::Applied { .. } => Ok(()),
            Cas::Conflict { .. } => ConflictSnafu.fail(),
        }
    }
}

fn lease_key(pool: &str) -> String {
    format!("/toucanchute/orders/{pool}")
}

#[cfg(test)]
mod tests;
