use std::collections::BTreeMap;

/// Time window in which lines of one event are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Limits the number of lines per event and second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    lines_per_second: u32,
    window_start_ms: u64,
    /// Number of lines of each event since `window_start_ms`.
    counts: BTreeMap<String, u32>,
}

/// Number of lines of one event that were discarded in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuppressedLines {
    pub(crate) event: String,
    pub(crate) lines: u32,
}

impl RateLimiter {
    /// Creates a limiter that admits `lines_per_second` lines of each event per second.
    pub(crate) fn new(lines_per_second: u32) -> RateLimiter {
        RateLimiter {
            lines_per_second,
            window_start_ms: 0,
            counts: BTreeMap::new(),
        }
    }

    /// Starts a new window if the current one is over, and returns the lines suppressed in the old
    /// one.
    pub(crate) fn advance(&mut self, now_ms: u64) -> Vec<SuppressedLines> {
        if now_ms.saturating_sub(self.window_start_ms) < WINDOW_MS {
            return Vec::new();
        }
        self.window_start_ms = now_ms;
        let counts = std::mem::take(&mut self.counts);
        let limited = counts
            .into_iter()
            .filter(|(_, lines)| *lines > self.lines_per_second);
        limited
            .map(|(event, lines)| SuppressedLines {
                event,
                lines: lines - self.lines_per_second,
            })
            .collect()
    }

    /// Counts a line of `event` and returns whether it may be written.
    pub(crate) fn admit(&mut self, event: &str) -> bool {
        if let Some(count) = self.counts.get_mut(event) {
            *count += 1;
            return *count <= self.lines_per_second;
        }
        self.counts.insert(event.to_owned(), 1);
        self.lines_per_second > 0
    }
}

#[cfg(test)]
mod tests;
