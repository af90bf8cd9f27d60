use toucanchute_proto::Millis;

/// Factor by which a cut lowers the limit.
const CUT_FACTOR: f64 = 0.9;

/// Shortest time between two cuts of the limit.
const MIN_CUT_INTERVAL: Millis = Millis(500);

/// Share of the limit that has to be in use for it to rise.
const RAISE_THRESHOLD: f64 = 0.8;

/// Number of requests that a replica may have, adapted to the measured latency.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    /// Present limit, from 1 to `max`.
    value: f64,
    max: f64,
    last_cut: Millis,
}

impl ConcurrencyLimit {
    pub(super) fn new(max: u32) -> ConcurrencyLimit {
        let max = f64::from(max.max(1));
        ConcurrencyLimit {
            value: max,
            max,
            last_cut: Millis::default(),
        }
    }

    pub(super) fn get(&self) -> f64 {
        self.value
    }

    /// Returns the present limit as a share of the greatest.
    pub(super) fn share(&self) -> f64 {
        self.value / self.max
    }

    pub(super) fn set_max(&mut self, max: u32) {
        let max = f64::from(max.max(1));
        if self.value >= self.max {
            self.value = max;
        }
        self.max = max;
        self.value = self.value.min(max);
    }

    /// Records whether an answer was slow while the replica had `load` requests. Lowers the limit
    /// if so, and otherwise raises it if it is nearly used up.
    pub(super) fn record_measurement(&mut self, now: Millis, slow: bool, load: f64) {
        if slow {
            self.cut(now);
        } else if load >= self.value * RAISE_THRESHOLD {
            self.value = (self.value + 1.0 / self.value).min(self.max);
        }
    }

    /// Lowers the limit, at most once in [`MIN_CUT_INTERVAL`].
    pub(super) fn cut(&mut self, now: Millis) {
        if now.since(self.last_cut) >= MIN_CUT_INTERVAL {
            self.last_cut = now;
            self.value = (self.value * CUT_FACTOR).max(1.0);
        }
    }
}
