use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use toucanchute_proto::{
    Incarnation, Millis,
    config::Config,
    fleet::{BackendHint, FleetMessage, Load, MemberState, Verdict},
};

use crate::discovery::DiscoveryUpdate;

/// Output of a [`Fleet`](super::Fleet): what its caller has to do.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum Action {
    /// Send a message to a peer. It is dropped if there is no link to that peer.
    Send {
        /// The peer.
        to: Incarnation,
        /// The message.
        message: Box<FleetMessage>,
    },
    /// Open a link to the router at this address, unless there is one.
    Connect(SocketAddr),
    /// Read the newest configuration from the platform.
    FetchConfig,
    /// Report that a peer sent a configuration that cannot be decoded.
    BadPeerConfig {
        /// Why it cannot be decoded.
        error: String,
    },
    /// Put this configuration in force. Each has a greater version than the one before.
    ApplyConfig(Arc<Config>),
    /// Send no new work to the backend servers with these names. Replaces the previous set.
    Withdraw(BTreeSet<String>),
    /// Send no new work to the backend servers of these failure domains. Replaces the previous set.
    Evacuate(BTreeSet<String>),
    /// Use the registered backend servers that take work. Replaces the previous list.
    Backends(DiscoveryUpdate),
    /// A registration that has just been learned says that the backend server warms up. Sent before the
    /// [`Action::Backends`] that contains it.
    Cold {
        /// Name of the backend server.
        backend: String,
        /// Time from now on for which it does.
        remaining: Millis,
    },
    /// All known members but this router. Replaces the previous list.
    Members(Vec<MemberView>),
    /// Whether this router may take new work, or the reason why not.
    Readiness(Result<(), NotReady>),
    /// Router addresses for callers, the preferred ones first. Replaces the previous list.
    Addresses(Vec<SocketAddr>),
    /// Load of a backend server, as reported by this router or another one.
    Load(Load),
    /// Another router's verdict about a request.
    Verdict(Verdict),
    /// What another router learned from a backend server's answer.
    Hint(BackendHint),
    /// Write this quarantine to a store that survives the end of all routers.
    StoreQuarantine(Verdict),
    /// Return all grants, then send [`Event::GrantsReturned`](super::Event::GrantsReturned).
    ReturnGrants,
    /// End the process with a successful exit status.
    Exit,
}

/// What other state machines need to know about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Identifies the run of the router.
    pub incarnation: Incarnation,
    /// Name of its host.
    pub host: String,
    /// Failure domain of its host.
    pub failure_domain: String,
    /// Region of its host.
    pub region: String,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for other routers.
    pub peer_address: SocketAddr,
    /// Processor capacity of its host, in thousandths of a core; 0 if unknown.
    pub capacity: u32,
    /// Bandwidth of its host's link in each direction, in kbit/s; 0 if unknown.
    pub bandwidth: u32,
    /// Share of the lists of addresses that should name it, in eighths, as it last reported.
    pub list_share: u8,
    /// Its state as far as this router knows.
    pub state: MemberState,
    /// Whether its run is known to have ended.
    pub ended: bool,
    /// Whether it cannot reach the platform.
    pub outage: bool,
}

/// Why a router takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum NotReady {
    /// It has not received all that it needs to start, such as a configuration.
    Starting,
    /// Its view of configuration and withdrawals was confirmed too long ago.
    StaleView {
        /// Address for callers of a router that may serve them.
        elsewhere: Option<SocketAddr>,
    },
    /// It is shutting down.
    Draining {
        /// Address for callers of a router that may serve them.
        elsewhere: Option<SocketAddr>,
    },
}
