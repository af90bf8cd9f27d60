use std::io::{self, Write as _};

use serde::Serialize;
use serde_json::Value;
use snafu::ResultExt as _;

use crate::error::{Error, OutputSnafu};

/// How results are written to standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Output {
    /// Text for people to read.
    Human,
    /// One JSON document for scripts.
    Json,
}

impl Output {
    /// Writes `text`, or `value` as JSON.
    pub(crate) fn write(self, value: &impl Serialize, text: &str) -> Result<(), Error> {
        let document = match self {
            Output::Human => text.to_owned(),
            Output::Json => serde_json::to_string(value).unwrap_or_default(),
        };
        let mut out = io::stdout().lock();
        writeln!(out, "{}", document.trim_end()).context(OutputSnafu)
    }

    /// Writes a JSON value as indented `key: value` lines, or as JSON.
    pub(crate) fn write_value(self, value: &Value) -> Result<(), Error> {
        let mut text = String::new();
        push_lines(&mut text, 0, value);
        self.write(value, &text)
    }
}

fn push_lines(text: &mut String, depth: usize, value: &Value) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                text.push_str(&format!("{indent}{key}:"));
                push_field(text, depth, field);
            }
        }
        Value::Array(items) => {
            for item in items {
                text.push_str(&format!("{indent}-"));
                push_field(text, depth, item);
            }
        }
        scalar => text.push_str(&format!("{indent}{}\n", plain(scalar))),
    }
}

fn push_field(text: &mut String, depth: usize, field: &Value) {
    match field {
        Value::Object(_) | Value::Array(_) => {
            text.push('\n');
            push_lines(text, depth + 1, field);
        }
        scalar => text.push_str(&format!(" {}\n", plain(scalar))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}
