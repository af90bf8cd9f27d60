use std::{collections::BTreeSet, net::SocketAddr};

use toucanchute_proto::{Millis, fleet::BackendList};

use super::{Action, Fleet, HostEntry, HostRole, HostState, fault::Fault};

/// Contents of the newest host list, whether read from the platform or received from a peer.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// Backend servers of the newest known list; its version never decreases.
    pub(super) backends: Option<BackendList>,
    /// Peer addresses of listed routers.
    pub(super) routers: BTreeSet<SocketAddr>,
    /// Backend servers in the last [`Action::Withdraw`].
    withdrawn: BTreeSet<String>,
}

impl Hosts {
    pub(super) fn version(&self) -> u64 {
        self.backends.as_ref().map_or(0, |b| b.version)
    }
}

impl Fleet {
    /// Newest known version of the host list, or revision of the registrations where these are
    /// used.
    pub(super) fn hosts_version(&self) -> u64 {
        match self.follows_registrations() {
            true => self.registrations.revision(),
            false => self.hosts.version(),
        }
    }

    pub(super) fn handle_host_list(
        &mut self,
        requested_at: Millis,
        version: u64,
        hosts: &[HostEntry],
        out: &mut Vec<Action>,
    ) {
        let backends = || hosts.iter().filter(|h| h.role == HostRole::Backend);
        let live = backends().filter(|h| h.state == HostState::Live);
        let list = BackendList {
            version,
            live: live.map(|h| h.name.clone()).collect(),
            listed: backends().next().is_some(),
        };
        self.view.hosts_responded();
        if version >= self.hosts.version() {
            self.apply_backend_list(list, out);
            self.view.confirm_hosts(requested_at);
        }
        let routers = hosts.iter().filter(|h| h.role == HostRole::Router);
        self.set_router_addresses(routers.map(|h| h.address).collect());
        self.set_outage(self.view.is_platform_down());
    }

    pub(super) fn set_router_addresses(&mut self, routers: BTreeSet<SocketAddr>) {
        if routers != self.hosts.routers {
            self.hosts.routers = routers;
            self.connect_soon();
        }
    }

    /// Puts a list in force unless it is older than or equal to the one in force.
    pub(super) fn apply_backend_list(&mut self, mut list: BackendList, out: &mut Vec<Action>) {
        if let Some(old) = &self.hosts.backends {
            list.listed |= old.listed;
            if old.version > list.version || *old == list {
                return;
            }
        }
        self.hosts.backends = Some(list);
        self.update_withdrawn(out);
        self.push(None, out);
    }

    /// Withdraws the backend servers that are configured but not listed as live, whether they are
    /// shutting down or already gone. If the platform never listed any, all of them are used.
    pub(super) fn update_withdrawn(&mut self, out: &mut Vec<Action>) {
        let Some(list) = self.hosts.backends.as_ref().filter(|b| b.listed) else {
            return;
        };
        let config = self.config();
        let configured = config.iter().flat_map(|c| &c.backends).map(|b| &b.name);
        let gone = configured.filter(|name| !list.live.contains(name));
        let withdrawn: BTreeSet<String> = gone.cloned().collect();
        if withdrawn != self.hosts.withdrawn && !self.has_fault(Fault::ForgetUnlisted) {
            self.hosts.withdrawn.clone_from(&withdrawn);
            out.push(Action::Withdraw(withdrawn));
        }
    }
}
