use slotmap::new_key_type;
use toucanchute_proto::Millis;

use super::{
    believed_load::LoadStatistics, cold::WarmUpPolicy, queue::FairQueue, retry::RetryBudget,
};

new_key_type! {
    /// Key of a backend server in the dispatcher's arena.
    pub(super) struct BackendKey;
    /// Key of a pool in the dispatcher's arena.
    pub(super) struct PoolKey;
}

/// Weight of one measurement in a pool's averages.
const AVERAGE_WEIGHT: f64 = 0.02;

/// Weight of one interval in the average time between starts.
const INTERVAL_WEIGHT: f64 = 0.05;

/// Number of intervals between starts that have to be measured before waits are predicted.
const MIN_INTERVALS: u32 = 16;

/// Time beyond twice the pool's average after which a first token counts as slow, in milliseconds.
const FIRST_TOKEN_SLACK_MS: f64 = 100.0;

/// Average deviations that a call's deadline has to leave beyond the average first-token time.
const DEADLINE_SPREADS: f64 = 2.0;

/// Time without a first token in which the time predicted for one is halved. Calls that are refused by the
/// prediction bring no measurement that could correct it.
const PREDICTION_HALF_LIFE: Millis = Millis(1_000);

/// Time after which a queue that has not been empty counts as overload instead of a burst.
const MAX_BURST: Millis = Millis(2_000);

/// Longest predicted wait with which a call is admitted during overload.
const OVERLOAD_MAX_WAIT: Millis = Millis(1_000);

/// Multiple of the pool's average time between tokens above which a time counts as slow.
const SLOW_TOKEN_FACTOR: f64 = 1.5;

/// Backend servers that are replicas of each other, and the calls that wait for one of them.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) name: String,
    pub(super) max_concurrency: u32,
    /// How its replicas warm up; `None` if they take any number of requests at once.
    pub(super) warm_up: Option<WarmUpPolicy>,
    pub(super) members: Vec<BackendKey>,
    pub(super) queue: FairQueue,
    pub(super) retries: RetryBudget,
    /// What its replicas reported of their loads.
    pub(super) loads: LoadStatistics,
    /// When the replicas next learn their pool's typical load.
    pub(super) next_typical_load: Millis,
    /// Average time to the first token, in milliseconds.
    first_token: Average,
    /// When the last one was measured.
    last_first_token: Millis,
    /// Average size of requests, in tokens.
    request_size: Average,
    /// Average absolute deviation of first-token times from their average, in milliseconds.
    first_token_spread: Average,
    /// Average time between tokens, in milliseconds.
    token_time: Average,
    /// Average time between two starts while calls wait, in milliseconds.
    start_interval: Average,
    last_start: Option<Millis>,
    /// Since when the queue has not been empty.
    waiting_since: Option<Millis>,
    /// Number of routers that share the permits of its rate-limited replicas.
    pub(super) permit_askers: u32,
    /// Time at which the next caller that is refused for lack of permits should return.
    pub(super) next_return: Millis,
}

/// An exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Adds a sample with the given weight. The first samples have equal weights.
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
            warm_up: None,
            members: Vec::new(),
            queue: FairQueue::default(),
            retries: RetryBudget::new(),
            loads: LoadStatistics::default(),
            next_typical_load: Millis(0),
            first_token: Average::default(),
            last_first_token: Millis(0),
            request_size: Average::default(),
            first_token_spread: Average::default(),
            token_time: Average::default(),
            start_interval: Average::default(),
            last_start: None,
            waiting_since: None,
            permit_askers: 1,
            next_return: Millis(0),
        }
    }

    // Latency

    /// Whether a request of `tokens` has waited longer for its first token than the pool's servers take
    /// for its size at present, in milliseconds; `None` before the first measurement.
    pub(super) fn is_slow_first_token(&self, ms: f64, tokens: u64) -> Option<bool> {
        let average = self.request_size.get().unwrap_or(0.0).max(1.0);
        let scale = (tokens as f64 / average).max(1.0);
        let usual = self.first_token.get()?;
        Some(ms > 2.0 * usual * scale + FIRST_TOKEN_SLACK_MS)
    }

    /// Records the time to the first token of a request of `tokens`, in milliseconds; returns
    /// whether it is slow for the request's size.
    pub(super) fn record_first_token(&mut self, now: Millis, ms: f64, tokens: u64) -> bool {
        self.last_first_token = now;
        let slow = self.is_slow_first_token(ms, tokens).unwrap_or(false);
        self.request_size.add(tokens as f64, AVERAGE_WEIGHT);
        if let Some(avg) = self.first_token.get() {
            self.first_token_spread
                .add((ms - avg).abs(), AVERAGE_WEIGHT);
        }
        self.first_token.add(ms, AVERAGE_WEIGHT);
        slow
    }

    /// Records a time between tokens, in milliseconds; returns whether it is slow.
    pub(super) fn record_token_time(&mut self, ms: f64) -> bool {
        let slow = self
            .token_time
            .get()
            .is_some_and(|avg| ms > SLOW_TOKEN_FACTOR * avg);
        self.token_time.add(ms, AVERAGE_WEIGHT);
        slow
    }

    /// Returns the average time between tokens, in milliseconds.
    pub(super) fn token_time(&self) -> Option<f64> {
        self.token_time.get()
    }

    /// Returns the latest time at which a call may start and still get its first byte by
    /// `deadline`.
    pub(super) fn latest_start(&self, now: Millis, deadline: Millis) -> Millis {
        let average = self.first_token.get().unwrap_or(0.0);
        let spread = self.first_token_spread.get().unwrap_or(0.0);
        let age = now.since(self.last_first_token).0 as f64;
        let half_lives = age / PREDICTION_HALF_LIFE.0 as f64;
        let predicted = (average + DEADLINE_SPREADS * spread) * 0.5_f64.powf(half_lives);
        deadline - Millis(predicted as u64)
    }

    // Waiting

    /// Records that a call started, and whether others still wait. Only starts while calls wait
    /// show how fast the queue drains.
    pub(super) fn record_start(&mut self, now: Millis, waiting: bool) {
        if let Some(last) = self.last_start {
            self.start_interval
                .add(now.since(last).0 as f64, INTERVAL_WEIGHT);
        }
        self.last_start = waiting.then_some(now);
    }

    /// Records whether calls wait now.
    pub(super) fn update_waiting(&mut self, now: Millis) {
        match self.queue.is_empty() {
            true => self.waiting_since = None,
            false => _ = self.waiting_since.get_or_insert(now),
        }
    }

    /// Returns the longest predicted wait with which a new call is admitted, apart from its
    /// deadline.
    ///
    /// A short burst may fill the queue. During lasting overload the queue is kept to what drains
    /// fast, since a longer queue does not serve more calls.
    pub(super) fn max_wait(&self, now: Millis) -> Millis {
        let since = self.waiting_since;
        match since.is_some_and(|at| now.since(at) >= MAX_BURST) {
            true => OVERLOAD_MAX_WAIT,
            false => Millis::MAX,
        }
    }

    /// Returns the predicted wait of a call with `ahead` calls before it.
    pub(super) fn predicted_wait(&self, ahead: usize) -> Millis {
        if self.start_interval.count < MIN_INTERVALS {
            return Millis(0);
        }
        Millis((self.start_interval.value * ahead as f64) as u64)
    }
}
