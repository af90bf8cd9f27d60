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
struct Holder {
    /// Run of the router that holds the lease or held it last.
    incarnation: Incarnation,
    /// Fencing number; rises with each change of holder.
    fence: u64,
    /// Time to live, in milliseconds, from when the holder asked for it.
    ttl_ms: u64,
    /// Time to live of the lease before, in milliseconds, unless that was given back. It stays as
    /// it is in renewals, so that a holder that missed the answer to its first call learns it too.
    after_ms: Option<u64>,
    /// Whether the holder has given it back.
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
    Taken,
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
        let asked = clock::now();
        let (revision, last) = self.read(pool).await?;
        let holder = match last {
            Some(last) if last.incarnation == self.own && !last.released => last,
            last => self.successor(last),
        };
        self.write(pool, revision, &holder).await?;
        Ok(Lease {
            fence: holder.fence,
            requested_at: asked,
            ttl: Millis(holder.ttl_ms),
            previous_ttl: holder.after_ms.map(Millis),
        })
    }

    fn successor(&self, last: Option<Holder>) -> Holder {
        let unreleased = last.filter(|last| !last.released);
        Holder {
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
                self.write(pool, revision, &Holder { released, ..last })
                    .await
            }
            _ => Ok(()),
        }
    }

    async fn read(&self, pool: &str) -> Result<(Revision, Option<Holder>), LeaseError> {
        match self.client.get(&key(pool)).await? {
            Some(entry) => Ok((entry.revision, Some(serde_json::from_slice(&entry.value)?))),
            None => Ok((Revision::ABSENT, None)),
        }
    }

    async fn write(
        &self,
        pool: &str,
        expected: Revision,
        holder: &Holder,
    ) -> Result<(), LeaseError> {
        let value = serde_json::to_vec(holder)?;
        let cas = self.client.cas(&key(pool), expected, value.into()).await?;
        match cas {
            Cas::Applied { .. } => Ok(()),
            Cas::Conflict { .. } => TakenSnafu.fail(),
        }
    }
}

fn key(pool: &str) -> String {
    format!("/toucanchute/orders/{pool}")
}

#[cfg(test)]
mod tests;
