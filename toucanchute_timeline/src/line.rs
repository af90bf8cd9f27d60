use std::{iter::Peekable, str::Chars};

use snafu::{OptionExt as _, Snafu, ensure};
use toucanchute_log::HybridTimestamp;

use crate::event::{Event, Process};

/// Reason for which a line cannot be parsed as an event.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[non_exhaustive]
pub enum LineError {
    /// The line is not UTF-8.
    #[snafu(display("not UTF-8"))]
    NotUtf8,
    /// The line ends within a quoted value or has no line break.
    #[snafu(display("truncated line"))]
    Truncated,
    /// The text at a position where a `key=value` pair is expected is not one.
    #[snafu(display("no key=value pair at column {column}"))]
    InvalidPair {
        /// Column of the invalid pair in characters, starting at 1.
        column: usize,
    },
    /// A pair that every event must have is missing or invalid.
    #[snafu(display("{key} is missing or invalid"))]
    MissingField {
        /// Key of the pair.
        key: &'static str,
    },
}

/// Parses one line of an event log, given without its line break.
///
/// # Errors
///
/// Returns an error if the line is not a valid event.
pub fn parse_line(line: &str) -> Result<Event, LineError> {
    let mut pairs = parse_pairs(line)?;
    let stamp = remove_field(&mut pairs, "hlc")?;
    let seq = remove_field(&mut pairs, "seq")?;
    Ok(Event {
        stamp: parse_stamp(&stamp).context(MissingFieldSnafu { key: "hlc" })?,
        seq: seq.parse().ok().context(MissingFieldSnafu { key: "seq" })?,
        process: Process {
            kind: remove_field(&mut pairs, "process")?,
            host: remove_field(&mut pairs, "host")?,
            incarnation: remove_field(&mut pairs, "incarnation").unwrap_or_else(|_| "-".to_owned()),
        },
        level: remove_field(&mut pairs, "level").unwrap_or_default(),
        name: remove_field(&mut pairs, "event")?,
        fields: pairs,
    })
}

/// Parses a timestamp. Returns `None` if it is malformed or its milliseconds are too large for a
/// [`HybridTimestamp`].
fn parse_stamp(text: &str) -> Option<HybridTimestamp> {
    let stamp: HybridTimestamp = text.parse().ok()?;
    let (ms, _) = text.split_once('.')?;
    let parsed = stamp.to_string();
    let (parsed_ms, _) = parsed.split_once('.')?;
    (ms.parse::<u64>() == parsed_ms.parse::<u64>()).then_some(stamp)
}

/// Removes the first pair named `key` and returns its value.
fn remove_field(pairs: &mut Vec<(String, String)>, key: &'static str) -> Result<String, LineError> {
    let index = pairs.iter().position(|(k, _)| k == key);
    let index = index.context(MissingFieldSnafu { key })?;
    Ok(pairs.remove(index).1)
}

fn parse_pairs(line: &str) -> Result<Vec<(String, String)>, LineError> {
    let mut chars = line.chars().peekable();
    let mut pairs = Vec::new();
    while chars.peek().is_some() {
        let column = line.chars().count() - chars.clone().count() + 1;
        let key = parse_key(&mut chars).context(InvalidPairSnafu { column })?;
        let value = match chars.peek() {
            Some('"') => parse_quoted(&mut chars)?,
            _ => parse_unquoted(&mut chars),
        };
        pairs.push((key, value));
        let end = chars.next().unwrap_or(' ');
        ensure!(end == ' ', InvalidPairSnafu { column });
    }
    Ok(pairs)
}

/// Parses a key and the equals sign after it.
fn parse_key(chars: &mut Peekable<Chars<'_>>) -> Option<String> {
    let mut key = String::new();
    loop {
        match chars.next()? {
            '=' if key.is_empty() => return None,
            '=' => return Some(key),
            ' ' | '"' | '\\' => return None,
            c => key.push(c),
        }
    }
}

fn parse_unquoted(chars: &mut Peekable<Chars<'_>>) -> String {
    let mut value = String::new();
    while let Some(c) = chars.next_if(|&c| c != ' ') {
        value.push(c);
    }
    value
}

fn parse_quoted(chars: &mut Peekable<Chars<'_>>) -> Result<String, LineError> {
    let mut value = String::new();
    chars.next();
    loop {
        match chars.next().context(TruncatedSnafu)? {
            '"' => return Ok(value),
            '\\' => match chars.next().context(TruncatedSnafu)? {
                'n' => value.push('\n'),
                c => value.push(c),
            },
            c => value.push(c),
        }
    }
}
