use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hdrhistogram::{CreationError, Histogram};

use super::{
    options::{BudgetAccount, LoadOptions},
    report::{BudgetReport, Percentiles, Report},
};
use crate::{answer::Answer, error::CallError, verify::Verdict};

/// Significant digits that the histograms preserve.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters and latency histograms of a running load.
#[derive(Debug)]
pub(crate) struct Tally(Mutex<Counts>);

#[derive(Debug)]
struct Counts {
    report: Report,
    first: Histogram<u64>,
    gap: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Tally {
    /// Creates a tally with all counts at zero.
    pub(crate) fn new() -> Result<Tally, CreationError> {
        let empty = Histogram::new(SIGNIFICANT_DIGITS)?;
        Ok(Tally(Mutex::new(Counts {
            report: Report::default(),
            first: empty.clone(),
            gap: empty.clone(),
            whole: empty,
        })))
    }

    /// Records a complete answer; adds `send_delay` to its latencies.
    pub(crate) fn record_answer(
        &self,
        answer: &Answer,
        send_delay: Duration,
        verdict: Option<Verdict>,
    ) {
        let mut counts = self.counts();
        let report = &mut counts.report;
        report.requests += 1;
        report.complete += 1;
        report.retries += u64::from(answer.tries - 1);
        report.tokens += answer.prompt_tokens + answer.completion_tokens;
        match verdict {
            None | Some(Verdict::Correct) => {}
            Some(Verdict::OtherRequest) => report.not_own += 1,
            Some(Verdict::Corrupt) => report.not_whole += 1,
            Some(Verdict::Rerun) => report.run_twice += 1,
        }
        record_micros(&mut counts.first, answer.timing.first_token + send_delay);
        record_micros(&mut counts.whole, answer.timing.total + send_delay);
        for gap in &answer.timing.gaps {
            record_micros(&mut counts.gap, *gap);
        }
    }

    /// Records a request that was refused or had no answer.
    pub(crate) fn record_failure(&self, err: &CallError, false_refusal: bool) {
        let mut counts = self.counts();
        let report = &mut counts.report;
        report.requests += 1;
        report.false_refusals += u64::from(false_refusal);
        *report.refused.entry(err.reason().to_owned()).or_default() += 1;
        *report
            .outcomes
            .entry(err.outcome().to_string())
            .or_default() += 1;
    }

    /// Returns the report of a load that has ended.
    pub(crate) fn report(
        &self,
        options: &LoadOptions,
        elapsed: Duration,
        before: &BTreeMap<String, BudgetAccount>,
        after: &BTreeMap<String, BudgetAccount>,
    ) -> Report {
        let counts = self.counts();
        let mut report = counts.report.clone();
        report.seed = options.seed;
        report.seconds = elapsed.as_secs_f64();
        report.first_ms = Percentiles::of(&counts.first);
        report.gap_ms = Percentiles::of(&counts.gap);
        report.whole_ms = Percentiles::of(&counts.whole);
        for (name, budget) in after {
            let earlier = before.get(name).copied().unwrap_or_default();
            let account = BudgetReport {
                topped_up: budget.topped_up,
                spent: budget.spent,
                spent_by_load: budget.spent.saturating_sub(earlier.spent),
                overspent: budget.spent.saturating_sub(budget.topped_up),
            };
            report.overspent += account.overspent;
            report.budgets.insert(name.clone(), account);
        }
        report
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records a time span in a histogram of microseconds.
fn record_micros(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    let _ = histogram.record(micros);
}

#[cfg(test)]
mod tests;
