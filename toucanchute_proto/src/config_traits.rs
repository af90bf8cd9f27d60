use crate::config::{Config, Ledger, Routing};

/// Written by hand, because the generator derives no comparison for the root type of a schema.
impl PartialEq for Config {
    fn eq(&self, rhs: &Config) -> bool {
        self.version == rhs.version
            && self.site == rhs.site
            && self.routing == rhs.routing
            && self.ledger == rhs.ledger
            && self.models == rhs.models
            && self.services == rhs.services
            && self.pools == rhs.pools
            && self.backends == rhs.backends
            && self.budgets == rhs.budgets
            && self.customers == rhs.customers
            && self.routes == rhs.routes
            && self.callers == rhs.callers
            && self.evacuated_domains == rhs.evacuated_domains
            && self.failure_domains == rhs.failure_domains
    }
}

/// The empty configuration before the first apply, with version 0.
impl Default for Config {
    fn default() -> Config {
        Config {
            version: 0,
            site: String::new(),
            routing: Routing::default(),
            ledger: Ledger::default(),
            models: Vec::new(),
            services: Vec::new(),
            pools: Vec::new(),
            backends: Vec::new(),
            budgets: Vec::new(),
            customers: Vec::new(),
            routes: Vec::new(),
            callers: None,
            evacuated_domains: Vec::new(),
            failure_domains: Vec::new(),
        }
    }
}
