use std::{collections::BTreeMap, fmt};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Report of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[non_exhaustive]
pub struct Report {
    /// Seed of the load.
    pub seed: u64,
    /// Time until the last request had ended, in seconds.
    pub seconds: f64,
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Retries of the requests that were answered completely.
    pub retries: u64,
    /// Tokens of complete answers and their prompts.
    pub tokens: u64,
    /// Requests without an answer, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests without an answer, by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests refused for lack of tokens although the budget's statement showed enough left.
    pub false_refusals: u64,
    /// Answers that belong to another request.
    pub not_own: u64,
    /// Answers with parts missing, doubled or out of order.
    pub not_whole: u64,
    /// Service calls that ran more than once under their key.
    pub run_twice: u64,
    /// Tokens spent beyond the top-ups, summed over all budgets.
    pub overspent: u64,
    /// Time from arrival to the first token, in milliseconds.
    pub first_ms: Percentiles,
    /// Time between consecutive tokens, in milliseconds.
    pub gap_ms: Percentiles,
    /// Time from arrival to the end of the answer, in milliseconds.
    pub whole_ms: Percentiles,
    /// Accounts after the load; empty if no statement could be read.
    pub budgets: BTreeMap<String, BudgetReport>,
}

/// Account of one budget after a load, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BudgetReport {
    /// Sum of all top-ups.
    pub topped_up: u64,
    /// Tokens billed in total.
    pub spent: u64,
    /// Tokens billed during the load.
    pub spent_by_load: u64,
    /// Tokens billed beyond the top-ups.
    pub overspent: u64,
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl Report {
    /// Returns whether nothing was overspent, every answer was whole and belonged to its request,
    /// and every service call ran once.
    #[must_use]
    pub fn passes_checks(&self) -> bool {
        self.overspent + self.not_own + self.not_whole + self.run_twice == 0
    }
}

impl Percentiles {
    /// Returns the percentiles, in milliseconds, of a histogram that holds microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> Percentiles {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        Percentiles {
            count: histogram.len(),
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>8} values  p50 {:>9.2}  p90 {:>9.2}  p95 {:>9.2}  p99 {:>9.2}  max {:>9.2} ms",
            self.count, self.p50, self.p90, self.p95, self.p99, self.max
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.complete as f64 / self.seconds.max(f64::MIN_POSITIVE);
        writeln!(f, "seed            {}", self.seed)?;
        writeln!(
            f,
            "requests        {} in {:.2} s",
            self.requests, self.seconds
        )?;
        writeln!(f, "complete        {} ({rate:.1}/s)", self.complete)?;
        writeln!(f, "retries         {}", self.retries)?;
        writeln!(f, "tokens          {}", self.tokens)?;
        for (reason, count) in &self.refused {
            writeln!(f, "refused         {count} {reason}")?;
        }
        for (outcome, count) in &self.outcomes {
            writeln!(f, "outcome         {count} {outcome}")?;
        }
        writeln!(f, "false refusals  {}", self.false_refusals)?;
        writeln!(f, "not own         {}", self.not_own)?;
        writeln!(f, "not whole       {}", self.not_whole)?;
        writeln!(f, "run twice       {}", self.run_twice)?;
        writeln!(f, "overspent       {}", self.overspent)?;
        writeln!(f, "first token     {}", self.first_ms)?;
        writeln!(f, "between tokens  {}", self.gap_ms)?;
        writeln!(f, "whole answer    {}", self.whole_ms)?;
        for (name, b) in &self.budgets {
            writeln!(
                f,
                "budget          {name}: topped up {}, spent {} ({} by this load)",
                b.topped_up, b.spent, b.spent_by_load
            )?;
        }
        Ok(())
    }
}
