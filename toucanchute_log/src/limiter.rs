use std::collections::BTreeMap;

/// Span in which lines of one event are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Lets only so many lines of one event pass in a second.
#[derive(Debug)]
pub(crate) struct Limiter {
    rate: u32,
    since_ms: u64,
    /// Lines of each event since `since_ms`.
    counts: BTreeMap<String, u32>,
}

/// Lines that were held back in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suppressed {
    pub(crate) event: String,
    pub(crate) lines: u32,
}

impl Limiter {
    /// Creates a limiter that lets `rate` lines of each event pass in a second.
    pub(crate) fn new(rate: u32) -> Limiter {
        Limiter {
            rate,
            since_ms: 0,
            counts: BTreeMap::new(),
        }
    }

    /// Ends the window if its time is over; returns what was held back in it.
    pub(crate) fn advance(&mut self, now_ms: u64) -> Vec<Suppressed> {
        if now_ms.saturating_sub(self.since_ms) < WINDOW_MS {
            return Vec::new();
        }
        self.since_ms = now_ms;
        let counts = std::mem::take(&mut self.counts);
        let over = counts.into_iter().filter(|(_, lines)| *lines > self.rate);
        over.map(|(event, lines)| Suppressed {
            event,
            lines: lines - self.rate,
        })
        .collect()
    }

    /// Counts a line of `event`; returns whether it may pass.
    pub(crate) fn admit(&mut self, event: &str) -> bool {
        if let Some(count) = self.counts.get_mut(event) {
            *count += 1;
            return *count <= self.rate;
        }
        self.counts.insert(event.to_owned(), 1);
        self.rate > 0
    }
}

#[cfg(test)]
mod tests;
