use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
};

use crate::{
    event::{Event, Process},
    text,
};

/// Width of the lane of a process, in pixels.
const LANE_WIDTH: usize = 120;

/// Height of the row of an event, in pixels.
const ROW_HEIGHT: usize = 18;

/// Height of the header with the names of the lanes, in pixels.
const HEADER_HEIGHT: usize = 48;

/// Width of the column of times on the left, in pixels.
const TIME_WIDTH: usize = 90;

/// Width of the column of labels on the right, in pixels.
const LABEL_WIDTH: usize = 1200;

const STYLE: &str = "\
body{font:12px monospace;margin:16px;background:#fff;color:#222}\
.lane{stroke:#ccc}.link{fill:none;stroke:#58a;stroke-opacity:.5}\
.info{fill:#27c}.warn{fill:#d80}.error{fill:#c22}.debug,.trace{fill:#999}\
.time{fill:#777;text-anchor:end}.name{font-weight:bold;text-anchor:middle}";

/// Returns a self-contained HTML page with a lane for each process and a row for each event,
/// earliest first. Lines connect the events of each request and of each attempt.
#[must_use]
pub fn to_html(events: &[&Event]) -> String {
    let lanes = lanes(events);
    let width = TIME_WIDTH + lanes.len() * LANE_WIDTH + LABEL_WIDTH;
    let height = HEADER_HEIGHT + (events.len() + 1) * ROW_HEIGHT;
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Timeline</title>\
         <style>{STYLE}</style></head><body>\n\
         <svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">\n"
    );
    push_lanes(&mut page, &lanes, height);
    push_links(&mut page, &lanes, events);
    push_events(&mut page, &lanes, events);
    page.push_str("</svg>\n</body></html>\n");
    page
}

/// Returns the horizontal position of each process's lane, in pixels.
fn lanes<'a>(events: &[&'a Event]) -> BTreeMap<&'a Process, usize> {
    let mut lanes: BTreeMap<&Process, usize> = BTreeMap::new();
    for event in events {
        lanes.insert(&event.process, 0);
    }
    for (i, x) in lanes.values_mut().enumerate() {
        *x = TIME_WIDTH + LANE_WIDTH * i + LANE_WIDTH / 2;
    }
    lanes
}

fn push_lanes(page: &mut String, lanes: &BTreeMap<&Process, usize>, height: usize) {
    for (process, x) in lanes {
        let host = escape(&process.host);
        let kind = escape(&process.kind);
        let incarnation = escape(&process.incarnation);
        let _ = writeln!(
            page,
            "<line class=\"lane\" x1=\"{x}\" x2=\"{x}\" y1=\"{HEADER_HEIGHT}\" y2=\"{height}\"/>\
             <text class=\"name\" x=\"{x}\" y=\"16\">{host}</text>\
             <text class=\"name\" x=\"{x}\" y=\"32\">{kind}<title>{incarnation}</title></text>"
        );
    }
}

/// Draws a line through the events of each request and of each attempt.
fn push_links(page: &mut String, lanes: &BTreeMap<&Process, usize>, events: &[&Event]) {
    let mut last_points: HashMap<(&str, &str), (usize, usize)> = HashMap::new();
    for (i, event) in events.iter().enumerate() {
        let to = (lanes[&event.process], row_y(i));
        for key in ["request", "attempt"] {
            let Some(value) = event.field(key) else {
                continue;
            };
            if let Some(from) = last_points.insert((key, value), to) {
                let _ = writeln!(
                    page,
                    "<path class=\"link\" d=\"M{} {}L{} {}\"/>",
                    from.0, from.1, to.0, to.1
                );
            }
        }
    }
}

fn push_events(page: &mut String, lanes: &BTreeMap<&Process, usize>, events: &[&Event]) {
    let start = events.first().map_or(0, |e| e.millis());
    let labels_x = TIME_WIDTH + lanes.len() * LANE_WIDTH;
    for (i, event) in events.iter().enumerate() {
        let x = lanes[&event.process];
        let y = row_y(i);
        let baseline = y + 4;
        let ms = event.millis() - start;
        let time_x = TIME_WIDTH - 10;
        let level = escape(&event.level);
        let label = escape(&format!("{}{}", event.name, text::fields(event)));
        let _ = writeln!(
            page,
            "<text class=\"time\" x=\"{time_x}\" y=\"{baseline}\">{ms} ms</text>\
             <circle class=\"{level}\" cx=\"{x}\" cy=\"{y}\" r=\"4\"><title>{label}</title></circle>\
             <text x=\"{labels_x}\" y=\"{baseline}\">{label}</text>"
        );
    }
}

/// Returns the vertical position of the event at `index`, in pixels.
fn row_y(index: usize) -> usize {
    HEADER_HEIGHT + (index + 1) * ROW_HEIGHT
}

/// Escapes the special characters of HTML and replaces control characters by spaces.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '&' => out.push_str("&amp;"),
            '"' => out.push_str("&quot;"),
            c if c.is_control() => out.push(' '),
            c => out.push(c),
        }
    }
    out
}
