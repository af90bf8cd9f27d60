use std::{fmt, path::PathBuf};

/// Location of a fault: a line of a file, or the whole file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Path of the file.
    pub file: PathBuf,
    /// Line number, counted from 1; 0 stands for the whole file.
    pub line: usize,
}

/// A fault in a settings or configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Fault {
    /// Location of the fault.
    pub location: Location,
    /// Header of the section, without brackets, if the fault is in a section.
    pub section: Option<String>,
    /// Key within the section, if the fault is about a key.
    pub key: Option<String>,
    /// Value as written in the file; always `None` for secrets.
    pub value: Option<String>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Known name or value that was probably meant.
    pub suggestion: Option<String>,
}

/// Kind of a fault in a file, section, key or value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// The file or folder cannot be read; contains the cause.
    Unreadable(String),
    /// The file is not UTF-8.
    NotUtf8,
    /// The folder contains no `*.ini` file.
    NoFiles,
    /// The line is not a section header, a `key = value` pair or a comment; contains the cause.
    Syntax(String),
    /// The section is unknown in files of this type.
    UnknownSection,
    /// The name after the section's kind is missing, invalid or not allowed; contains what is
    /// expected.
    SectionName(&'static str),
    /// The section is defined more than once; contains the location of the first definition.
    DuplicateSection(Location),
    /// A required section is missing.
    MissingSection,
    /// The section has no key of this name.
    UnknownKey,
    /// The key is set more than once in its section; contains the location of the first entry.
    DuplicateKey(Location),
    /// A required key is missing; contains a description of its allowed values.
    MissingKey(&'static str),
    /// The value is not allowed; contains a description of the allowed values.
    BadValue(&'static str),
    /// The value names an object that no file defines; contains the object's kind.
    UnknownReference(&'static str),
    /// The value contradicts another value; contains the cause.
    Conflict(String),
}

impl Location {
    /// Creates the location of a whole file.
    pub(crate) fn whole(file: impl Into<PathBuf>) -> Location {
        Location {
            file: file.into(),
            line: 0,
        }
    }
}

impl Fault {
    /// Creates a fault without section, key, value or suggestion.
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

    pub(crate) fn section(mut self, header: &str) -> Fault {
        self.section = Some(header.to_owned());
        self
    }

    pub(crate) fn key(mut self, key: &str) -> Fault {
        self.key = Some(key.to_owned());
        self
    }

    pub(crate) fn value(mut self, value: &str) -> Fault {
        self.value = Some(value.to_owned());
        self
    }

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
            FaultKind::DuplicateSection(first) => write!(f, "section already defined at {first}"),
            FaultKind::MissingSection => f.write_str("section is missing"),
            FaultKind::UnknownKey => f.write_str("unknown key"),
            FaultKind::DuplicateKey(first) => write!(f, "key already set at {first}"),
            FaultKind::MissingKey(allowed) => write!(f, "key is missing, expected {allowed}"),
            FaultKind::BadValue(allowed) => write!(f, "expected {allowed}"),
            FaultKind::UnknownReference(kind) => write!(f, "no {kind} of that name is defined"),
            FaultKind::Conflict(cause) => f.write_str(cause),
        }
    }
}
