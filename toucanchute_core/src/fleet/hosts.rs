use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use toucanchute_proto::{Millis, fleet::BackendList};

use super::{Action, Fleet, HostEntry, HostRole, HostState, fault::Fault};

/// How long routers tell each other of a backend server that left.
const WITHDRAWN_NEWS: Millis = Millis(5_000);

/// Time by which a reading has to be later than the word that a backend server left, to show that
/// it came back.
const RETURN_MARGIN: Millis = Millis(500);

/// How long a backend server that left is remembered.
const WITHDRAWN_TIME: Millis = Millis(120_000);

/// What is known from the platform's host list.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    /// Backend servers by the newest list known; versions only rise.
    pub(super) backends: Option<BackendList>,
    /// Addresses of listed routers, for peers.
    pub(super) routers: BTreeSet<SocketAddr>,
    /// Withdrawn backend servers as last told.
    withdrawn: BTreeSet<String>,
    /// Backend servers that left, by any router's word, and when this one heard.
    left: BTreeMap<String, Millis>,
    /// Those of `left` that still have to be told.
    news: BTreeSet<String>,
}

impl Hosts {
    pub(super) fn version(&self) -> u64 {
        self.backends.as_ref().map_or(0, |b| b.version)
    }

    /// Names of backend servers that left lately.
    pub(super) fn withdrawn_lately(&self) -> Vec<String> {
        self.news.iter().cloned().collect()
    }

    /// Tells no more of what left long ago, and forgets it later.
    pub(super) fn forget_withdrawn(&mut self, now: Millis) {
        self.left.retain(|_, at| now.since(*at) < WITHDRAWN_TIME);
        let left = &self.left;
        let fresh = |name: &String| {
            left.get(name)
                .is_some_and(|at| now.since(*at) < WITHDRAWN_NEWS)
        };
        self.news.retain(fresh);
    }
}

impl Fleet {
    pub(super) fn host_list(
        &mut self,
        asked: Millis,
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
        self.view.hosts_answered();
        if version >= self.hosts.version() {
            self.take_backends(list, out);
            self.view.hosts_seen(asked);
        }
        let routers = hosts.iter().filter(|h| h.role == HostRole::Entry);
        self.take_routers(routers.map(|h| h.address).collect());
        self.set_outage(self.view.down());
    }

    pub(super) fn take_routers(&mut self, routers: BTreeSet<SocketAddr>) {
        if routers != self.hosts.routers {
            self.hosts.routers = routers;
            self.connect_soon();
        }
    }

    /// Puts a list in force unless the one in force is as new.
    pub(super) fn take_backends(&mut self, mut list: BackendList, out: &mut Vec<Action>) {
        if let Some(old) = &self.hosts.backends {
            list.listed |= old.listed;
            if old.version > list.version || *old == list {
                return;
            }
            if old.live == list.live && old.listed == list.listed {
                // Each router reads newer versions of an unchanged list by itself.
                self.hosts.backends = Some(list);
                return;
            }
        }
        self.hosts.backends = Some(list);
        self.tell_withdrawn(out);
        self.push_all(None, out);
    }

    /// Withdraws the backend servers that are configured but not listed as live, whether they
    /// leave or have left. Where the platform never listed any, all are used.
    pub(super) fn tell_withdrawn(&mut self, out: &mut Vec<Action>) {
        let mut withdrawn: BTreeSet<String> = self.hosts.left.keys().cloned().collect();
        if let Some(list) = self.hosts.backends.as_ref().filter(|b| b.listed) {
            let config = self.config();
            let configured = config.iter().flat_map(|c| &c.backends).map(|b| &b.name);
            let gone = configured.filter(|name| !list.live.contains(name));
            withdrawn.extend(gone.cloned());
        }
        if withdrawn != self.hosts.withdrawn && !self.has(Fault::ForgetUnlisted) {
            self.hosts.withdrawn.clone_from(&withdrawn);
            out.push(Action::Withdraw(withdrawn));
        }
    }

    /// Takes in that backend servers left, by this router's own reading or another's word.
    pub(super) fn take_withdrawn(
        &mut self,
        now: Millis,
        names: Vec<String>,
        out: &mut Vec<Action>,
    ) {
        let mut news = false;
        for name in names {
            if self.hosts.left.contains_key(&name) {
                continue;
            }
            self.hosts.left.insert(name.clone(), now);
            self.hosts.news.insert(name);
            news = true;
        }
        if news {
            self.tell_withdrawn(out);
            self.push_all(None, out);
        }
    }

    /// Uses backend servers again that left and are registered anew.
    pub(super) fn take_registered(
        &mut self,
        names: &BTreeSet<String>,
        asked: Millis,
        out: &mut Vec<Action>,
    ) {
        let left = self.hosts.left.len();
        let back = |name: &String, at: Millis| names.contains(name) && asked > at + RETURN_MARGIN;
        self.hosts.left.retain(|name, at| !back(name, *at));
        if self.hosts.left.len() < left {
            self.tell_withdrawn(out);
        }
    }
}
