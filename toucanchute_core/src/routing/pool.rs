use slotmap::new_key_type;
use toucanchute_proto::Millis;

use super::{queue::Queue, retry::RetryBudget};

new_key_type! {
    /// A backend server in the dispatcher's arena.
    pub(super) struct BackendKey;
    /// A pool in the dispatcher's arena.
    pub(super) struct PoolKey;
}

/// Weight of one measurement in a pool's averages.
const WEIGHT: f64 = 0.02;

/// Weight of one interval in the average time between starts.
const START_WEIGHT: f64 = 0.05;

/// Intervals measured before waits are predicted.
const MIN_STARTS: u32 = 16;

/// First-token time beyond twice the pool's average that is taken for slow, in milliseconds.
const FIRST_SLACK: f64 = 100.0;

/// Spreads beyond the average first-token time that a call's deadline has to leave.
const SPREADS: f64 = 2.0;

/// Time for which calls may wait without a break before it counts as overload.
const BURST: Millis = Millis(2_000);

/// Longest predicted wait of a call that is admitted in overload.
const STANDING_WAIT: Millis = Millis(1_000);

/// Time between tokens, as a multiple of the pool's average, that is taken for slow.
const TOKEN_SLACK: f64 = 1.5;

/// Backend servers that are replicas of each other, and the calls that wait for one.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) name: String,
    pub(super) max_concurrency: u32,
    pub(super) members: Vec<BackendKey>,
    pub(super) queue: Queue,
    pub(super) retries: RetryBudget,
    /// Average time to the first token, in milliseconds.
    first: Average,
    /// Average size of requests, in tokens.
    size: Average,
    /// Average distance of first-token times from their average, in milliseconds.
    first_spread: Average,
    /// Average time between tokens, in milliseconds.
    token: Average,
    /// Average time between starts while calls wait, in milliseconds.
    interval: Average,
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
            queue: Queue::default(),
            retries: RetryBudget::new(),
            first: Average::default(),
            size: Average::default(),
            first_spread: Average::default(),
            token: Average::default(),
            interval: Average::default(),
            last_start: None,
            waiting_since: None,
        }
    }

    // Latency

    /// Takes in the time to the first token of a request of `tokens`; returns whether it is slow
    /// for its size.
    pub(super) fn first_token(&mut self, ms: f64, tokens: u64) -> bool {
        let average = self.size.get().unwrap_or(0.0).max(1.0);
        let scale = (tokens as f64 / average).max(1.0);
        self.size.add(tokens as f64, WEIGHT);
        let slow = self
            .first
            .get()
            .is_some_and(|avg| ms > 2.0 * avg * scale + FIRST_SLACK);
        if let Some(avg) = self.first.get() {
            self.first_spread.add((ms - avg).abs(), WEIGHT);
        }
        self.first.add(ms, WEIGHT);
        slow
    }

    /// Takes in a time between tokens; returns whether it is slow.
    pub(super) fn between_tokens(&mut self, ms: f64) -> bool {
        let slow = self.token.get().is_some_and(|avg| ms > TOKEN_SLACK * avg);
        self.token.add(ms, WEIGHT);
        slow
    }

    /// Average time between tokens, in milliseconds.
    pub(super) fn token_time(&self) -> Option<f64> {
        self.token.get()
    }

    /// Latest time at which a call may start and still have its first byte by `deadline`.
    pub(super) fn latest_start(&self, deadline: Millis) -> Millis {
        let average = self.first.get().unwrap_or(0.0);
        let spread = self.first_spread.get().unwrap_or(0.0);
        deadline - Millis((average + SPREADS * spread) as u64)
    }

    // Waiting

    /// Takes in that a call started, and whether others still wait.
    pub(super) fn started(&mut self, now: Millis, waiting: bool) {
        if let Some(last) = self.last_start {
            self.interval.add(now.since(last).0 as f64, START_WEIGHT);
        }
        self.last_start = waiting.then_some(now);
    }

    /// Takes in whether calls wait now.
    pub(super) fn observe(&mut self, now: Millis) {
        match self.queue.is_empty() {
            true => self.waiting_since = None,
            false => _ = self.waiting_since.get_or_insert(now),
        }
    }

    /// Longest wait that a new call is admitted to, besides its deadline. A short burst may fill
    /// the queue; a lasting one is cut to what drains fast, since a longer queue serves no more.
    pub(super) fn longest_wait(&self, now: Millis) -> Millis {
        let since = self.waiting_since;
        match since.is_some_and(|at| now.since(at) >= BURST) {
            true => STANDING_WAIT,
            false => Millis::MAX,
        }
    }

    /// Predicts how long a call waits that has `ahead` calls before it.
    pub(super) fn wait(&self, ahead: usize) -> Millis {
        if self.interval.count < MIN_STARTS {
            return Millis(0);
        }
        Millis((self.interval.value * ahead as f64) as u64)
    }
}
