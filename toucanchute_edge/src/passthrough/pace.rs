//! How long requests take, as this router observes them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use toucanchute_proto::config::Config;

/// Weight of a new observation in a mean, as its reciprocal.
const MEAN_DIVISOR: f64 = 8.0;

/// Weight of a new observation in a mean deviation, as its reciprocal.
const DEVIATION_DIVISOR: f64 = 4.0;

/// Observations of all routes, by name.
#[derive(Debug, Default)]
pub(super) struct PaceTable(Mutex<HashMap<String, Arc<RoutePace>>>);

impl PaceTable {
    /// Returns the observations of a route.
    pub(super) fn route(&self, name: &str) -> Arc<RoutePace> {
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pace) = paces.get(name) {
            return Arc::clone(pace);
        }
        Arc::clone(paces.entry(name.to_owned()).or_default())
    }

    /// Forgets routes that are no longer configured.
    pub(super) fn retain_configured(&self, config: &Config) {
        let mut paces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        paces.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
    }
}

/// Observations of one route.
#[derive(Debug, Default)]
pub(super) struct RoutePace(Mutex<Observations>);

#[derive(Debug, Default)]
struct Observations {
    /// Time from the assignment of a backend server to the first event of a stream.
    first_event: SmoothedTime,
    /// Time between two events of a stream.
    event_gap: SmoothedTime,
    /// Time from the assignment to the end of the response.
    whole: SmoothedTime,
}

impl RoutePace {
    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the time to the first event of a stream.
    pub(super) fn record_first_event(&self, time: Duration) {
        self.lock().first_event.record(time);
    }

    /// Records `count` events that arrived together, `time` after the ones before.
    pub(super) fn record_events(&self, time: Duration, count: u64) {
        let each = time.as_secs_f64() / count.max(1) as f64;
        self.lock().event_gap.record(Duration::from_secs_f64(each));
    }

    /// Records the time of a request that was answered.
    pub(super) fn record_whole(&self, time: Duration) {
        self.lock().whole.record(time);
    }

    /// Returns how long a request probably takes at most, if it can be estimated. `events` is the
    /// number of events that a stream may have, if that is known.
    pub(super) fn expected(&self, events: Option<u64>) -> Option<Duration> {
        let seen = self.lock();
        let by_events = events.zip(seen.event_gap.likely_max());
        let by_events = by_events.map(|(events, gap)| {
            let first = seen.first_event.likely_max().unwrap_or_default();
            first + gap.mul_f64(events.saturating_sub(1) as f64)
        });
        by_events.or_else(|| seen.whole.likely_max())
    }
}

/// Mean of a time and its mean deviation, both smoothed as for retransmissions in TCP (RFC 6298).
#[derive(Debug, Default)]
struct SmoothedTime(Option<Smoothed>);

/// Mean and mean deviation, in seconds.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean: f64,
    deviation: f64,
}

impl SmoothedTime {
    fn record(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let smoothed = self.0.get_or_insert(Smoothed {
            mean: time,
            deviation: time / 2.0,
        });
        let error = time - smoothed.mean;
        smoothed.deviation += (error.abs() - smoothed.deviation) / DEVIATION_DIVISOR;
        smoothed.mean += error / MEAN_DIVISOR;
    }

    /// Returns a time that most observations do not exceed.
    fn likely_max(&self) -> Option<Duration> {
        let max = self.0.map(|s| s.mean + s.deviation)?;
        Some(Duration::from_secs_f64(max))
    }
}

#[cfg(test)]
mod tests;
