use std::{
    fs,
    path::{Path, PathBuf},
};

use toucanchute_proto::config::Config;

use crate::{
    document::{Document, Section},
    error::SettingsError,
    fault::{Fault, FaultKind, Location},
    format, suggest,
};

mod references;
mod sections;

/// Kinds of sections that have no name, so that each can be defined only once.
const UNNAMED_KINDS: [&str; 3] = ["site", "routing", "ledger"];

/// Kinds of sections that have a name.
const NAMED_KINDS: [&str; 7] = [
    "failure_domain",
    "model",
    "service",
    "pool",
    "backend",
    "budget",
    "customer",
];

/// Reads the operators' configuration from all `*.ini` files in the folder at `path`.
///
/// The version of the result is 0; a configuration gets its version when it is applied.
///
/// # Errors
///
/// Returns every fault of all files, each with its location and the allowed values.
pub fn load_folder(path: &Path) -> Result<Config, SettingsError> {
    let mut faults = Vec::new();
    let sections = read_sections(path, &mut faults);
    check_headers(&sections, &mut faults);
    let mut cfg = Config::default();
    for section in &sections {
        sections::read(section, &mut cfg, &mut faults);
    }
    if faults.is_empty() && !sections.iter().any(|s| s.kind() == "site") {
        let fault = Fault::new(Location::whole(path), FaultKind::MissingSection);
        faults.push(fault.section("site"));
    }
    references::check(&cfg, &sections, &mut faults);
    if faults.is_empty() {
        return Ok(cfg);
    }
    faults.sort_by(|a, b| a.location.cmp(&b.location));
    Err(SettingsError { faults })
}

/// Returns the sections of all files, sorted by file name. Reports files that cannot be read or
/// parsed.
fn read_sections(folder: &Path, faults: &mut Vec<Fault>) -> Vec<Section> {
    let files = match list_files(folder) {
        Ok(files) => files,
        Err(kind) => {
            faults.push(Fault::new(Location::whole(folder), kind));
            return Vec::new();
        }
    };
    let mut sections = Vec::new();
    for file in files {
        match Document::read(&file) {
            Ok(doc) => sections.extend(doc.sections),
            Err(found) => faults.extend(found),
        }
    }
    sections
}

fn list_files(folder: &Path) -> Result<Vec<PathBuf>, FaultKind> {
    let unreadable = |e: std::io::Error| FaultKind::Unreadable(e.to_string());
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|ext| ext == "ini") {
            files.push(path);
        }
    }
    if files.is_empty() {
        return Err(FaultKind::NoFiles);
    }
    files.sort();
    Ok(files)
}

/// Reports sections that are unknown, duplicate or have an invalid name.
fn check_headers(sections: &[Section], faults: &mut Vec<Fault>) {
    for (i, section) in sections.iter().enumerate() {
        match header_fault(section) {
            Some(fault) => faults.push(fault),
            None => {
                let mut earlier = sections[..i].iter();
                if let Some(first) = earlier.find(|s| s.header == section.header) {
                    let kind = FaultKind::DuplicateSection(first.location.clone());
                    faults.push(section.fault(kind));
                }
            }
        }
    }
}

fn header_fault(section: &Section) -> Option<Fault> {
    let kind = section.kind();
    if UNNAMED_KINDS.contains(&kind) {
        let expected = FaultKind::SectionName("no name after the kind of section");
        return (!section.name().is_empty()).then(|| section.fault(expected));
    }
    if NAMED_KINDS.contains(&kind) {
        let has_valid_name = (format::NAME.parse)(section.name()).is_some();
        return (!has_valid_name)
            .then(|| section.fault(FaultKind::SectionName(format::NAME.allowed)));
    }
    let suggestion = suggest::closest(kind, UNNAMED_KINDS.into_iter().chain(NAMED_KINDS));
    Some(
        section
            .fault(FaultKind::UnknownSection)
            .suggestion(suggestion),
    )
}
