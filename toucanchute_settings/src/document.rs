use std::{fs, path::Path};

use ini::{Ini, ParseOption};

use crate::fault::{Fault, FaultKind, Location};

/// A parsed INI file with the location of each section and key.
#[derive(Debug)]
pub(crate) struct Document {
    /// Sections in the order of the file.
    pub(crate) sections: Vec<Section>,
}

/// A section of an INI file.
#[derive(Debug)]
pub(crate) struct Section {
    /// Text between the brackets, with runs of whitespace replaced by one space.
    pub(crate) header: String,
    /// Location of the header.
    pub(crate) location: Location,
    /// Keys in the order of the file.
    pub(crate) entries: Vec<Entry>,
}

/// A `key = value` line.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) location: Location,
}

/// Syntactic class of a line.
enum Line {
    Blank,
    Header,
    KeyValue,
    Invalid(&'static str),
}

impl Document {
    /// Reads and parses the file at `path`.
    pub(crate) fn read(path: &Path) -> Result<Document, Vec<Fault>> {
        let fault = |kind| vec![Fault::new(Location::whole(path), kind)];
        let buf = fs::read(path).map_err(|e| fault(FaultKind::Unreadable(e.to_string())))?;
        let text = str::from_utf8(&buf).map_err(|_| fault(FaultKind::NotUtf8))?;
        Document::parse(path, text)
    }

    /// Parses the text of the file at `path`.
    pub(crate) fn parse(path: &Path, text: &str) -> Result<Document, Vec<Fault>> {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let lines = check_lines(path, text)?;
        let opt = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let trimmed: Vec<&str> = text.lines().map(str::trim).collect();
        let ini = Ini::load_from_str_opt(&trimmed.join("\n"), opt).map_err(|e| {
            let location = location(path, e.line);
            vec![Fault::new(location, FaultKind::Syntax(e.msg.into_owned()))]
        })?;
        Ok(Document::with_locations(path, &ini, &lines))
    }

    /// Combines the parsed sections and keys with the line numbers in `lines`. Both are in the
    /// order of the file.
    fn with_locations(path: &Path, ini: &Ini, lines: &[usize]) -> Document {
        let mut lines = lines.iter().map(|&line| location(path, line));
        let mut next_location = || lines.next().unwrap_or_else(|| Location::whole(path));
        let mut sections = Vec::new();
        for (header, pairs) in ini.iter() {
            let Some(header) = header else { continue };
            let location = next_location();
            let entry = |(key, value): (&str, &str)| Entry {
                key: key.to_owned(),
                value: value.to_owned(),
                location: next_location(),
            };
            sections.push(Section {
                header: header.split_whitespace().collect::<Vec<_>>().join(" "),
                location,
                entries: pairs.iter().map(entry).collect(),
            });
        }
        Document { sections }
    }
}

impl Section {
    /// Returns the kind of the section, which is the first word of its header.
    pub(crate) fn kind(&self) -> &str {
        self.header.split(' ').next().unwrap_or_default()
    }

    /// Returns the name of the section, which is the rest of its header after the kind. Empty if
    /// there is none.
    pub(crate) fn name(&self) -> &str {
        self.header.split_once(' ').map_or("", |(_, name)| name)
    }

    /// Creates a fault located at the section's header.
    pub(crate) fn fault(&self, kind: FaultKind) -> Fault {
        Fault::new(self.location.clone(), kind).section(&self.header)
    }
}

/// Checks the syntax of each line. Returns the numbers of the lines that contain a section header
/// or a `key = value` pair.
fn check_lines(path: &Path, text: &str) -> Result<Vec<usize>, Vec<Fault>> {
    let mut content_lines = Vec::new();
    let mut faults = Vec::new();
    for (i, line) in text.lines().enumerate() {
        match classify(line.trim(), content_lines.is_empty()) {
            Line::Blank => {}
            Line::Header | Line::KeyValue => content_lines.push(i + 1),
            Line::Invalid(cause) => {
                let kind = FaultKind::Syntax(cause.to_owned());
                faults.push(Fault::new(location(path, i + 1), kind));
            }
        }
    }
    if faults.is_empty() {
        Ok(content_lines)
    } else {
        Err(faults)
    }
}

fn classify(line: &str, first: bool) -> Line {
    if line.is_empty() || line.starts_with([';', '#']) {
        return Line::Blank;
    }
    if line.contains('\r') {
        return Line::Invalid("carriage return inside a line");
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(name) if !name.trim().is_empty() && !name.contains(['[', ']']) => Line::Header,
            _ => Line::Invalid("expected a section header such as [router]"),
        };
    }
    match line.split_once(['=', ':']) {
        _ if first => Line::Invalid("expected a section header before the first key"),
        Some((key, _)) if !key.trim().is_empty() => Line::KeyValue,
        _ => Line::Invalid("expected `key = value`, a section header or a comment"),
    }
}

fn location(path: &Path, line: usize) -> Location {
    Location {
        file: path.to_owned(),
        line,
    }
}
