use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId,
    config::{Config, PoolKind},
};

use crate::{
    document::Section,
    fault::{Fault, FaultKind},
    suggest,
};

/// Checks references between sections, and values that must be unique across sections.
pub(super) fn check(cfg: &Config, sections: &[Section], faults: &mut Vec<Fault>) {
    let mut cx = ReferenceChecker { sections, faults };
    cx.check_pools(cfg);
    cx.check_budgets(cfg);
    cx.check_unique(cfg);
    cx.check_budget_ids(cfg);
}

struct ReferenceChecker<'a> {
    sections: &'a [Section],
    faults: &'a mut Vec<Fault>,
}

impl ReferenceChecker<'_> {
    /// Reports models, services and backend servers whose pool is not defined, and models and
    /// services whose pool is of the wrong kind.
    fn check_pools(&mut self, cfg: &Config) {
        for model in &cfg.models {
            self.check_pool(
                cfg,
                "model",
                &model.name,
                &model.pool,
                Some(PoolKind::Engine),
            );
        }
        for service in &cfg.services {
            let kind = Some(PoolKind::Service);
            self.check_pool(cfg, "service", &service.name, &service.pool, kind);
        }
        for backend in &cfg.backends {
            self.check_pool(cfg, "backend", &backend.name, &backend.pool, None);
        }
    }

    fn check_pool(
        &mut self,
        cfg: &Config,
        kind: &str,
        name: &str,
        pool: &str,
        expected: Option<PoolKind>,
    ) {
        let header = format!("{kind} {name}");
        match cfg.pools.iter().find(|p| p.name == pool) {
            None if self.is_defined("pool", pool) => {}
            None => self.report_unknown(&header, "pool", pool),
            Some(found) => {
                if let Some(expected) = expected.filter(|&k| k != found.kind) {
                    let cause = format!("the pool's kind is {}, expected {expected}", found.kind);
                    self.report_conflict(&header, "pool", pool, cause);
                }
            }
        }
    }

    /// Reports customers whose budget is not defined.
    fn check_budgets(&mut self, cfg: &Config) {
        for customer in &cfg.customers {
            if !cfg.budgets.iter().any(|b| b.name == customer.budget) {
                let header = format!("customer {}", customer.name);
                self.report_unknown(&header, "budget", &customer.budget);
            }
        }
    }

    /// Reports customers with the same token and backend servers with the same address.
    fn check_unique(&mut self, cfg: &Config) {
        let mut tokens = BTreeMap::new();
        for customer in &cfg.customers {
            let header = format!("customer {}", customer.name);
            if let Some(first) = tokens.insert(&customer.token_sha256, &customer.name) {
                let cause = format!("customer {first} has the same token");
                self.report_shared_token(&header, cause);
            }
        }
        let mut addresses = BTreeMap::new();
        for backend in &cfg.backends {
            let header = format!("backend {}", backend.name);
            if let Some(first) = addresses.insert(&backend.address, &backend.name) {
                let cause = format!("backend {first} has the same address");
                self.report_conflict(&header, "address", &backend.address, cause);
            }
        }
    }

    /// Reports a duplicate customer token at the key that sets it. Omits the value, which
    /// is secret.
    fn report_shared_token(&mut self, header: &str, cause: String) {
        let keys = ["token", "token_sha256"];
        let key = keys.into_iter().find(|key| self.has_key(header, key));
        let kind = FaultKind::Conflict(cause);
        let mut fault = self.fault(header, key.unwrap_or("token"), "", kind);
        fault.value = None;
        self.faults.push(fault);
    }

    /// Reports budgets with different names but the same identifier.
    fn check_budget_ids(&mut self, cfg: &Config) {
        let mut ids = BTreeMap::new();
        for budget in &cfg.budgets {
            let id = BudgetId::from_name(&budget.name);
            let first = ids.insert(id, &budget.name);
            if let Some(first) = first.filter(|&first| *first != budget.name) {
                let cause = format!("budget {first} has the same identifier; choose another name");
                self.report_conflict(
                    &format!("budget {}", budget.name),
                    "name",
                    &budget.name,
                    cause,
                );
            }
        }
    }

    /// Returns whether a section has a key.
    fn has_key(&self, header: &str, key: &str) -> bool {
        let mut sections = self.sections.iter().filter(|s| s.header == header);
        sections.any(|s| s.entries.iter().any(|e| e.key == key))
    }

    /// Returns whether any file contains the section, even if the section has faults.
    fn is_defined(&self, kind: &str, name: &str) -> bool {
        let mut sections = self.sections.iter();
        sections.any(|s| s.kind() == kind && s.name() == name)
    }

    fn report_unknown(&mut self, header: &str, kind: &'static str, value: &str) {
        let same_kind = self.sections.iter().filter(|s| s.kind() == kind);
        let suggestion = suggest::closest(value, same_kind.map(Section::name));
        let fault = self.fault(header, kind, value, FaultKind::UnknownReference(kind));
        self.faults.push(fault.suggestion(suggestion));
    }

    fn report_conflict(&mut self, header: &str, key: &str, value: &str, cause: String) {
        let fault = self.fault(header, key, value, FaultKind::Conflict(cause));
        self.faults.push(fault);
    }

    fn fault(&self, header: &str, key: &str, value: &str, kind: FaultKind) -> Fault {
        let Some(section) = self.sections.iter().find(|s| s.header == header) else {
            return Fault::new(crate::Location::whole(""), kind).section(header);
        };
        let entry = section.entries.iter().find(|e| e.key == key);
        let location = entry.map_or(&section.location, |e| &e.location).clone();
        Fault::new(location, kind)
            .section(header)
            .key(key)
            .value(value)
    }
}
