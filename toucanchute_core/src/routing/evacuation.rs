//! Failure domains whose backend servers get no new work, by order of the operator.

use std::collections::BTreeSet;

use toucanchute_proto::Millis;

use super::{Action, ColdCause, Dispatcher, fault::Fault, pool::BackendKey};

/// Evacuated failure domains, by the source of the order.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    /// Domains of the configuration.
    configured: BTreeSet<String>,
    /// Domains that were ordered apart from the configuration.
    ordered: BTreeSet<String>,
}

impl Evacuation {
    pub(super) fn contains(&self, domain: &str) -> bool {
        self.configured.contains(domain) || self.ordered.contains(domain)
    }

    fn domains(&self) -> BTreeSet<String> {
        self.configured.union(&self.ordered).cloned().collect()
    }
}

impl Dispatcher {
    /// Replaces the evacuated domains of the configuration.
    pub(super) fn set_configured_evacuations(
        &mut self,
        now: Millis,
        domains: &[String],
        out: &mut Vec<Action>,
    ) {
        if self.has(Fault::IgnoreEvacuations) {
            return;
        }
        let before = self.evacuation.domains();
        self.evacuation.configured = domains.iter().cloned().collect();
        self.apply_evacuations(now, &before, out);
    }

    /// Replaces the evacuated domains that were ordered apart from the configuration.
    pub(super) fn set_ordered_evacuations(
        &mut self,
        now: Millis,
        domains: BTreeSet<String>,
        out: &mut Vec<Action>,
    ) {
        if self.has(Fault::IgnoreEvacuations) {
            return;
        }
        let before = self.evacuation.domains();
        self.evacuation.ordered = domains;
        self.apply_evacuations(now, &before, out);
        self.refuse_unservable(out);
    }

    /// Applies the domains in force to the replicas, and reports the domains that are evacuated or
    /// restored now.
    fn apply_evacuations(&mut self, now: Millis, before: &BTreeSet<String>, out: &mut Vec<Action>) {
        let domains = self.evacuation.domains();
        if domains == *before {
            return;
        }
        for key in self.replicas.keys().collect::<Vec<BackendKey>>() {
            let replica = &mut self.replicas[key];
            let evacuated = domains.contains(&replica.domain);
            if replica.set_evacuated(now, evacuated) {
                self.begin_start(now, key, ColdCause::Restored, out);
            }
        }
        for domain in domains.symmetric_difference(before) {
            let backends = self.replicas.values().filter(|r| r.domain == *domain);
            out.push(Action::EvacuationChanged {
                failure_domain: domain.clone(),
                evacuated: domains.contains(domain),
                backends: backends.count(),
            });
        }
    }
}
