use crate::config::Config;

/// The generator derives no comparison for a schema's root type.
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
    }
}
