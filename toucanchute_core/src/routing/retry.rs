use toucanchute_proto::Millis;

/// Retries allowed before any first attempts.
const INITIAL_RETRIES: f64 = 10.0;

/// Time during which first attempts raise the bound of a burst of retries. The fleet's retries are
/// counted in windows of at least this length.
const WINDOW: Millis = Millis(5_000);

/// Factor on the retry share of a window's first attempts. The product is added to the bound of
/// saved retries.
const BURST_FACTOR: f64 = 0.3;

/// Share of the largest number of saved retries that hedges leave to requests whose attempts failed.
const HEDGE_RESERVE: f64 = 0.25;

/// Budget that allows retries as a share of first attempts.
///
/// When a server ends with many requests in flight, as many retries are needed at once. For this
/// reason, more retries may be saved the more first attempts there were recently.
#[derive(Debug)]
pub(super) struct RetryBudget {
    share: f64,
    /// Retries that may be made now, from 0 to [`RetryBudget::limit`].
    saved: f64,
    /// Largest number of saved retries without recent first attempts.
    base_limit: f64,
    recent: RecentRequests,
}

/// Counts of the first attempts of the last window, in two halves.
#[derive(Debug, Default)]
struct RecentRequests {
    /// Start of the current half.
    since: Millis,
    previous: u32,
    current: u32,
}

impl RetryBudget {
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            share: 0.0,
            saved: INITIAL_RETRIES,
            base_limit: INITIAL_RETRIES,
            recent: RecentRequests::default(),
        }
    }

    pub(super) fn configure(&mut self, percent: u32, burst: u32) {
        self.share = f64::from(percent) / 100.0;
        self.base_limit = f64::from(burst);
        self.saved = self.saved.min(self.limit());
    }

    /// Records a first attempt, which adds to the saved retries.
    pub(super) fn record_fresh(&mut self, now: Millis) {
        self.recent.add(now);
        self.saved = (self.saved + self.share).min(self.limit());
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub(super) fn try_take(&mut self, now: Millis) -> bool {
        self.recent.advance(now);
        self.saved = self.saved.min(self.limit());
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }

    /// Does the same as `try_take` for a hedge, which leaves [`HEDGE_RESERVE`] to other retries.
    pub(super) fn try_take_hedge(&mut self, now: Millis) -> bool {
        self.recent.advance(now);
        self.saved > self.limit() * HEDGE_RESERVE && self.try_take(now)
    }

    /// Returns the largest number of retries that may be saved now.
    fn limit(&self) -> f64 {
        self.base_limit + BURST_FACTOR * self.share * f64::from(self.recent.count())
    }
}

impl RecentRequests {
    fn add(&mut self, now: Millis) {
        self.advance(now);
        self.current = self.current.saturating_add(1);
    }

    fn advance(&mut self, now: Millis) {
        let half = Millis(WINDOW.0 / 2);
        let passed = now.since(self.since);
        if passed < half {
            return;
        }
        self.previous = if passed < WINDOW { self.current } else { 0 };
        self.current = 0;
        self.since = now;
    }

    fn count(&self) -> u32 {
        self.previous.saturating_add(self.current)
    }
}
