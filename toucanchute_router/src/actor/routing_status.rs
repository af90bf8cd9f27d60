use std::{
    collections::BTreeMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use toucanchute_core::routing::ColdCause;

/// What operators have to see of the dispatcher's state in the metrics.
#[derive(Debug, Default)]
pub(crate) struct RoutingStatus {
    /// Whether each failure domain is evacuated, for those that ever were.
    evacuated: Mutex<BTreeMap<String, bool>>,
    /// How often backend servers were found cold, by the name of the cause.
    cold: Mutex<BTreeMap<&'static str, u64>>,
    /// Mean difference between believed and reported requests at backend servers, in thousandths of their
    /// slots.
    load_error_permille: AtomicU64,
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

    /// Records how far the believed loads of backend servers differ from the reported ones, as a share of
    /// their slots.
    pub(crate) fn record_load_error(&self, share: f64) {
        let permille = (share * 1_000.0) as u64;
        self.load_error_permille.store(permille, Ordering::Relaxed);
    }

    /// Returns the recorded difference, in thousandths.
    pub(crate) fn load_error_permille(&self) -> u64 {
        self.load_error_permille.load(Ordering::Relaxed)
    }

    /// Counts that a backend server was found cold.
    pub(crate) fn record_cold(&self, cause: ColdCause) {
        let counts = self.cold.lock();
        let mut counts = counts.unwrap_or_else(PoisonError::into_inner);
        *counts.entry(cold_cause_name(cause)).or_default() += 1;
    }

    /// Returns how often backend servers were found cold, by the name of the cause.
    pub(crate) fn cold_counts(&self) -> BTreeMap<&'static str, u64> {
        let counts = self.cold.lock();
        counts.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Returns the name of a cause in logs and metrics.
pub(crate) fn cold_cause_name(cause: ColdCause) -> &'static str {
    match cause {
        ColdCause::Registered => "registered",
        ColdCause::Reported => "reported",
        ColdCause::Restored => "restored",
        ColdCause::Ended => "ended",
    }
}
