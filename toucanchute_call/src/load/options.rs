use std::{net::SocketAddr, time::Duration};

use crate::caller::CallerOptions;

/// What a load consists of.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Routers to ask for addresses.
    pub seeds: Vec<SocketAddr>,
    /// Customers, each as likely as the others; at least one.
    pub customers: Vec<LoadCustomer>,
    /// Models, each as likely as the others and as each service.
    pub models: Vec<String>,
    /// Plain services.
    pub services: Vec<LoadService>,
    /// Mean arrivals a second.
    pub rate: f64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Seed of arrivals, mix, prompts and keys.
    pub seed: u64,
    /// Tells keys of this run from those of earlier ones with the same seed.
    pub run_id: u64,
    /// Length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// Longest answer, in tokens.
    pub max_tokens: u64,
    /// Share of completions that are streamed, from 0 to 1.
    pub stream_share: f64,
    /// Whether answers are checked to be those of stand-ins.
    pub check: bool,
    /// How requests are tried again.
    pub caller: CallerOptions,
    /// Operators' token, to read statements.
    pub operator_token: Option<String>,
}

/// A customer of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadCustomer {
    /// Bearer token.
    pub token: String,
    /// Name of its budget; empty if statements are not read.
    pub budget: String,
}

/// A plain service of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadService {
    /// Name.
    pub name: String,
    /// Price of one call, in tokens.
    pub price: u64,
}

/// Account of one budget, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct BudgetAccount {
    /// Sum of all top-ups.
    pub(crate) topped_up: u64,
    /// Billed so far.
    pub(crate) spent: u64,
    /// Remainders of forfeited grants.
    pub(crate) forfeited: u64,
}
