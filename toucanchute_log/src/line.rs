use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};

/// Log line of key=value pairs.
#[derive(Debug, Default)]
pub struct KeyValues {
    line: String,
}

impl KeyValues {
    /// Creates an empty line.
    #[must_use]
    pub fn new() -> KeyValues {
        KeyValues::default()
    }

    /// Appends a pair, with the value quoted as by [`quote`].
    pub fn push(&mut self, key: &str, value: &str) {
        if !self.line.is_empty() {
            self.line.push(' ');
        }
        let _ = write!(self.line, "{key}={}", quote(value));
    }

    /// Returns the line without a line break.
    #[must_use]
    pub fn into_line(self) -> String {
        self.line
    }
}

impl<'kvs> VisitSource<'kvs> for KeyValues {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Quotes `value` if it is empty or contains a space, quote, equals sign, backslash or control
/// character. A line feed becomes `\n`, any other control character a space.
///
/// ```
/// assert_eq!(toucanchute_log::quote("plain"), "plain");
/// assert_eq!(toucanchute_log::quote("two words"), "\"two words\"");
/// ```
#[must_use]
pub fn quote(value: &str) -> String {
    let special = |c: char| c.is_control() || matches!(c, ' ' | '"' | '=' | '\\');
    if !value.is_empty() && !value.contains(special) {
        return value.to_owned();
    }
    let mut out = String::with_capacity(value.len() + 2);
    out.push('"');
    for c in value.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\n' => out.push_str("\\n"),
            c if c.is_control() => out.push(' '),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
