//! Comparison of the ledger's statement with what callers and stand-ins saw.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

use crate::{answer::Ended, caller::Work, load::Record};

/// A budget's statement.
#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct Statement {
    pub(crate) topped_up: u64,
    free: u64,
    pub(crate) spent: u64,
    granted: u64,
    forfeited: u64,
}

impl Statement {
    /// Returns whether the parts are the whole.
    pub(crate) fn adds_up(&self) -> bool {
        self.topped_up == self.free + self.spent + self.granted + self.forfeited
    }
}

/// What the bills of a set of requests may come to, each key billed once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bills {
    /// Sum over the requests whose whole answer came, in tokens.
    pub(crate) due: u64,
    /// Most that the others may have been billed, in tokens.
    pub(crate) possible: u64,
}

impl Bills {
    /// Adds up the records; of each key the one that ended with an answer counts.
    pub(crate) fn of(records: &[Record]) -> Bills {
        let mut by_key: BTreeMap<&str, &Record> = BTreeMap::new();
        for record in records {
            let kept = by_key.entry(&record.request.key).or_insert(record);
            if matches!(record.ended, Ended::Answered(_)) {
                *kept = record;
            }
        }
        let mut bills = Bills::default();
        for record in by_key.values() {
            match &record.ended {
                Ended::Answered(answer) => bills.due += answer.tokens,
                // The request did not run and is not billed.
                Ended::Refused(refused) if refused.outcome == "not-run" => {}
                Ended::Refused(_) | Ended::Broken(_) => {
                    bills.possible += worst_case(&record.request.work);
                }
            }
        }
        bills
    }

    /// Returns whether the ledger's sum is what was due, or that and some of what is possible.
    pub(crate) fn explain(self, spent: u64) -> bool {
        (self.due..=self.due + self.possible).contains(&spent)
    }
}

fn worst_case(work: &Work) -> u64 {
    match work {
        Work::Completion { prompt, max_tokens } => {
            toucanchute_fakes::prompt_tokens(prompt) + max_tokens
        }
        Work::Service { price, .. } => *price,
    }
}

/// Returns the greatest number of runs under one key in a plain service's counts.
pub(crate) fn most_runs(stats: &[Value]) -> u64 {
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for by_key in stats
        .iter()
        .filter_map(|stats| stats["runs_by_key"].as_object())
    {
        for (key, count) in by_key {
            *runs.entry(key).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    runs.into_values().max().unwrap_or(0)
}
