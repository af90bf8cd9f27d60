use std::collections::VecDeque;

use serde::Serialize;

/// Load at one time; response to `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Load {
    running: usize,
    waiting: usize,
    capacity: usize,
    /// Used share of the cache, from 0 to 1.
    kv_used: f64,
    as_of_ms: u64,
}

/// Load reports, which are delayed.
#[derive(Debug)]
pub(super) struct LoadReports {
    lag_ms: u64,
    capacity: usize,
    /// Loads in ascending order of time; the first one is reported.
    loads: VecDeque<Load>,
}

impl LoadReports {
    pub(super) fn new(lag_ms: u64, capacity: usize) -> LoadReports {
        let initial = Load {
            capacity,
            ..Load::default()
        };
        LoadReports {
            lag_ms,
            capacity,
            loads: VecDeque::from([initial]),
        }
    }

    pub(super) fn record(&mut self, now_ms: u64, running: usize, waiting: usize, kv_used: f64) {
        self.loads.push_back(Load {
            running,
            waiting,
            capacity: self.capacity,
            kv_used,
            as_of_ms: now_ms,
        });
        self.drop_outdated(now_ms);
    }

    /// Returns the load as it was `lag_ms` ago, at the time `as_of_ms`.
    pub(super) fn report(&mut self, now_ms: u64) -> Load {
        self.drop_outdated(now_ms);
        let load = self.loads.front().copied().unwrap_or_default();
        Load {
            as_of_ms: now_ms.saturating_sub(self.lag_ms),
            ..load
        }
    }

    fn drop_outdated(&mut self, now_ms: u64) {
        let visible_until_ms = now_ms.saturating_sub(self.lag_ms);
        while self
            .loads
            .get(1)
            .is_some_and(|load| load.as_of_ms <= visible_until_ms)
        {
            self.loads.pop_front();
        }
    }
}
