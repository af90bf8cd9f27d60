//! Open-loop load: requests start at random times drawn from a seed, whether or not earlier ones
//! have ended.

mod budgets;
mod options;
mod report;
mod schedule;
mod tally;

use std::{sync::Arc, time::Instant};

use snafu::ResultExt as _;
use tokio::task::JoinSet;

pub use options::{LoadCustomer, LoadOptions, LoadService};
pub use report::{BudgetReport, Percentiles, Report};

use crate::{
    caller::Caller,
    error::{CallError, FetchAddressesSnafu, HistogramSnafu, LoadError},
    request::Work,
    verify::verify,
};
use budgets::BudgetStatements;
use schedule::{Arrival, Schedule};
use tally::Tally;

/// Runs a load and returns its report once every request has ended.
///
/// # Errors
///
/// Fails if no router returns an address list at the start, or if a histogram cannot be created.
pub async fn run_load(options: &LoadOptions) -> Result<Report, LoadError> {
    let new =
        |c: &LoadCustomer| Caller::new(options.seeds.clone(), &c.token, options.caller.clone());
    let callers: Vec<Arc<Caller>> = options.customers.iter().map(|c| Arc::new(new(c))).collect();
    if let Some(first) = callers.first() {
        first.addresses().await.context(FetchAddressesSnafu)?;
    }
    let budgets = Arc::new(BudgetStatements::new(options));
    let before = budgets.read_all().await;
    let tally = Arc::new(Tally::new().context(HistogramSnafu)?);
    let mut tasks = JoinSet::new();
    let services: Arc<[LoadService]> = options.services.clone().into();
    let start = Instant::now();
    for arrival in Schedule::new(options) {
        let arrives_at = start + arrival.offset;
        tokio::time::sleep_until(arrives_at.into()).await;
        let request = ScheduledRequest {
            budget: options.customers[arrival.customer].budget.clone(),
            caller: Arc::clone(&callers[arrival.customer]),
            budgets: Arc::clone(&budgets),
            tally: Arc::clone(&tally),
            services: Arc::clone(&services),
            check: options.check,
            send_delay: arrives_at.elapsed(),
            arrival,
        };
        tasks.spawn(request.run());
    }
    while tasks.join_next().await.is_some() {}
    let elapsed = start.elapsed();
    let after = budgets.read_all().await;
    Ok(tally.report(options, elapsed, &before, &after))
}

/// One request of a load, with what is needed to send it and record its result.
struct ScheduledRequest {
    arrival: Arrival,
    caller: Arc<Caller>,
    budget: String,
    budgets: Arc<BudgetStatements>,
    tally: Arc<Tally>,
    services: Arc<[LoadService]>,
    check: bool,
    /// Time between the scheduled arrival of the request and its sending; counts as latency.
    send_delay: std::time::Duration,
}

impl ScheduledRequest {
    async fn run(self) {
        let req = &self.arrival.req;
        match self.caller.send(req, &self.arrival.key).await {
            Ok(answer) => {
                let verdict = self.check.then(|| verify(req, &answer));
                self.tally.record_answer(&answer, self.send_delay, verdict);
            }
            Err(e) => {
                let false_refusal = is_budget_refusal(&e)
                    && self.budgets.has_left(&self.budget, self.max_cost()).await;
                self.tally.record_failure(&e, false_refusal);
            }
        }
    }
}

impl ScheduledRequest {
    /// Returns the maximum cost of the request, in tokens.
    fn max_cost(&self) -> u64 {
        match &self.arrival.req.work {
            Work::Completion {
                prompt, max_tokens, ..
            } => prompt.len() as u64 + max_tokens,
            Work::Service { service, .. } => {
                let mut services = self.services.iter();
                let service = services.find(|s| s.name == *service);
                service.map_or(0, |s| s.price)
            }
        }
    }
}

/// Returns whether a request was refused because the budget had too few tokens.
fn is_budget_refusal(err: &CallError) -> bool {
    matches!(err.reason(), "budget-exhausted" | "grant-unavailable")
}
