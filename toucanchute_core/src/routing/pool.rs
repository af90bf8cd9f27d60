use slotmap::new_key_type;
use toucanchute_proto::Millis;

use super::{queue::FairQueue, retry::RetryBudget};

new_key_type! {
    /// A backend server in the dispatcher's arena.
    pub(super) struct BackendKey;
    /// A pool in the dispatcher's arena.
    pub(super) struct PoolKey;
}

/// Weight of one measurement in a pool's averages.
const AVERAGE_WEIGHT: f64 = 0.02;

/// Weight of one interval in the average time between starts.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Intervals measured before waits are predicted.
const MIN_INTERVALS: u32 = 16;

/// First-token time beyond twice the pool's average that is taken for slow, in milliseconds.
const FIRST_TOKEN_SLACK_MS: f64 = 100.0;

/// Spreads beyond the average first-token time that a call's deadline has to leave.
const DEADLINE_SPREADS: f64 = 2.0;

/// Time for which calls may wait without a break before it counts as overload.
const MAX_BURST: Millis = Millis(2_000);

/// Longest predicted wait of a call that is admitted in overload.
const OVERLOAD_MAX_WAIT: Millis = Millis(1_000);

/// Time between tokens, as a multiple of the pool's average, that is taken for slow.
const SLOW_TOKEN_FACTOR: f64 = 1.5;

/// Backend servers that are replicas of each other, and the calls that wait for one.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) name: String,
    pub(super) max_concurrency: u32,
    pub(super) members: Vec<BackendKey>,
    pub(super) queue: FairQueue,
    pub(super) retries: RetryBudget,
    /// Average time to the first token, in milliseconds.
    first_token: Average,
    /// Average size of requests, in tokens.
    request_size: Average,
    /// Average distance of first-token times from their average, in milliseconds.
    first_token_spread: Average,
    /// Average time between tokens, in milliseconds.
    token_time: Average,
    /// Average time between starts while calls wait, in milliseconds.
    start_interval: Average,
    last_start: Option<Millis>,
    /// Since when calls have waited without a break.
    waiting_since: Option<Millis>,
}

/// An exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Takes in a sample; the first ones count evenly.
    pub(super) fn add(&mut self, sample: f64, weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = weight.max(1.0 / f64::from(self.count));
        self.value += (sample - self.value) * weight;
    }

    pub(super) fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}

impl Pool {
    pub(super) fn new(name: &str) -> Pool {
        Pool {
            name: name.to_owned(),
            max_concurrency: 1,
            members: Vec::new(),
            queue: FairQueue::default(),
            retries: RetryBudget::new(),
            first_token: Average::default(),
            request_size: Average::default(),
            first_token_spread: Average::default(),
            token_time: Average::default(),
            start_interval: Average::default(),
            last_start: None,
            waiting_since: None,
        }
    }

    // Latency

    /// Takes in the time to the first token of a request of `tokens`; returns whether it is slow
    /// for its size.
    pub(super) fn record_first_token(&mut self, ms: f64, tokens: u64) -> bool {
        let average = self.request_size.get().unwrap_or(0.0).max(1.0);
        let scale = (tokens as f64 / average).max(1.0);
        self.request_size.add(tokens as f64, AVERAGE_WEIGHT);
        let slow = self
            .first_token
            .get()
            .is_some_and(|avg| ms > 2.0 * avg * scale + FIRST_TOKEN_SLACK_MS);
        if let Some(avg) = self.first_token.get() {
            self.first_token_spread
                .add((ms - avg).abs(), AVERAGE_WEIGHT);
        }
        self.first_token.add(ms, AVERAGE_WEIGHT);
        slow
    }

    /// Takes in a time between tokens; returns whether it is slow.
    pub(super) fn record_token_time(&mut self, ms: f64) -> bool {
        let slow = self
            .token_time
            .get()
            .is_some_and(|avg| ms > SLOW_TOKEN_FACTOR * avg);
        self.token_time.add(ms, AVERAGE_WEIGHT);
        slow
    }

    /// Average time between tokens, in milliseconds.
    pub(super) fn token_time(&self) -> Option<f64> {
        self.token_time.get()
    }

    /// Latest time at which a call may start and still have its first byte by `deadline`.
    pub(super) fn latest_start(&self, deadline: Millis) -> Millis {
        let average = self.first_token.get().unwrap_or(0.0);
        let spread = self.first_token_spread.get().unwrap_or(0.0);
        deadline - Millis((average + DEADLINE_SPREADS * spread) as u64)
    }

    // Waiting

    /// Takes in that a call started, and whether others still wait.
    pub(super) fn record_start(&mut self, now: Millis, waiting: bool) {
        if let Some(last) = self.last_start {
            self.start_interval
                .add(now.since(last).0 as f64, INTERVAL_WEIGHT);
        }
        self.last_start = waiting.then_some(now);
    }

    /// Takes in whether calls wait now.
    pub(super) fn update_waiting(&mut self, now: Millis) {
        match self.queue.is_empty() {
            true => self.waiting_since = None,
            false => _ = self.waiting_since.get_or_insert(now),
        }
    }

    /// Longest wait that a new call is admitted to, besides its deadline. A short burst may fill
    /// the queue; a lasting one is cut to what drains fast, since a longer queue serves no more.
    pub(super) fn max_wait(&self, now: Millis) -> Millis {
        let since = self.waiting_since;
        match since.is_some_and(|at| now.since(at) >= MAX_BURST) {
            true => OVERLOAD_MAX_WAIT,
            false => Millis::MAX,
        }
    }

    /// Predicts how long a call waits that has `ahead` calls before it.
    pub(super) fn predicted_wait(&self, ahead: usize) -> Millis {
        if self.start_interval.count < MIN_INTERVALS {
            return Millis(0);
        }
        Millis((self.start_interval.value * ahead as f64) as u64)
    }
}
