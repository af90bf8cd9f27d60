use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use toucanchute_proto::api::AddressList;

/// Cache of the addresses that a caller may use, valid for the maximum age that the router set.
#[derive(Debug)]
pub(crate) struct AddressCache {
    /// Configured router addresses, queried after those of the latest list.
    seeds: Vec<SocketAddr>,
    /// Latest list, best first; empty before the first one.
    list: Vec<SocketAddr>,
    /// When the list expires; `None` if it has to be fetched before the next use.
    expires: Option<Instant>,
}

impl AddressCache {
    pub(crate) fn new(seeds: Vec<SocketAddr>) -> AddressCache {
        AddressCache {
            seeds,
            list: Vec::new(),
            expires: None,
        }
    }

    /// Returns the list if it is still valid.
    pub(crate) fn valid(&self, now: Instant) -> Option<&[SocketAddr]> {
        let valid = self.expires.is_some_and(|expires| now < expires);
        (valid && !self.list.is_empty()).then_some(&self.list)
    }

    /// Returns the routers to fetch a list from: those of the latest list, then the seeds.
    pub(crate) fn sources(&self) -> Vec<SocketAddr> {
        let mut sources = self.list.clone();
        let new = self.seeds.iter().filter(|a| !self.list.contains(a));
        sources.extend(new);
        sources
    }

    /// Stores a list received at `now`.
    pub(crate) fn store(&mut self, now: Instant, list: &AddressList) {
        self.list.clone_from(&list.addresses);
        self.expires = now.checked_add(Duration::from_millis(list.max_age_ms));
    }

    /// Marks the list as expired, so that it is fetched again before the next request; called when
    /// an address did not answer.
    pub(crate) fn invalidate(&mut self) {
        self.expires = None;
    }
}
