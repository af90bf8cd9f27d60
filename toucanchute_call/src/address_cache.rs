use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use toucanchute_proto::api::AddressList;

/// Addresses that a caller may use, kept as long as the router allowed.
#[derive(Debug)]
pub(crate) struct AddressCache {
    /// Addresses that the caller was given, asked when no list is valid.
    seeds: Vec<SocketAddr>,
    /// Latest list, best first; empty before the first one.
    list: Vec<SocketAddr>,
    /// When the list has to be asked for again.
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

    /// Returns the addresses to ask for a list: those known last, then the seeds.
    pub(crate) fn sources(&self) -> Vec<SocketAddr> {
        let mut sources = self.list.clone();
        let new = self.seeds.iter().filter(|a| !self.list.contains(a));
        sources.extend(new);
        sources
    }

    /// Keeps a list that came just now.
    pub(crate) fn store(&mut self, now: Instant, list: &AddressList) {
        self.list.clone_from(&list.addresses);
        self.expires = now.checked_add(Duration::from_millis(list.max_age_ms));
    }

    /// Asks again before the next request, because an address did not answer.
    pub(crate) fn invalidate(&mut self) {
        self.expires = None;
    }
}
