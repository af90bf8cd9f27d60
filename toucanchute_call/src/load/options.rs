use std::{net::SocketAddr, time::Duration};

use crate::caller::CallerOptions;

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Routers to fetch the address list from.
    pub seeds: Vec<SocketAddr>,
    /// Customers, drawn with equal probability; at least one.
    pub customers: Vec<LoadCustomer>,
    /// Models; all models and services are drawn with equal probability.
    pub models: Vec<String>,
    /// Plain services.
    pub services: Vec<LoadService>,
    /// Mean number of arrivals per second.
    pub rate: f64,
    /// Time span in which requests arrive.
    pub duration: Duration,
    /// Seed of the arrival times, the mix of requests, the prompts and the keys.
    pub seed: u64,
    /// Part of each key that distinguishes this run from others with the same seed.
    pub run_id: u64,
    /// Length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// Maximum length of an answer, in tokens.
    pub max_tokens: u64,
    /// Share of completions that are streamed, from 0 to 1.
    pub stream_share: f64,
    /// Whether answers are checked against those that the fake engine and service produce.
    pub check: bool,
    /// Retry settings of the callers.
    pub caller: CallerOptions,
    /// Operator token for reading statements; without it none are read.
    pub operator_token: Option<String>,
}

/// A customer of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadCustomer {
    /// Bearer token.
    pub token: String,
    /// Name of the customer's budget; empty if its statement is not read.
    pub budget: String,
}

/// A plain service of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadService {
    /// Name of the service.
    pub name: String,
    /// Price of one call, in tokens.
    pub price: u64,
}

/// Account of one budget from its statement, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BudgetAccount {
    /// Sum of all top-ups.
    pub(crate) topped_up: u64,
    /// Tokens billed so far.
    pub(crate) spent: u64,
    /// Remainders of forfeited grants.
    pub(crate) forfeited: u64,
}
