use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

/// What operators have to see of the dispatcher's state in the metrics.
#[derive(Debug, Default)]
pub(crate) struct RoutingStatus {
    /// Whether each failure domain is evacuated, for those that ever were.
    evacuated: Mutex<BTreeMap<String, bool>>,
}

impl RoutingStatus {
    /// Logs and records that a failure domain with this number of backend servers is evacuated, or no
    /// longer.
    pub(crate) fn record_evacuation(&self, domain: String, evacuated: bool, backends: usize) {
        match evacuated {
            true => {
                log::info!(failure_domain = domain, backends = backends; "domain-evacuated");
            }
            false => log::info!(failure_domain = domain, backends = backends; "domain-restored"),
        }
        let domains = self.evacuated.lock();
        let mut domains = domains.unwrap_or_else(PoisonError::into_inner);
        domains.insert(domain, evacuated);
    }

    /// Returns the failure domains that are evacuated or ever were, and whether they are now.
    pub(crate) fn evacuations(&self) -> BTreeMap<String, bool> {
        let domains = self.evacuated.lock();
        domains.unwrap_or_else(PoisonError::into_inner).clone()
    }
}
