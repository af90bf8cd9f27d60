use crate::{
    document::{Entry, Section},
    fault::{Fault, FaultKind, Location},
    format::Format,
    suggest,
};

/// Reads the values of one section's keys and collects the faults found.
pub(crate) struct SectionReader<'a> {
    section: &'a Section,
    /// Keys read so far; [`SectionReader::finish`] reports all others as unknown.
    known_keys: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of `section` that appends to `faults`.
    pub(crate) fn new(section: &'a Section, faults: &'a mut Vec<Fault>) -> SectionReader<'a> {
        SectionReader {
            section,
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Returns the value of a required key. Reports a fault and returns `None` if the key is
    /// missing or its value is not allowed.
    pub(crate) fn required<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        match self.find(key) {
            Some(entry) => self.parse(entry, format),
            None => {
                let kind = FaultKind::MissingKey(format.allowed);
                self.faults.push(self.section.fault(kind).key(key));
                None
            }
        }
    }

    /// Returns the value of an optional key. Returns `None` if the key is missing, or if its value
    /// is not allowed, which is reported as a fault.
    pub(crate) fn optional<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        let entry = self.find(key)?;
        self.parse(entry, format)
    }

    /// Returns the value of an optional key, like [`SectionReader::optional`], but treats an empty
    /// value like a missing key.
    pub(crate) fn optional_non_empty<T>(
        &mut self,
        key: &'static str,
        format: &Format<T>,
    ) -> Option<T> {
        let entry = self.find(key).filter(|e| !e.value.is_empty())?;
        self.parse(entry, format)
    }

    /// Overwrites `field` with the value of an optional key if it is present and allowed.
    pub(crate) fn set<T>(&mut self, key: &'static str, format: &Format<T>, field: &mut T) {
        if let Some(value) = self.optional(key, format) {
            *field = value;
        }
    }

    /// Returns whether the section contains a key.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.section.entries.iter().any(|e| e.key == key)
    }

    /// Returns the location of a key, or of the section if the key is missing.
    fn location(&self, key: &str) -> Location {
        let entry = self.section.entries.iter().find(|e| e.key == key);
        entry
            .map_or(&self.section.location, |e| &e.location)
            .clone()
    }

    /// Reports that the value of `key` contradicts another value.
    pub(crate) fn report_conflict(&mut self, key: &str, value: &str, cause: String) {
        let fault = Fault::new(self.location(key), FaultKind::Conflict(cause));
        let fault = fault.section(&self.section.header).key(key).value(value);
        self.faults.push(fault);
    }

    /// Reports every key of the section that was not read as unknown.
    pub(crate) fn finish(self) {
        for entry in &self.section.entries {
            if self.known_keys.contains(&entry.key.as_str()) {
                continue;
            }
            let fault = Fault::new(entry.location.clone(), FaultKind::UnknownKey)
                .section(&self.section.header)
                .key(&entry.key)
                .suggestion(suggest::closest(
                    &entry.key,
                    self.known_keys.iter().copied(),
                ));
            self.faults.push(fault);
        }
    }

    /// Returns the first entry of `key` and reports any others as duplicates.
    fn find(&mut self, key: &'static str) -> Option<&'a Entry> {
        self.known_keys.push(key);
        let mut entries = self.section.entries.iter().filter(|e| e.key == key);
        let first = entries.next()?;
        for entry in entries {
            let kind = FaultKind::DuplicateKey(first.location.clone());
            let fault = Fault::new(entry.location.clone(), kind);
            self.faults
                .push(fault.section(&self.section.header).key(key));
        }
        Some(first)
    }

    fn parse<T>(&mut self, entry: &Entry, format: &Format<T>) -> Option<T> {
        let parsed = (format.parse)(&entry.value);
        if parsed.is_none() {
            let mut fault = Fault::new(entry.location.clone(), FaultKind::BadValue(format.allowed))
                .section(&self.section.header)
                .key(&entry.key);
            if !format.secret {
                let choices = format.choices.iter().copied();
                fault = fault
                    .value(&entry.value)
                    .suggestion(suggest::closest(&entry.value, choices));
            }
            self.faults.push(fault);
        }
        parsed
    }
}
