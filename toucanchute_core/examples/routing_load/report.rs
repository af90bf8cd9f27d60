//! Measurements of a run.

use hdrhistogram::Histogram;

use crate::policy::PolicyKind;

/// Time to the first token up to which a request counts as served in time after a burst, in
/// microseconds.
const RECOVERED_US: u64 = 1_100_000;

/// Longest time recorded, in microseconds.
const MAX_US: u64 = 1_000_000_000;

/// Start of the window in which goodput is measured, in seconds.
pub(crate) const WARM_UP: u64 = 20;

pub(crate) struct Report {
    /// Times from arrival to the first token, in microseconds.
    pub(crate) first_tokens: Histogram<u64>,
    /// Times between tokens, in microseconds.
    pub(crate) token_gaps: Histogram<u64>,
    pub(crate) arrived: u64,
    /// Requests refused, at once or after waiting in the queue.
    pub(crate) refused: u64,
    /// Requests that got no first token in time.
    pub(crate) late: u64,
    /// Complete answers within the window.
    pub(crate) completed: u64,
    /// Length of the window, in seconds.
    pub(crate) window: u64,
    /// Times to the first token, by second of arrival; `u64::MAX` for a request that got none.
    pub(crate) seconds: Vec<Vec<u64>>,
    pub(crate) burst_end: u64,
}

impl Report {
    pub(crate) const HEADER: &str = "| scenario | policy | first token p50/p95/p99 ms | between \
        tokens p50/p95/p99 ms | goodput/s | of capacity | refused | no answer in time | recovery s |\n\
        |---|---|---|---|---|---|---|---|---|";

    pub(crate) fn new(duration: u64, burst_end: u64) -> Report {
        let histogram = || Histogram::new_with_max(MAX_US, 3).expect("three digits");
        Report {
            first_tokens: histogram(),
            token_gaps: histogram(),
            arrived: 0,
            refused: 0,
            late: 0,
            completed: 0,
            window: duration - WARM_UP,
            seconds: vec![Vec::new(); duration as usize + 1],
            burst_end,
        }
    }

    pub(crate) fn goodput(&self) -> f64 {
        self.completed as f64 / self.window as f64
    }

    pub(crate) fn row(&self, scenario: &str, kind: PolicyKind, capacity: f64) -> String {
        let percent = |n: u64| n as f64 * 100.0 / self.arrived as f64;
        format!(
            "| {scenario} | {kind:?} | {} | {} | {:.1} | {:.0}% | {:.1}% | {:.1}% | {} |",
            quantiles(&self.first_tokens),
            quantiles(&self.token_gaps),
            self.goodput(),
            self.goodput() * 100.0 / capacity,
            percent(self.refused),
            percent(self.late),
            self.recovery(),
        )
    }

    /// Returns the seconds from the burst's end to the first five seconds in which 95% of the
    /// requests were served in time.
    fn recovery(&self) -> String {
        if self.burst_end == 0 {
            return "-".to_owned();
        }
        let after = &self.seconds[self.burst_end as usize..];
        let recovered = |seconds: &[Vec<u64>]| {
            let firsts = seconds.iter().flatten();
            let late = firsts.clone().filter(|&&f| f > RECOVERED_US).count();
            late * 20 <= firsts.count()
        };
        let at = after.windows(5).position(recovered);
        at.map_or("none".to_owned(), |s| s.to_string())
    }
}

fn quantiles(h: &Histogram<u64>) -> String {
    let ms = |q| h.value_at_quantile(q) as f64 / 1_000.0;
    format!("{:.0}/{:.0}/{:.0}", ms(0.5), ms(0.95), ms(0.99))
}
