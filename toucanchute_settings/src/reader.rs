use crate::{
    document::{Entry, Section},
    fault::{Fault, FaultKind, Location},
    format::Format,
    suggest,
};

/// Reads the keys of one section and collects their faults.
pub(crate) struct SectionReader<'a> {
    section: &'a Section,
    /// Keys asked for so far; [`SectionReader::finish`] reports all others as unknown.
    known_keys: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> SectionReader<'a> {
    /// Starts to read `section`.
    pub(crate) fn new(section: &'a Section, faults: &'a mut Vec<Fault>) -> SectionReader<'a> {
        SectionReader {
            section,
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Returns the value of a key that must be there; `None` after a fault.
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

    /// Returns the value of a key, or `None` if it is not there or at fault.
    pub(crate) fn optional<T>(&mut self, key: &'static str, format: &Format<T>) -> Option<T> {
        let entry = self.find(key)?;
        self.parse(entry, format)
    }

    /// Returns the value of a key that whoever writes the file may leave empty.
    pub(crate) fn optional_non_empty<T>(
        &mut self,
        key: &'static str,
        format: &Format<T>,
    ) -> Option<T> {
        let entry = self.find(key).filter(|e| !e.value.is_empty())?;
        self.parse(entry, format)
    }

    /// Overwrites `field` if the key is there.
    pub(crate) fn set<T>(&mut self, key: &'static str, format: &Format<T>, field: &mut T) {
        if let Some(value) = self.optional(key, format) {
            *field = value;
        }
    }

    /// Returns whether a key is there.
    pub(crate) fn has_key(&self, key: &str) -> bool {
        self.section.entries.iter().any(|e| e.key == key)
    }

    /// Returns the location of a key, or that of its section.
    fn location(&self, key: &str) -> Location {
        let entry = self.section.entries.iter().find(|e| e.key == key);
        entry
            .map_or(&self.section.location, |e| &e.location)
            .clone()
    }

    /// Adds a fault about the value of `key`.
    pub(crate) fn report_conflict(&mut self, key: &str, value: &str, cause: String) {
        let fault = Fault::new(self.location(key), FaultKind::Conflict(cause));
        let fault = fault.section(&self.section.header).key(key).value(value);
        self.faults.push(fault);
    }

    /// Reports every key that was not asked for.
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

    /// Returns the first entry of `key` and reports the others.
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
