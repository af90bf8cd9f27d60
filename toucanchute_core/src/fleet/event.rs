use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{FleetMessage, FoundBody, Load, Member, Verdict},
};

/// What happened, as told to a [`Fleet`](super::Fleet).
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A link to this peer is up; the member is from its hello.
    PeerUp(Member),
    /// The link to this peer is down.
    PeerDown(Incarnation),
    /// A peer sent this.
    Message {
        /// The peer.
        from: Incarnation,
        /// The message.
        message: Box<FleetMessage>,
    },
    /// A configuration was read from the platform.
    Config {
        /// The configuration.
        config: Arc<Config>,
        /// Digest under which it is stored.
        digest: Digest,
    },
    /// The platform answered: the head of the configuration is this.
    ConfigHead {
        /// Version of the configuration, 0 before the first apply.
        version: u64,
        /// Digest under which it is stored.
        digest: Digest,
        /// When the platform was asked, or when a watch last showed that it is alive.
        requested_at: Millis,
    },
    /// The platform answered: the host list is this.
    HostList {
        /// Version of the list.
        version: u64,
        /// All hosts in it.
        hosts: Vec<HostEntry>,
        /// When the platform was asked.
        requested_at: Millis,
    },
    /// Addresses of routers, for routers, as their records in the platform's service say.
    RouterAddresses(BTreeSet<SocketAddr>),
    /// The platform answered with the registrations of backend servers, which take the place of a
    /// host list.
    Registrations {
        /// All registrations, or what changed.
        body: FoundBody,
        /// When the platform was asked, or when a watch last showed that it is alive.
        requested_at: Millis,
    },
    /// The platform's service or its host list did not answer.
    PlatformDown,
    /// A backend server that this router polls reported its load.
    LoadReport(Load),
    /// This router's word about a request that was in flight on a replica that crashed.
    Verdict(Verdict),
    /// Quarantines that were kept in the platform's store.
    StoredQuarantines(Vec<Verdict>),
    /// Requests in progress at this router. Wanted every [`Fleet::TICK`](super::Fleet::TICK) while
    /// the router leaves.
    InFlight(u64),
    /// The router has to leave gracefully.
    Drain,
    /// All grants are returned; answers [`Action::ReturnGrants`](super::Action::ReturnGrants).
    GrantsReturned,
    /// Time passed. Wanted every [`Fleet::TICK`](super::Fleet::TICK).
    Tick,
}

/// One host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The host's or backend server's name.
    pub name: String,
    /// Address; for routers the one for peers.
    pub address: SocketAddr,
    /// What it is.
    pub role: HostRole,
    /// Whether it leaves.
    pub state: HostState,
}

/// What a listed host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// It runs a router.
    Router,
    /// It is a backend server.
    Backend,
}

/// Whether a listed host leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It stays.
    Live,
    /// It takes no new work.
    Leaving,
}
