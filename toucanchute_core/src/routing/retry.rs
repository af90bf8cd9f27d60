/// Retries allowed before any fresh work.
const INITIAL: f64 = 10.0;

/// Allows retries as a share of fresh work.
#[derive(Debug)]
pub(super) struct RetryBudget {
    share: f64,
    /// From 0 to `most`.
    saved: f64,
    /// Most retries saved up.
    most: f64,
}

impl RetryBudget {
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            share: 0.0,
            saved: INITIAL,
            most: INITIAL,
        }
    }

    pub(super) fn configure(&mut self, percent: u32, burst: u32) {
        self.share = f64::from(percent) / 100.0;
        self.most = f64::from(burst);
        self.saved = self.saved.min(self.most);
    }

    pub(super) fn fresh(&mut self) {
        self.saved = (self.saved + self.share).min(self.most);
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
