use toucanchute_proto::Millis;

/// Retries allowed previous any fresh work.
const INITIAL_RETRIES: f64 = 10.0;

/// Time over which fresh work counts for a burst of retries; the fleet's retries are counted in
/// windows of at least this length.
const WINDOW: Millis = Millis(5_000);

/// Part of the share by which a burst may exceed what was saved, of the fresh work of a window.
const BURST_FACTOR: f64 = 0.3;

/// Allows retries as a share of fresh work.
///
/// A server that ends with many requests in flight needs as many retries at once, so that more of
/// them may be saved up the more fresh work there was lately.
#[derive(Debug)]
pub(super) struct RetryBudget {
    share: f64,
    /// From 0 to [`RetryBudget::limit`].
    saved: f64,
    /// Most retries saved up without any fresh work.
    base_limit: f64,
    recent: RecentRequests,
}

/// Fresh work of the last window, in two halves.
#[derive(Debug, Default)]
struct RecentRequests {
    /// Begin of the present half.
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

    pub(super) fn record_fresh(&mut self, now: Millis) {
        self.recent.add(now);
        self.saved = (self.saved + self.share).min(self.limit());
    }

    /// Takes one retry out of the budget, if there is one.
    pub(super) fn try_take(&mut self, now: Millis) -> bool {
        self.recent.advance(now);
        self.saved = self.saved.min(self.limit());
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }

    /// Most retries that may be saved up now.
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
