use toucanchute_proto::Millis;

use super::{FULL_SHARE, HostCapacity};

/// Time over which the use of a host is averaged.
const AVERAGING_TIME: Millis = Millis(1_000);

/// Shortest time between two steps down. Some callers keep a list for 6 s, so that a further step before
/// that would be for the same load.
const STEP_DOWN_INTERVAL: Millis = Millis(7_000);

/// Time of light use after which the share rises by a step. Together with the halving of each step down it
/// keeps callers from moving back and forth.
const STEP_UP_INTERVAL: Millis = Millis(4_000);

/// From this use on a load balancer that follows the readiness check should send callers elsewhere. It takes
/// some seconds to do so, in which the rest of the link has to last.
const RELIEVED: Threshold = Threshold {
    link: 0.6,
    timer_delay_ms: 150.0,
};

/// Below this use a relieved host has emptied its queues.
const RECOVERED: Threshold = Threshold {
    link: 0.3,
    timer_delay_ms: 30.0,
};

/// Longest delay of a timer that counts. A longer one shows that the process was suspended.
const MAX_TIMER_DELAY: Millis = Millis(1_000);

/// Use of a host that a decision depends on.
struct Threshold {
    /// Share of the link's bandwidth.
    link: f64,
    /// Mean delay of timers, in milliseconds.
    timer_delay_ms: f64,
}

/// Below this use a host can take more callers.
const LIGHT: Threshold = Threshold {
    link: 0.4,
    timer_delay_ms: 15.0,
};

/// Requests wait behind each other on a link, and timers for a processor, well before either is used
/// without a gap.
const CHOKED: Threshold = Threshold {
    link: 0.8,
    timer_delay_ms: 150.0,
};

/// What happened on a host since the last measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostUse {
    /// Bytes of callers and peers in the busier direction of the link.
    pub link_bytes: u64,
    /// How late the timer fired that started the measurement.
    pub timer_delay: Millis,
    /// Whether a request was refused because the link could not carry it.
    pub refused: bool,
}

/// Averages the use of a host and decides in which share of the lists of addresses it should be named.
///
/// The share is halved while the host is choked, and rises in steps while it is lightly used. So it settles
/// where the callers that follow the lists leave the host between the two.
///
/// ```
/// use toucanchute_core::placement::{FULL_SHARE, HostCapacity, HostLoad, HostUse};
/// use toucanchute_proto::Millis;
///
/// let mut load = HostLoad::new(HostCapacity { processor: 120, bandwidth: 8_000 });
/// load.record(Millis(0), HostUse::default());
/// let full = HostUse { link_bytes: 1_000_000, ..HostUse::default() };
/// assert_eq!(load.record(Millis(1_000), full), Some(FULL_SHARE / 2));
/// ```
#[derive(Clone, Debug)]
pub struct HostLoad {
    capacity: HostCapacity,
    /// From 1 to [`FULL_SHARE`].
    share: u8,
    recorded_at: Option<Millis>,
    /// Mean use of the link, as a share of its bandwidth; 0 if that is unknown.
    link: f64,
    /// Mean delay of timers, in milliseconds.
    timer_delay_ms: f64,
    /// Whether the host had to be relieved and has not recovered.
    relieved: bool,
    /// When a request was last refused because the link could not carry it.
    refused_at: Option<Millis>,
    /// When the share was last lowered.
    lowered_at: Option<Millis>,
    /// Since when the host has been lightly used at this share; absent while it is not.
    light_since: Option<Millis>,
}

impl HostLoad {
    /// Creates the state of a host without load.
    #[must_use]
    pub fn new(capacity: HostCapacity) -> HostLoad {
        HostLoad {
            capacity,
            share: FULL_SHARE,
            recorded_at: None,
            link: 0.0,
            timer_delay_ms: 0.0,
            relieved: false,
            refused_at: None,
            lowered_at: None,
            light_since: None,
        }
    }

    /// Records the use since the last call; returns the share if it has changed.
    pub fn record(&mut self, now: Millis, used: HostUse) -> Option<u8> {
        let since = self.recorded_at.replace(now)?;
        let elapsed = now.since(since);
        self.average(elapsed, used);
        if used.refused {
            self.refused_at = Some(now);
        }
        let before = self.share;
        self.relieved = self.reaches(&RELIEVED) || self.relieved && self.reaches(&RECOVERED);
        self.step(now);
        (self.share != before).then_some(self.share)
    }

    /// Returns the share of the lists that should name the host, in eighths.
    #[must_use]
    pub fn share(&self) -> u8 {
        self.share
    }

    /// Whether load balancers that follow the readiness check should send callers elsewhere, until the host's
    /// queues are empty.
    #[must_use]
    pub fn is_relieved(&self) -> bool {
        self.relieved
    }

    /// Returns the mean use of the link, as a share of its bandwidth; 0 if that is unknown.
    #[must_use]
    pub fn link_use(&self) -> f64 {
        self.link
    }

    /// Returns the mean delay of timers, in milliseconds.
    #[must_use]
    pub fn timer_delay_ms(&self) -> f64 {
        self.timer_delay_ms
    }

    fn average(&mut self, elapsed: Millis, used: HostUse) {
        let weight = (elapsed.0 as f64 / AVERAGING_TIME.0 as f64).min(1.0);
        let possible = f64::from(self.capacity.bandwidth) / 8.0 * elapsed.0 as f64;
        if possible > 0.0 {
            let share = used.link_bytes as f64 / possible;
            self.link += (share - self.link) * weight;
        }
        let delay = used.timer_delay.min(MAX_TIMER_DELAY).0 as f64;
        self.timer_delay_ms += (delay - self.timer_delay_ms) * weight;
    }

    fn step(&mut self, now: Millis) {
        let is_recent = |at: Option<Millis>, span| at.is_some_and(|at| now.since(at) < span);
        if self.reaches(&CHOKED) || is_recent(self.refused_at, AVERAGING_TIME) {
            self.light_since = None;
            if !is_recent(self.lowered_at, STEP_DOWN_INTERVAL) {
                self.lowered_at = Some(now);
                self.share = (self.share / 2).max(1);
            }
            return;
        }
        if self.reaches(&LIGHT) {
            self.light_since = None;
            return;
        }
        let light_since = *self.light_since.get_or_insert(now);
        if self.share < FULL_SHARE && now.since(light_since) >= STEP_UP_INTERVAL {
            self.light_since = Some(now);
            self.share += 1;
        }
    }

    fn reaches(&self, threshold: &Threshold) -> bool {
        self.link >= threshold.link || self.timer_delay_ms >= threshold.timer_delay_ms
    }
}
