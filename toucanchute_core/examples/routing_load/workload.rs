//! Requests and their times of arrival.

use rand::{Rng, rngs::SmallRng};

/// Number of sites. Prompts about one site share its history as their prefix.
const SITES: u64 = 60;

/// Tokens of one block of a prompt.
pub(crate) const BLOCK: u64 = 64;

/// Rate of requests over time.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Rate outside the burst, in requests per second.
    base: f64,
    peak: f64,
    /// Start and end of the burst, in seconds.
    pub(crate) burst: (u64, u64),
    /// Duration of the run, in seconds.
    pub(crate) duration: u64,
}

/// Work of one request.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) customer: usize,
    pub(crate) prompt: u64,
    pub(crate) output: u64,
    pub(crate) prefix: Vec<u64>,
}

impl Workload {
    pub(crate) fn steady(rate: f64, duration: u64) -> Workload {
        Workload {
            base: rate,
            peak: rate,
            burst: (0, 0),
            duration,
        }
    }

    pub(crate) fn burst(base: f64, peak: f64, duration: u64) -> Workload {
        Workload {
            base,
            peak,
            burst: (40, 50),
            duration,
        }
    }

    /// Returns the time to the next request, in microseconds.
    pub(crate) fn arrival_gap(&self, now: u64, rng: &mut SmallRng) -> u64 {
        let second = now / 1_000_000;
        let in_burst = (self.burst.0..self.burst.1).contains(&second);
        let rate = if in_burst { self.peak } else { self.base };
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        (-uniform.ln() / rate * 1e6) as u64
    }

    /// Returns the work of a random request: half are hazard tags, three in ten are briefings, and
    /// two in ten are reports over a long site history.
    pub(crate) fn work(&self, rng: &mut SmallRng) -> Work {
        let (prompt, output) = match rng.random_range(0..10) {
            0..5 => (256, 20),
            5..8 => (768, 120),
            _ => (6_016, 300),
        };
        let site = rng.random_range(0..SITES).min(rng.random_range(0..SITES));
        let blocks = prompt / BLOCK;
        let shared = blocks * 8 / 10;
        let own: u64 = rng.random();
        let block = |i| {
            if i < shared {
                (site << 32) | (i + 1)
            } else {
                (own | (1 << 63)) ^ i
            }
        };
        Work {
            customer: rng.random_range(0..10usize).min(rng.random_range(0..10)),
            prompt,
            output,
            prefix: (0..blocks).map(block).collect(),
        }
    }
}
