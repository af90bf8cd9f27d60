use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use toucanchute_proto::{
    Incarnation,
    config::Config,
    fleet::{FleetMessage, Load, MemberState, Verdict},
};

use crate::discovery::DiscoveryUpdate;

/// What a [`Fleet`](super::Fleet) wants done.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Action {
    /// Send this to a peer; dropped if there is no link.
    Send {
        /// The peer.
        to: Incarnation,
        /// The message.
        message: Box<FleetMessage>,
    },
    /// Open a link to the router at this address, unless there is one.
    Connect(SocketAddr),
    /// Read the configuration at the platform's head.
    FetchConfig,
    /// A peer sent a configuration that cannot be read.
    BadPeerConfig {
        /// What is wrong with it.
        error: String,
    },
    /// This configuration is in force; versions rise strictly.
    ApplyConfig(Arc<Config>),
    /// These backend servers take no new work; replaces the set before.
    Withdraw(BTreeSet<String>),
    /// These backend servers are registered and take work; replaces the list before.
    Backends(DiscoveryUpdate),
    /// The other members as far as known; replaces the list before.
    Members(Vec<MemberView>),
    /// Whether new work may be taken, or why not.
    Readiness(Result<(), NotReady>),
    /// Addresses for callers, best first; replaces the list before.
    Addresses(Vec<SocketAddr>),
    /// A backend server's load, from this router or another one.
    Load(Load),
    /// Another router's word about a request.
    Verdict(Verdict),
    /// This quarantine has to be written where it outlasts the routers.
    StoreQuarantine(Verdict),
    /// Return all grants, then say [`Event::GrantsReturned`](super::Event::GrantsReturned).
    ReturnGrants,
    /// End the process with success.
    Exit,
}

/// One member as other machines need it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The run of the router.
    pub incarnation: Incarnation,
    /// Its host.
    pub host: String,
    /// Failure domain of its host.
    pub failure_domain: String,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for routers.
    pub peer_address: SocketAddr,
    /// Processor time of its host, in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// What is believed of it.
    pub state: MemberState,
    /// Whether it finds the platform down.
    pub outage: bool,
}

/// Why a router takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum NotReady {
    /// It has no configuration yet.
    Starting,
    /// Its view of configuration and withdrawals is too old.
    StaleView {
        /// Address for callers of a router that may serve them.
        elsewhere: Option<SocketAddr>,
    },
    /// It is leaving.
    Draining {
        /// Address for callers of a router that may serve them.
        elsewhere: Option<SocketAddr>,
    },
}
