use std::path::Path;

use toucanchute_proto::settings::{
    LimitsSection, LogLevel, LogSection, MetricsSection, PeersSection, PlatformSection,
    RouterSection, RouterSettings,
};

use crate::{
    document::{Document, Section},
    error::SettingsError,
    fault::Fault,
    format,
    process::{self, check_advertised, read_log, report_missing_section},
    reader::SectionReader,
};

/// Default timeout of one call to the platform, in milliseconds.
const DEFAULT_PLATFORM_TIMEOUT_MS: u64 = 1_000;

/// Sections of a router's settings file. They have no names.
const SECTIONS: [&str; 6] = ["router", "peers", "platform", "limits", "log", "metrics"];

/// Reads the settings of a router from the INI file at `path`.
///
/// # Errors
///
/// Returns every fault of the file, each with its location and the allowed values.
pub fn load_router(path: &Path) -> Result<RouterSettings, SettingsError> {
    process::load(path, &SECTIONS, read)
}

fn read(path: &Path, doc: &Document, faults: &mut Vec<Fault>) -> Option<RouterSettings> {
    let find = |header: &str| doc.sections.iter().find(|s| s.header == header);
    let router = match find("router") {
        Some(section) => read_router(section, faults),
        None => report_missing_section(path, "router", faults),
    };
    let platform = match find("platform") {
        Some(section) => read_platform(section, faults),
        None => report_missing_section(path, "platform", faults),
    };
    let peers = find("peers").map(|s| read_peers(s, faults));
    let limits = find("limits").map(|s| read_limits(s, faults));
    let log = find("log").map(|s| read_log(s, faults));
    let metrics = find("metrics").map(|s| read_metrics(s, faults));
    Some(RouterSettings {
        router: router?,
        peers: peers.unwrap_or_default(),
        platform: platform?,
        limits: limits.unwrap_or_default(),
        log: log.unwrap_or(LogSection {
            level: LogLevel::Info,
            file: None,
        }),
        metrics: metrics.unwrap_or_default(),
    })
}

fn read_router(section: &Section, faults: &mut Vec<Fault>) -> Option<RouterSection> {
    let mut r = SectionReader::new(section, faults);
    let host = r.required("host", &format::NAME);
    let failure_domain = r.required("failure_domain", &format::NAME);
    let region = r.required("region", &format::NAME);
    let listen = r.required("listen", &format::ADDRESS);
    let advertise = r.optional("advertise", &format::ADDRESS).or(listen);
    let peer_listen = r.required("peer_listen", &format::ADDRESS);
    let peer_advertise = r
        .optional("peer_advertise", &format::ADDRESS)
        .or(peer_listen);
    let operator_token_sha256 = r.required("operator_token_sha256", &format::DIGEST);
    let peer_secret = r.required("peer_secret", &format::SECRET);
    if let Some(peer) = peer_listen.filter(|&a| Some(a) == listen) {
        let cause = "callers and peers need separate addresses".to_owned();
        r.report_conflict("peer_listen", &peer.to_string(), cause);
    }
    check_advertised(&mut r, "advertise", advertise);
    check_advertised(&mut r, "peer_advertise", peer_advertise);
    r.finish();
    Some(RouterSection {
        host: host?,
        failure_domain: failure_domain?,
        region: region?,
        listen: listen?,
        advertise: advertise?,
        peer_listen: peer_listen?,
        peer_advertise: peer_advertise?,
        operator_token_sha256: operator_token_sha256?,
        peer_secret: peer_secret?,
    })
}

fn read_platform(section: &Section, faults: &mut Vec<Fault>) -> Option<PlatformSection> {
    let mut r = SectionReader::new(section, faults);
    let endpoints = r.required("endpoints", &format::ADDRESSES);
    let hosts = r.required("hosts", &format::ADDRESS);
    let timeout_ms = r.optional("timeout", &format::DURATION);
    r.finish();
    Some(PlatformSection {
        endpoints: endpoints?,
        hosts: hosts?,
        timeout_ms: timeout_ms.unwrap_or(DEFAULT_PLATFORM_TIMEOUT_MS),
    })
}

fn read_peers(section: &Section, faults: &mut Vec<Fault>) -> PeersSection {
    let mut r = SectionReader::new(section, faults);
    let addresses = r.optional("addresses", &format::ADDRESSES);
    r.finish();
    PeersSection {
        addresses: addresses.unwrap_or_default(),
    }
}

fn read_limits(section: &Section, faults: &mut Vec<Fault>) -> LimitsSection {
    let mut limits = LimitsSection::default();
    let mut r = SectionReader::new(section, faults);
    r.set(
        "header_timeout",
        &format::DURATION,
        &mut limits.header_timeout_ms,
    );
    r.set(
        "body_timeout",
        &format::DURATION,
        &mut limits.body_timeout_ms,
    );
    r.set("max_header", &format::SIZE, &mut limits.max_header_bytes);
    r.set("connections", &format::COUNT, &mut limits.connections);
    r.finish();
    limits
}

fn read_metrics(section: &Section, faults: &mut Vec<Fault>) -> MetricsSection {
    let mut r = SectionReader::new(section, faults);
    let statsd = r.optional("statsd", &format::ADDRESS);
    r.finish();
    MetricsSection { statsd }
}
