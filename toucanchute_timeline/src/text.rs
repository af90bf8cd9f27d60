use std::fmt::Write as _;

use toucanchute_log::quote;

use crate::event::Event;

/// Returns a line of text for each event: milliseconds since the first event, process, name and
/// fields.
#[must_use]
pub fn to_text(events: &[&Event]) -> String {
    let start = events.first().map_or(0, |e| e.millis());
    let width = events.iter().map(|e| e.process.to_string().len()).max();
    let width = width.unwrap_or_default();
    let mut text = String::new();
    for event in events {
        let ms = event.millis() - start;
        let process = event.process.to_string();
        let _ = write!(text, "{ms:>8} ms  {process:width$}  {}", event.name);
        let _ = writeln!(text, "{}", fields(event));
    }
    text
}

/// Returns the fields of an event as `key=value` pairs, each preceded by a space.
pub(crate) fn fields(event: &Event) -> String {
    let mut text = String::new();
    for (key, value) in &event.fields {
        let _ = write!(text, " {key}={}", quote(value));
    }
    text
}
