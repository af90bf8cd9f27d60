use std::{collections::BTreeSet, net::SocketAddr};

use toucanchute_proto::{Millis, fleet::BackendList};

use super::{Action, Fleet, HostEntry, HostRole, HostState, fault::Fault};

/// What is known from the platform's host list.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// Backend servers by the newest list known; versions only rise.
    pub(super) backends: Option<BackendList>,
    /// Addresses of listed routers, for peers.
    pub(super) routers: BTreeSet<SocketAddr>,
    /// Withdrawn backend servers as last told.
    withdrawn: BTreeSet<String>,
}

impl Hosts {
    pub(super) fn version(&self) -> u64 {
        self.backends.as_ref().map_or(0, |b| b.version)
    }
}

impl Fleet {
    /// Version of the host list, or revision of the registrations, that is known here.
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

    /// Puts a list in force unless the one in force is as new.
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

    /// Withdraws the backend servers that are configured but not listed as live, whether they
    /// leave or have left. Where the platform never listed any, all are used.
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
