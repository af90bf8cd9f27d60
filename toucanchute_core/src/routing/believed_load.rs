use std::collections::VecDeque;

use toucanchute_proto::{Millis, fleet::Load};

use super::pool::Average;

/// Age up to which a report is known to the choice of a server.
const MAX_REPORT_AGE: Millis = Millis(3_000);

/// Age up to which a report counts whole against this router's own requests in progress, some of which may
/// not have arrived yet.
const RECENT_REPORT_AGE: Millis = Millis(400);

/// Time in which a pace that was reported loses most of its meaning: what else runs on a server's machine
/// changes several times a second.
const PACE_PERSISTENCE_MS: f64 = 500.0;

/// Bounds of a pace as a multiple of the usual one, so that no report draws or repels all work.
const PACE_BOUNDS: (f64, f64) = (0.5, 4.0);

/// Pace of a server that states none, in percent of the usual time.
const USUAL_PACE: f64 = 100.0;

/// Bounds of the time that a request usually takes, in milliseconds.
const ATTEMPT_TIME_BOUNDS: (f64, f64) = (100.0, 5_000.0);

/// Weight of one report in the averages of a pool.
const REPORT_WEIGHT: f64 = 0.02;

/// What the servers of a pool reported lately, from all of them together.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadStatistics {
    /// Requests as a share of the slots.
    share: Average,
    /// Pace in percent.
    pace: Average,
    /// Time that an attempt takes, in milliseconds.
    attempt_time: Average,
    /// Difference between believed and reported requests, as a share of the slots.
    error: Average,
}

/// Load that a server of a pool typically has. What is believed of a server approaches it while no report
/// arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TypicalLoad {
    /// Requests as a share of the slots; absent before the first report.
    share: Option<f64>,
    /// Pace in percent.
    pace: Option<f64>,
    /// Time that an attempt takes, in milliseconds.
    attempt_time: Option<f64>,
}

/// Load of one backend server, as far as this router knows.
///
/// The load it answers: many routers choose at the same moment by reports that are already old. An old
/// report of an idle server must not draw the work of all of them.
#[derive(Debug, Default)]
pub(super) struct BelievedLoad {
    report: Option<Load>,
    /// Number of this router's attempts that have not ended.
    in_flight: u32,
    /// Starts (1) and ends (-1) of this router's attempts since the report, oldest first.
    own_changes: VecDeque<(Millis, i32)>,
    typical: TypicalLoad,
}

impl LoadStatistics {
    /// Records a report of some server, of which `believed` requests were believed before.
    pub(super) fn record_report(&mut self, load: &Load, believed: f64) {
        let Some(requests) = requests_per_slot(load) else {
            return;
        };
        self.share.add(requests, REPORT_WEIGHT);
        let error = (believed / f64::from(load.capacity) - requests).abs();
        self.error.add(error, REPORT_WEIGHT);
        if let Some(pace) = load.pace_percent {
            self.pace.add(f64::from(pace), REPORT_WEIGHT);
        }
    }

    /// Records the time that an attempt took.
    pub(super) fn record_attempt_time(&mut self, time: Millis) {
        self.attempt_time.add(time.0 as f64, REPORT_WEIGHT);
    }

    pub(super) fn typical(&self) -> TypicalLoad {
        TypicalLoad {
            share: self.share.get(),
            pace: self.pace.get(),
            attempt_time: self.attempt_time.get(),
        }
    }

    /// Returns the mean difference between believed and reported requests, as a share of the slots.
    pub(super) fn error(&self) -> Option<f64> {
        self.error.get()
    }
}

impl BelievedLoad {
    /// Takes a report unless a newer one is known; returns whether it did.
    pub(super) fn update(&mut self, now: Millis, mut load: Load) -> bool {
        load.as_of = load.as_of.min(now);
        if self.report.as_ref().is_some_and(|r| r.as_of > load.as_of) {
            return false;
        }
        let is_counted = |change: &(Millis, i32)| change.0 <= load.as_of;
        while self.own_changes.front().is_some_and(is_counted) {
            self.own_changes.pop_front();
        }
        self.report = Some(load);
        true
    }

    pub(super) fn set_typical(&mut self, typical: TypicalLoad) {
        self.typical = typical;
    }

    pub(super) fn record_start(&mut self, now: Millis) {
        self.in_flight += 1;
        self.record_change(now, 1);
    }

    pub(super) fn record_end(&mut self, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_change(now, -1);
    }

    /// Returns the number of this router's attempts that have not ended.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests that the server probably has from all routers.
    pub(super) fn requests(&self, now: Millis) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = &self.report else {
            return own;
        };
        let since: i64 = self.own_changes.iter().map(|(_, c)| i64::from(*c)).sum();
        let reported = i64::from(report.running) + i64::from(report.waiting) + since;
        let reported = reported.max(0) as f64;
        let age = now.since(report.as_of);
        let typical = self.typical.share.map(|s| s * f64::from(report.capacity));
        let later = typical.unwrap_or(reported).max(own);
        let believed = weighted(reported, later, self.typical.report_weight(age));
        match age <= RECENT_REPORT_AGE {
            true => believed,
            false => believed.max(own),
        }
    }

    /// Whether the last report is recent enough to tell this server from others.
    pub(super) fn is_known(&self, now: Millis) -> bool {
        self.fresh_report(now).is_some()
    }

    /// Returns the number of slots by a fresh report.
    pub(super) fn slots(&self, now: Millis) -> Option<u32> {
        let report = self.fresh_report(now)?;
        (report.capacity > 0).then_some(report.capacity)
    }

    /// Returns the time that work takes at the moment, as a multiple of what it typically takes on the
    /// servers of the pool.
    pub(super) fn relative_pace(&self, now: Millis) -> f64 {
        let report = self.report.as_ref();
        let stated = report.and_then(|r| Some((f64::from(r.pace_percent?), now.since(r.as_of))));
        let Some((pace, age)) = stated else {
            return 1.0;
        };
        let typical = self.typical.pace.unwrap_or(USUAL_PACE).max(1.0);
        let weight = (-(age.0 as f64) / PACE_PERSISTENCE_MS).exp();
        (weighted(pace, typical, weight) / typical).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
    }

    fn fresh_report(&self, now: Millis) -> Option<&Load> {
        let report = self.report.as_ref();
        report.filter(|r| now.since(r.as_of) <= MAX_REPORT_AGE)
    }

    fn record_change(&mut self, now: Millis, change: i32) {
        self.own_changes.push_back((now, change));
        let is_old = |change: &(Millis, i32)| now.since(change.0) > MAX_REPORT_AGE;
        while self.own_changes.front().is_some_and(is_old) {
            self.own_changes.pop_front();
        }
    }
}

impl TypicalLoad {
    /// Returns the weight of a report of this age against the typical load. Requests that were there when
    /// it was made end in about the time that an attempt takes.
    fn report_weight(&self, age: Millis) -> f64 {
        let (shortest, longest) = ATTEMPT_TIME_BOUNDS;
        let time = self
            .attempt_time
            .unwrap_or(longest)
            .clamp(shortest, longest);
        (-(age.0 as f64) / time).exp()
    }
}

/// Returns the requests of a report as a share of the server's slots.
fn requests_per_slot(load: &Load) -> Option<f64> {
    let requests = f64::from(load.running) + f64::from(load.waiting);
    (load.capacity > 0).then(|| requests / f64::from(load.capacity))
}

fn weighted(new: f64, old: f64, weight: f64) -> f64 {
    new * weight + old * (1.0 - weight)
}
