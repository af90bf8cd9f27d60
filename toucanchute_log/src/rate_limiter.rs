use std::collections::BTreeMap;

/// Span in which lines of one event are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Lets only so many lines of one event pass in a second.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    lines_per_second: u32,
    window_start_ms: u64,
    /// Lines of each event since `window_start_ms`.
    counts: BTreeMap<String, u32>,
}

/// Lines that were held back in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SuppressedLines {
    pub(crate) event: String,
    pub(crate) lines: u32,
}

impl RateLimiter {
    /// Creates a limiter that lets `lines_per_second` lines of each event pass in a second.
    pub(crate) fn new(lines_per_second: u32) -> RateLimiter {
        RateLimiter {
            lines_per_second,
            window_start_ms: 0,
            counts: BTreeMap::new(),
        }
    }

    /// Ends the window if its time is over; returns what was held back in it.
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

    /// Counts a line of `event`; returns whether it may pass.
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
