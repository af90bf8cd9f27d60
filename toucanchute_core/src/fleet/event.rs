use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{BackendHint, EvacuationList, FleetMessage, FoundBody, Load, Member, Verdict},
};

/// Input of a [`Fleet`](super::Fleet).
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Event {
    /// A link to this peer is established; the member is the one in its hello message.
    PeerUp(Member),
    /// The link to this peer is closed.
    PeerDown(Incarnation),
    /// A peer sent a message.
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
    /// The head of the configuration was read from the platform.
    ConfigHead {
        /// Version of the configuration, 0 before the first apply.
        version: u64,
        /// Digest under which it is stored.
        digest: Digest,
        /// When the request was sent, or when a watch last showed that the platform is alive.
        requested_at: Millis,
    },
    /// The host list was read from the platform.
    HostList {
        /// Version of the list.
        version: u64,
        /// All hosts in it.
        hosts: Vec<HostEntry>,
        /// When the request was sent.
        requested_at: Millis,
    },
    /// Peer addresses of routers, from their records in the platform's service.
    RouterAddresses(BTreeSet<SocketAddr>),
    /// The registrations of backend servers were read from the platform. They replace a host list.
    Registrations {
        /// All registrations, or what changed.
        body: FoundBody,
        /// When the request was sent, or when a watch last showed that the platform is alive.
        requested_at: Millis,
    },
    /// The operator's orders to evacuate failure domains were read from the platform. Sent before the
    /// [`Event::ConfigHead`] of the same request.
    Evacuations(EvacuationList),
    /// A request to the platform's service or for its host list failed.
    PlatformDown,
    /// A backend server that this router polls reported its load.
    LoadReport(Load),
    /// A backend server's answer to this router stated its load, which the dispatcher knows.
    ShareLoad(Load),
    /// This router's verdicts about requests, and parts of prompts, that were in flight on a replica
    /// when that crashed.
    Verdicts(Vec<Verdict>),
    /// What this router learned from a backend server's answer.
    Hint(BackendHint),
    /// Quarantines that were read from the platform's store.
    StoredQuarantines(Vec<Verdict>),
    /// The share of the lists of addresses that should name this router, in eighths, has changed.
    ListShare(u8),
    /// Number of requests in progress at this router. Required every
    /// [`Fleet::TICK`](super::Fleet::TICK) during a graceful shutdown.
    InFlight(u64),
    /// A graceful shutdown was requested.
    Drain,
    /// All grants are returned, as [`Action::ReturnGrants`](super::Action::ReturnGrants) requested.
    GrantsReturned,
    /// Time passed. Required every [`Fleet::TICK`](super::Fleet::TICK).
    Tick,
}

/// One entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Name of the host or backend server.
    pub name: String,
    /// Its address; that of a router is its peer address.
    pub address: SocketAddr,
    /// Whether it is a router or a backend server.
    pub role: HostRole,
    /// Whether it is shutting down.
    pub state: HostState,
}

/// Role of an entry of the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// A router.
    Router,
    /// A backend server.
    Backend,
}

/// Whether an entry of the host list may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// It takes new work.
    Live,
    /// It is shutting down and takes no new work.
    Leaving,
}
