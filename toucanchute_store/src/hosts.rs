use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use toucanchute_proto::Millis;

use crate::{CallCounts, CallKind, StoreError, client::ConnectionPool};

/// What a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum HostRole {
    /// It runs a router.
    Entry,
    /// It runs a backend server.
    Backend,
}

/// Whether a host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum HostState {
    /// It stays.
    Live,
    /// It has been withdrawn and takes no new work.
    Leaving,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Address of its process.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: String,
    /// What it is for.
    pub role: HostRole,
    /// Whether it stays.
    pub state: HostState,
}

/// The platform's list of hosts, which lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Rises with each change.
    pub version: u64,
    /// Hosts in no particular order.
    pub hosts: Vec<Host>,
}

/// Client of the platform's host list.
#[derive(Debug)]
pub struct HostListClient {
    pool: ConnectionPool,
}

impl HostListClient {
    /// Creates a client of the list at `addresses`, which are tried in turn.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Millis) -> HostListClient {
        HostListClient {
            pool: ConnectionPool::new(addresses, timeout),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if no address gives a list in time.
    pub async fn get(&self) -> Result<HostList, StoreError> {
        self.pool.get(CallKind::Hosts, "/v1/hosts").await
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.pool.counters().counts()
    }
}
