#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

use toucanchute_platform::read_evacuation;
use toucanchute_proto::fleet::EvacuationList;
use toucanchute_store::{Revision, Snapshot};

/// Orders to evacuate failure domains, as read from the store and followed from there.
#[derive(Debug, Default)]
pub(super) struct EvacuationOrders {
    /// Revision up to which all orders are included.
    revision: Revision,
    domains: BTreeSet<String>,
}

impl EvacuationOrders {
    /// Replaces the orders by those of a snapshot.
    pub(super) fn replace(&mut self, snapshot: &Snapshot) {
        let keys = snapshot.entries.iter().map(|e| e.key.as_str());
        let domains: BTreeSet<String> = keys.filter_map(ordered_domain).collect();
        self.revision = snapshot.revision;
        if domains != self.domains {
            self.domains = domains;
            self.log();
        }
    }

    /// Records an order that was given or taken back; returns whether the key is that of an order.
    pub(super) fn record(&mut self, key: &str, revision: Revision, given: bool) -> bool {
        let Some(domain) = ordered_domain(key) else {
            return false;
        };
        self.revision = self.revision.max(revision);
        match given {
            true => self.domains.insert(domain),
            false => self.domains.remove(&domain),
        };
        self.log();
        true
    }

    /// Returns all orders.
    pub(super) fn list(&self) -> EvacuationList {
        EvacuationList {
            revision: self.revision.0,
            failure_domains: self.domains.iter().cloned().collect(),
        }
    }

    fn log(&self) {
        log::info!(failure_domains:? = self.domains, revision:% = self.revision; "evacuations-read");
    }
}

/// Returns the failure domain that the order under a key evacuates. An order without a domain is logged
/// and ignored.
fn ordered_domain(key: &str) -> Option<String> {
    let domain = read_evacuation(key)?;
    if domain.is_empty() {
        log::warn!(key = key; "evacuation-ignored");
        return None;
    }
    Some(domain.to_owned())
}
