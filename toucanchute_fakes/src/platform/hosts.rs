use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Role {
    Entry,
    Backend,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum HostState {
    Live,
    Leaving,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Host {
    name: String,
    address: String,
    failure_domain: String,
    role: Role,
    state: HostState,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct HostList {
    /// Increases with each change; set by the fake platform.
    version: u64,
    pub(crate) hosts: Vec<Host>,
}

/// The host list, whose changes become visible after a delay.
#[derive(Debug)]
pub(crate) struct Hosts {
    lag_ms: u64,
    version: u64,
    visible: HostList,
    /// Changes that are not visible yet, and the times at which they become visible, in ascending
    /// order.
    pending: VecDeque<(u64, HostList)>,
}

impl Hosts {
    pub(crate) fn new(lag_ms: u64) -> Hosts {
        Hosts {
            lag_ms,
            version: 0,
            visible: HostList::default(),
            pending: VecDeque::new(),
        }
    }

    pub(crate) fn set(&mut self, now_ms: u64, mut list: HostList) {
        self.version += 1;
        list.version = self.version;
        self.pending.push_back((now_ms + self.lag_ms, list));
    }

    pub(crate) fn visible(&mut self, now_ms: u64) -> &HostList {
        while self.pending.front().is_some_and(|(at, _)| *at <= now_ms) {
            if let Some((_, list)) = self.pending.pop_front() {
                self.visible = list;
            }
        }
        &self.visible
    }
}
