//! The load, which is the same for every policy, and the counts of its results.

use std::fmt;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::Millis;

/// Most tokens that a request may use.
pub(crate) const WORST_CASE: u64 = 600;

/// Approximate time in which the load uses up the whole budget, in seconds.
const FULL_TO_EMPTY_S: f64 = 100.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    Healthy,
    /// Three of seven routers are cut off from the others and the platform for 60 s.
    Partitioned,
    /// The platform's service is unavailable for 30 s.
    PlatformOut,
}

impl Scenario {
    pub(crate) const ALL: [Scenario; 3] = [
        Scenario::Healthy,
        Scenario::Partitioned,
        Scenario::PlatformOut,
    ];

    /// Returns whether a router reaches the platform at time `at` since the start.
    pub(crate) fn reaches_platform(self, router: usize, at: Millis) -> bool {
        match self {
            Scenario::Healthy => true,
            Scenario::Partitioned => router < 4 || !(20_000..80_000).contains(&at.0),
            Scenario::PlatformOut => !(20_000..50_000).contains(&at.0),
        }
    }

    pub(crate) fn side(self, router: usize, at: Millis) -> u8 {
        let cut = self == Scenario::Partitioned && (20_000..80_000).contains(&at.0);
        u8::from(cut && router >= 4)
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: Millis,
    pub(crate) router: usize,
    /// Tokens that the request uses.
    pub(crate) tokens: u64,
    pub(crate) runs: Millis,
}

pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    pub(crate) scenario: Scenario,
    pub(crate) balance: u64,
    pub(crate) requests: Vec<Request>,
}

impl Load {
    pub(crate) fn new(seed: u64, routers: usize, rate: f64, scenario: Scenario) -> Load {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut at = 0.0;
        let mut requests = Vec::new();
        while at < FULL_TO_EMPTY_S * 1.2 {
            at -= (1.0 - rng.random::<f64>()).ln() / rate;
            // The first routers get more requests than the last ones.
            let skewed = rng.random::<f64>().powf(1.5);
            requests.push(Request {
                at: Millis((at * 1_000.0) as u64),
                router: (skewed * routers as f64) as usize,
                tokens: rng.random_range(100..=WORST_CASE - 100),
                runs: Millis(rng.random_range(300..3_000)),
            });
        }
        let balance = (FULL_TO_EMPTY_S * rate * 300.0) as u64;
        Load {
            seed,
            routers,
            scenario,
            balance,
            requests,
        }
    }
}

/// Counts of the requests' results.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    /// Requests that arrived while at least a tenth of the balance was left.
    pub(crate) early: u64,
    /// Requests refused although the balance covered them, while at least a tenth of it was left.
    pub(crate) false_early: u64,
    /// Requests refused although the balance covered them, while less than a tenth of it was left.
    pub(crate) false_late: u64,
    pub(crate) refused: u64,
    pub(crate) overspent: u64,
    /// Answers whose end was held back for more than 5 s, or was never released.
    pub(crate) stalled: u64,
}

impl Tally {
    pub(crate) const HEADER: &str = "requests | refused | falsely refused with a tenth left | \
        per 1,000 requests with a tenth left | falsely refused later | ends held over 5 s | \
        overspent tokens";
    pub(crate) const COLUMNS: usize = 7;

    /// Counts a request. `free` are the tokens that a single ledger would have had free for it.
    pub(crate) fn record_request(&mut self, balance: u64, free: u64) {
        self.requests += 1;
        self.early += u64::from(free >= balance / 10);
    }

    pub(crate) fn record_refusal(&mut self, balance: u64, free: u64) {
        self.refused += 1;
        let covered = u64::from(free >= WORST_CASE);
        match free >= balance / 10 {
            true => self.false_early += covered,
            false => self.false_late += covered,
        }
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_mille = self.false_early as f64 * 1_000.0 / self.early.max(1) as f64;
        write!(
            f,
            "{} | {} | {} | {per_mille:.2} | {} | {} | {}",
            self.requests,
            self.refused,
            self.false_early,
            self.false_late,
            self.stalled,
            self.overspent
        )
    }
}
