use std::{fmt, path::PathBuf};

/// A line of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Path of the file.
    pub file: PathBuf,
    /// Line, from 1; 0 for the file as a whole.
    pub line: usize,
}

/// One fault of a settings or configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Fault {
    /// Where it was found.
    pub location: Location,
    /// Header of the section, without brackets.
    pub section: Option<String>,
    /// Key within the section.
    pub key: Option<String>,
    /// Value as written; secrets are left out.
    pub value: Option<String>,
    /// What is wrong.
    pub kind: FaultKind,
    /// What was probably meant.
    pub suggestion: Option<String>,
}

/// What is wrong with a file, a section, a key or a value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// The file or folder cannot be read.
    Unreadable(String),
    /// The file is not UTF-8.
    NotUtf8,
    /// The folder holds no `*.ini` file.
    NoFiles,
    /// The line is no section header, no `key = value` and no comment.
    Syntax(String),
    /// The section is not known.
    UnknownSection,
    /// The section needs a name after its kind, or must have none.
    SectionName(&'static str),
    /// The section stands twice.
    DuplicateSection(Location),
    /// A section is missing.
    MissingSection,
    /// The key is not known in its section.
    UnknownKey,
    /// The key stands twice in its section.
    DuplicateKey(Location),
    /// A key is missing; says what it takes.
    MissingKey(&'static str),
    /// The value is not allowed; says what is.
    BadValue(&'static str),
    /// The value names something that no file defines.
    UnknownReference(&'static str),
    /// The value contradicts another one.
    Conflict(String),
}

impl Location {
    /// Creates a location for a file as a whole.
    pub(crate) fn whole(file: impl Into<PathBuf>) -> Location {
        Location {
            file: file.into(),
            line: 0,
        }
    }
}

impl Fault {
    /// Creates a fault that concerns no section yet.
    pub(crate) fn new(location: Location, kind: FaultKind) -> Fault {
        Fault {
            location,
            section: None,
            key: None,
            value: None,
            kind,
            suggestion: None,
        }
    }

    /// Sets the section's header.
    pub(crate) fn section(mut self, header: &str) -> Fault {
        self.section = Some(header.to_owned());
        self
    }

    /// Sets the key.
    pub(crate) fn key(mut self, key: &str) -> Fault {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the value.
    pub(crate) fn value(mut self, value: &str) -> Fault {
        self.value = Some(value.to_owned());
        self
    }

    /// Sets what was probably meant.
    pub(crate) fn suggestion(mut self, suggestion: Option<&str>) -> Fault {
        self.suggestion = suggestion.map(str::to_owned);
        self
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}", self.file.display()),
            line => write!(f, "{}:{line}", self.file.display()),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.location)?;
        if let Some(section) = &self.section {
            write!(f, "[{section}] ")?;
        }
        match (&self.key, &self.value) {
            (Some(key), Some(value)) => write!(f, "{key} = {value:?}: ")?,
            (Some(key), None) => write!(f, "{key}: ")?,
            _ => {}
        }
        write!(f, "{}", self.kind)?;
        if let Some(suggestion) = &self.suggestion {
            write!(f, "; did you mean `{suggestion}`?")?;
        }
        Ok(())
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::Unreadable(cause) => write!(f, "cannot be read: {cause}"),
            FaultKind::NotUtf8 => f.write_str("is not UTF-8 text"),
            FaultKind::NoFiles => f.write_str("the folder holds no *.ini file"),
            FaultKind::Syntax(cause) => f.write_str(cause),
            FaultKind::UnknownSection => f.write_str("unknown section"),
            FaultKind::SectionName(expected) => write!(f, "expected {expected}"),
            FaultKind::DuplicateSection(first) => write!(f, "section stands already at {first}"),
            FaultKind::MissingSection => f.write_str("section is missing"),
            FaultKind::UnknownKey => f.write_str("unknown key"),
            FaultKind::DuplicateKey(first) => write!(f, "key stands already at {first}"),
            FaultKind::MissingKey(allowed) => write!(f, "key is missing, expected {allowed}"),
            FaultKind::BadValue(allowed) => write!(f, "expected {allowed}"),
            FaultKind::UnknownReference(kind) => write!(f, "no {kind} of that name is defined"),
            FaultKind::Conflict(cause) => f.write_str(cause),
        }
    }
}
