use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanchute_proto::Millis;

use crate::{CallCounts, CallKind, StoreError, client::ConnectionPool};

/// Kind of process that a host runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum HostRole {
    /// The host runs a router.
    Entry,
    /// The host runs a backend server.
    Backend,
}

/// Whether a host is in service or being withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host has been withdrawn and accepts no new work.
    Leaving,
}

/// Entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Address of the process that the host runs.
    pub address: SocketAddr,
    /// Failure domain to which the host belongs.
    pub failure_domain: String,
    /// Kind of process that the host runs.
    pub role: HostRole,
    /// Whether the host is in service or being withdrawn.
    pub state: HostState,
}

/// The platform's host list. It may lag behind the actual state of the hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// Hosts, in no particular order.
    pub hosts: Vec<Host>,
}

/// Client of the platform's host list.
#[derive(Debug)]
pub struct HostListClient {
    pool: ConnectionPool,
}

impl HostListClient {
    /// Creates a client that reads the list from `addresses`, one after another until one succeeds.
    /// `timeout` applies to each address.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Millis) -> HostListClient {
        HostListClient {
            pool: ConnectionPool::new(addresses, timeout),
        }
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Fails if no address returns a valid list within the timeout.
    pub async fn get(&self) -> Result<HostList, StoreError> {
        self.pool.get(CallKind::Hosts, "/v1/hosts").await
    }

    /// Returns the number of calls made so far, by kind.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.pool.counters().counts()
    }
}
