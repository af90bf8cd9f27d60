//! Functions shared by the settings files of routers and gateways.

use std::{net::SocketAddr, path::Path};

use toucanchute_proto::settings::LogSection;

use crate::{
    document::{Document, Section},
    error::SettingsError,
    fault::{Fault, FaultKind, Location},
    format,
    reader::SectionReader,
    suggest,
};

/// Reads the settings of a process from the INI file at `path`. Sections other than `sections` are
/// faults.
///
/// # Errors
///
/// Returns every fault of the file.
pub(crate) fn load<T>(
    path: &Path,
    sections: &[&'static str],
    read: fn(&Path, &Document, &mut Vec<Fault>) -> Option<T>,
) -> Result<T, SettingsError> {
    let doc = Document::read(path).map_err(|faults| SettingsError { faults })?;
    let mut faults = Vec::new();
    check_headers(&doc, sections, &mut faults);
    let settings = read(path, &doc, &mut faults);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => {
            faults.sort_by(|a, b| a.location.cmp(&b.location));
            Err(SettingsError { faults })
        }
    }
}

/// Reports unknown and duplicate sections.
fn check_headers(doc: &Document, sections: &[&'static str], faults: &mut Vec<Fault>) {
    for (i, section) in doc.sections.iter().enumerate() {
        let header = section.header.as_str();
        if !sections.contains(&header) {
            let suggestion = suggest::closest(header, sections.iter().copied());
            faults.push(
                section
                    .fault(FaultKind::UnknownSection)
                    .suggestion(suggestion),
            );
            continue;
        }
        let earlier = doc.sections[..i].iter().find(|s| s.header == header);
        if let Some(earlier) = earlier {
            let kind = FaultKind::DuplicateSection(earlier.location.clone());
            faults.push(section.fault(kind));
        }
    }
}

/// Reports that a required section is missing. Always returns `None`.
pub(crate) fn report_missing_section<T>(
    path: &Path,
    header: &str,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let fault = Fault::new(Location::whole(path), FaultKind::MissingSection);
    faults.push(fault.section(header));
    None
}

/// Reports an advertised address that is unspecified, such as 0.0.0.0, because callers and peers
/// cannot connect to it.
pub(crate) fn check_advertised(
    r: &mut SectionReader<'_>,
    key: &'static str,
    address: Option<SocketAddr>,
) {
    if let Some(address) = address.filter(|a| a.ip().is_unspecified()) {
        let cause = "an unspecified address cannot be connected to".to_owned();
        r.report_conflict(key, &address.to_string(), cause);
    }
}

/// Reads the `[log]` section.
pub(crate) fn read_log(section: &Section, faults: &mut Vec<Fault>) -> LogSection {
    let mut r = SectionReader::new(section, faults);
    let level = r.optional("level", &format::LOG_LEVEL);
    let file = r.optional("file", &format::PATH);
    r.finish();
    LogSection {
        level: level.unwrap_or_default(),
        file,
    }
}
