use toucanchute_proto::Millis;

/// Time over which the draw of a budget is averaged.
const WINDOW: Millis = Millis(4_000);

/// Least age assumed when a new average is corrected for the time before its start.
const MIN_AGE: Millis = Millis(500);

/// Average draw of a budget, in tokens per millisecond. Refunded tokens are subtracted.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrawRate {
    since: Millis,
    at: Millis,
    value: f64,
}

impl DrawRate {
    /// Creates an average that starts at `now`.
    pub(super) fn new(now: Millis) -> DrawRate {
        DrawRate {
            since: now,
            at: now,
            value: 0.0,
        }
    }

    /// Adds tokens that were drawn.
    pub(super) fn add(&mut self, now: Millis, tokens: u64) {
        self.decay(now);
        self.value += tokens as f64 / WINDOW.0 as f64;
    }

    /// Subtracts tokens of earlier draws that were refunded.
    pub(super) fn refund(&mut self, now: Millis, tokens: u64) {
        self.decay(now);
        self.value -= tokens as f64 / WINDOW.0 as f64;
    }

    /// Returns the tokens that the average draws in `span`. An average that is younger than its
    /// window is corrected for the missing time.
    pub(super) fn draw(&mut self, now: Millis, span: Millis) -> u64 {
        self.decay(now);
        let age = now.since(self.since).max(MIN_AGE).0 as f64;
        let seen = 1.0 - (-age / WINDOW.0 as f64).exp();
        (self.value.max(0.0) / seen * span.0 as f64) as u64
    }

    fn decay(&mut self, now: Millis) {
        let passed = now.since(self.at).0 as f64;
        self.value *= (-passed / WINDOW.0 as f64).exp();
        self.at = self.at.max(now);
    }
}
