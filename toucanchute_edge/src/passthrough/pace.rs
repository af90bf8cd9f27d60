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
    /// Number of events of a stream that was answered.
    length: Smoothed,
    /// Bytes of a response to a caller, without its head.
    response_bytes: Smoothed,
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

    /// Records the number of events of a stream that was answered.
    pub(super) fn record_length(&self, events: u64) {
        self.lock().length.record(events as f64);
    }

    /// Records the bytes of a response that was answered.
    pub(super) fn record_response_bytes(&self, bytes: u64) {
        self.lock().response_bytes.record(bytes as f64);
    }

    /// Returns the mean number of bytes of a response; 0 before the first.
    pub(super) fn mean_response_bytes(&self) -> u64 {
        self.lock().response_bytes.mean().map_or(0, |b| b as u64)
    }

    /// Returns the number of events that a stream probably has at most, if any was answered.
    pub(super) fn likely_length(&self) -> Option<u64> {
        let events = self.lock().length.likely_max()?;
        Some(events.ceil() as u64)
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

/// A smoothed time.
#[derive(Debug, Default)]
struct SmoothedTime(Smoothed);

impl SmoothedTime {
    fn record(&mut self, time: Duration) {
        self.0.record(time.as_secs_f64());
    }

    /// Returns a time that most observations do not exceed.
    fn likely_max(&self) -> Option<Duration> {
        self.0.likely_max().map(Duration::from_secs_f64)
    }
}

/// Mean of a quantity and its mean deviation, both smoothed as for retransmissions in TCP (RFC 6298).
/// Empty until the first observation.
#[derive(Debug, Default)]
struct Smoothed(Option<Statistics>);

#[derive(Clone, Copy, Debug)]
struct Statistics {
    mean: f64,
    deviation: f64,
}

impl Smoothed {
    fn record(&mut self, value: f64) {
        let statistics = self.0.get_or_insert(Statistics {
            mean: value,
            deviation: value / 2.0,
        });
        let error = value - statistics.mean;
        statistics.deviation += (error.abs() - statistics.deviation) / DEVIATION_DIVISOR;
        statistics.mean += error / MEAN_DIVISOR;
    }

    fn mean(&self) -> Option<f64> {
        self.0.map(|s| s.mean)
    }

    /// Returns a value that most observations do not exceed.
    fn likely_max(&self) -> Option<f64> {
        self.0.map(|s| s.mean + s.deviation)
    }
}

#[cfg(test)]
mod tests;
