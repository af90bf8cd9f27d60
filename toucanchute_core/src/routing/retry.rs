/// Most retries saved up.
const MAX_SAVED: f64 = 20.0;

/// Retries allowed before any fresh work.
const INITIAL: f64 = 10.0;

/// Allows retries as a share of fresh work.
#[derive(Debug)]
pub(super) struct RetryBudget {
    share: f64,
    /// From 0 to [`MAX_SAVED`].
    saved: f64,
}

impl RetryBudget {
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            share: 0.0,
            saved: INITIAL,
        }
    }

    pub(super) fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    pub(super) fn fresh(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry out of the budget, if there is one.
    pub(super) fn take(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}
