use std::{collections::HashMap, sync::Arc};

use toucanchute_proto::{
    BudgetId,
    config::{Config, Customer, Route},
};

use crate::config_index::{parse_sha256, sha256};

/// Lookup tables for routes, customers and prepaid budgets of one configuration version.
#[derive(Debug)]
pub(super) struct RouteTable {
    config: Arc<Config>,
    /// Indices of routes in `config` by host in lower case, longest prefix first.
    routes_by_host: HashMap<String, Vec<usize>>,
    /// Indices of customers in `config` by the SHA-256 of a token.
    customers_by_token: HashMap<[u8; 32], usize>,
    /// Prepaid budgets: the tokens that may be spent in total.
    prepaid_budgets: HashMap<BudgetId, u64>,
    /// Priorities of the routes, each once, the most urgent first.
    priorities: Vec<u8>,
}

impl RouteTable {
    /// Builds the tables of `config`.
    pub(super) fn new(config: Arc<Config>) -> RouteTable {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes_by_host.entry(host).or_default().push(i);
        }
        for indices in routes_by_host.values_mut() {
            indices.sort_by_key(|&i| std::cmp::Reverse(config.routes[i].prefix.len()));
        }
        let mut customers_by_token = HashMap::new();
        for (i, customer) in config.customers.iter().enumerate() {
            let hashes = [&customer.token_sha256]
                .into_iter()
                .chain(&customer.other_tokens_sha256);
            customers_by_token.extend(hashes.filter_map(|t| Some((parse_sha256(t)?, i))));
        }
        let prepaid_budgets = config.budgets.iter();
        let prepaid_budgets =
            prepaid_budgets.filter_map(|b| Some((BudgetId::from_name(&b.name), b.prepaid?)));
        let mut priorities: Vec<u8> = config.routes.iter().map(|r| r.priority).collect();
        priorities.sort_unstable_by_key(|&p| std::cmp::Reverse(p));
        priorities.dedup();
        RouteTable {
            priorities,
            prepaid_budgets: prepaid_budgets.collect(),
            routes_by_host,
            customers_by_token,
            config,
        }
    }

    /// Returns the version of the configuration.
    pub(super) fn version(&self) -> u64 {
        self.config.version
    }

    /// Returns the configuration.
    pub(super) fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the index of the route that matches `host` and has the longest prefix that `path`
    /// starts with. A port in `host` is ignored.
    pub(super) fn find_route(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.split(':').next().unwrap_or_default();
        let indices = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        let matches_prefix = |i: &usize| path.starts_with(&self.config.routes[*i].prefix);
        indices.iter().copied().find(matches_prefix)
    }

    /// Returns the route at an index that this table returned.
    pub(super) fn route_at(&self, index: usize) -> &Route {
        &self.config.routes[index]
    }

    /// Returns the index of the customer that owns `token`.
    pub(super) fn find_customer(&self, token: &[u8]) -> Option<usize> {
        self.customers_by_token.get(&sha256(token)).copied()
    }

    /// Returns the customer at an index that this table returned.
    pub(super) fn customer_at(&self, index: usize) -> &Customer {
        &self.config.customers[index]
    }

    /// Returns the priority of a customer's requests on a route.
    pub(super) fn priority_of(route: &Route, customer: Option<&Customer>) -> u8 {
        let own = customer.and_then(|c| c.route_priority);
        own.unwrap_or(route.priority)
    }

    /// Returns the number of priorities of routes that are more urgent than this one.
    pub(super) fn rank_of(&self, priority: u8) -> u8 {
        let before = self.priorities.iter().filter(|&&p| p > priority).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Whether callers need a token on routes that are not public. Budgets count as well as
    /// customers, because they remain in the configuration when all tokens are revoked.
    pub(super) fn requires_credential(&self) -> bool {
        !self.config.customers.is_empty() || !self.config.budgets.is_empty()
    }

    /// Returns the maximum number of tokens in one event of a service's streams.
    pub(super) fn tokens_per_event(&self, service: &str) -> u64 {
        let service = self.config.services.iter().find(|s| s.name == service);
        let pool = service.and_then(|s| self.config.pools.iter().find(|p| p.name == s.pool));
        pool.map_or(1, |p| u64::from(p.tokens_per_event))
    }

    /// Returns the most events that a stream on a route may have, with `tokens` of output.
    pub(super) fn events_of_route(&self, route: &Route, tokens: u64) -> u64 {
        let services = route.targets.iter().map(|t| t.service.as_str());
        let tokens_per_event = services.map(|s| self.tokens_per_event(s)).min();
        tokens.div_ceil(tokens_per_event.unwrap_or(1).max(1))
    }

    /// Returns the budget of a customer, if it is prepaid.
    pub(super) fn prepaid_budget(&self, customer: &Customer) -> Option<BudgetId> {
        let budget = BudgetId::from_name(&customer.budget);
        self.prepaid_budgets.contains_key(&budget).then_some(budget)
    }
}
