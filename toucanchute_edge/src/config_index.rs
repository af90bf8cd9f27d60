use std::{collections::HashMap, sync::Arc};

use sha2::{Digest as _, Sha256};
use toucanchute_proto::{
    BudgetId,
    config::{Config, Customer, Service},
};

/// Position of a customer in the configuration that a [`ConfigIndex`] was built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CustomerKey(usize);

/// Look-up tables for one version of the configuration.
#[derive(Debug)]
pub(crate) struct ConfigIndex {
    config: Arc<Config>,
    /// Customers by the SHA-256 of their token; each value is a valid index into
    /// `config.customers`.
    tokens: HashMap<[u8; 32], CustomerKey>,
    /// Services by name; each value is a valid index into `config.services`.
    services: HashMap<String, usize>,
}

impl ConfigIndex {
    /// Builds the tables for `config`.
    pub(crate) fn new(config: Arc<Config>) -> ConfigIndex {
        let customers = config.customers.iter().enumerate();
        let tokens = customers
            .filter_map(|(i, c)| Some((parse_sha256(&c.token_sha256)?, CustomerKey(i))))
            .collect();
        let services = config.services.iter().enumerate();
        let services = services.map(|(i, s)| (s.name.clone(), i)).collect();
        ConfigIndex {
            config,
            tokens,
            services,
        }
    }

    /// Returns the configuration.
    pub(crate) fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the customer with the bearer token `token`.
    pub(crate) fn authenticate(&self, token: &[u8]) -> Option<CustomerKey> {
        self.tokens.get(&sha256(token)).copied()
    }

    /// Returns the configuration of a customer.
    ///
    /// # Panics
    ///
    /// May panic if `key` comes from another index.
    pub(crate) fn customer(&self, key: CustomerKey) -> &Customer {
        &self.config.customers[key.0]
    }

    /// Returns the budget that a customer draws from.
    pub(crate) fn budget(&self, key: CustomerKey) -> BudgetId {
        BudgetId::from_name(&self.customer(key).budget)
    }

    /// Returns whether a model named `name` is configured.
    pub(crate) fn has_model(&self, name: &str) -> bool {
        self.config.models.iter().any(|m| m.name == name)
    }

    /// Returns the plain service named `name`.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        let position = *self.services.get(name)?;
        self.config.services.get(position)
    }
}

/// Returns the SHA-256 of `bytes`.
pub(crate) fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
pub(crate) fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut out = [0; 32];
    for (byte, pair) in out.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(out)
}
