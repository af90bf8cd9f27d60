use std::fmt;

use crate::{
    event::Event,
    filter::Filter,
    line::{LineError, parse_line},
};

/// Events of all logs, in causal order.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Events in the order in which they were added.
    events: Vec<Event>,
    skipped: Vec<SkippedLine>,
}

/// A line of a log that is not a valid event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedLine {
    /// Name of the log.
    pub log: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Reason for which the line was skipped.
    pub cause: LineError,
}

impl Timeline {
    /// Creates an empty timeline.
    #[must_use]
    pub fn new() -> Timeline {
        Timeline::default()
    }

    /// Adds the content of the log named `log`. A last line without a line break is skipped as
    /// truncated.
    pub fn add(&mut self, log: &str, content: &[u8]) {
        let (complete_lines, last_line) = match content.iter().rposition(|&b| b == b'\n') {
            Some(end) => (&content[..end], &content[end + 1..]),
            None => (&content[..0], content),
        };
        let mut number = 0;
        if complete_lines.len() < content.len() - last_line.len() {
            for line in complete_lines.split(|&b| b == b'\n') {
                number += 1;
                self.add_line(log, number, line);
            }
        }
        if !last_line.is_empty() {
            self.skip(log, number + 1, LineError::Truncated);
        }
    }

    /// Returns the lines that were skipped.
    #[must_use]
    pub fn skipped(&self) -> &[SkippedLine] {
        &self.skipped
    }

    /// Returns the events that match `filter`, causes before effects.
    #[must_use]
    pub fn events(&self, filter: &Filter) -> Vec<&Event> {
        let mut events = filter.apply(&self.events);
        events.sort_by(|a, b| {
            let by_stamp = a.stamp.cmp(&b.stamp);
            let by_process = a.process.cmp(&b.process);
            by_stamp.then(by_process).then(a.seq.cmp(&b.seq))
        });
        events
    }

    fn add_line(&mut self, log: &str, number: usize, line: &[u8]) {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return;
        }
        let text = str::from_utf8(line).map_err(|_| LineError::NotUtf8);
        match text.and_then(parse_line) {
            Ok(event) => self.events.push(event),
            Err(cause) => self.skip(log, number, cause),
        }
    }

    fn skip(&mut self, log: &str, line: usize, cause: LineError) {
        self.skipped.push(SkippedLine {
            log: log.to_owned(),
            line,
            cause,
        });
    }
}

impl fmt::Display for SkippedLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.log, self.line, self.cause)
    }
}
