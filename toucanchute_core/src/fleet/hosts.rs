use std::{collections::BTreeSet, net::SocketAddr};

use toucanchute_proto::{Millis, fleet::Withdrawals};

use super::{Action, Fleet, HostEntry, HostRole, HostState};

/// What is known from the platform's host list.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// Withdrawn backend servers by the newest list known; versions only rise.
    pub(super) withdrawals: Option<Withdrawals>,
    /// Addresses of listed routers, for peers.
    pub(super) routers: BTreeSet<SocketAddr>,
    /// Backend servers that were listed at some time.
    listed: BTreeSet<String>,
}

impl Hosts {
    pub(super) fn version(&self) -> u64 {
        self.withdrawals.as_ref().map_or(0, |w| w.version)
    }
}

impl Fleet {
    pub(super) fn host_list(
        &mut self,
        now: Millis,
        version: u64,
        hosts: &[HostEntry],
        out: &mut Vec<Action>,
    ) {
        let lagging = version < self.hosts.version();
        if !lagging {
            let names = self.withdrawn(hosts);
            self.take_withdrawals(Withdrawals { version, names }, out);
            self.view.hosts_seen(now);
        }
        let routers = hosts.iter().filter(|h| h.role == HostRole::Entry);
        self.hosts.routers = routers.map(|h| h.address).collect();
        self.set_outage(false);
    }

    /// Backend servers that leave, and those that are listed no more.
    fn withdrawn(&mut self, hosts: &[HostEntry]) -> Vec<String> {
        let backends = || hosts.iter().filter(|h| h.role == HostRole::Backend);
        let live: BTreeSet<_> = backends()
            .filter(|h| h.state == HostState::Live)
            .map(|h| h.name.clone())
            .collect();
        self.hosts.listed.extend(backends().map(|h| h.name.clone()));
        if let Some(w) = &self.hosts.withdrawals {
            self.hosts.listed.extend(w.names.iter().cloned());
        }
        self.hosts.listed.difference(&live).cloned().collect()
    }

    /// Puts a set of withdrawals in force unless the one in force is as new.
    pub(super) fn take_withdrawals(&mut self, w: Withdrawals, out: &mut Vec<Action>) {
        let old = self.hosts.withdrawals.as_ref();
        if old.is_some_and(|old| old.version >= w.version) {
            return;
        }
        if old.is_none_or(|old| old.names != w.names) {
            out.push(Action::Withdraw(w.names.iter().cloned().collect()));
        }
        self.hosts.withdrawals = Some(w);
        self.push_all(None, out);
    }
}
