use std::path::Path;

use toucanchute_proto::settings::{
    BoundsSection, CallersSection, GatewayRouterSection, GatewaySettings, LeaveSection, LogLevel,
    LogSection, MonitorSection, PrepaidSection, RetriesSection, StoreSection,
};

use crate::{
    document::{Document, Section},
    error::SettingsError,
    fault::Fault,
    format,
    process::{self, check_advertised, read_log, report_missing_section},
    reader::SectionReader,
};

/// Default timeout of one call to the store, in milliseconds.
const DEFAULT_STORE_TIMEOUT_MS: u64 = 1_000;

/// Default time for which callers may cache addresses, in milliseconds.
const DEFAULT_ADDRESS_MAX_AGE_MS: u64 = 2_000;

/// File descriptors reserved for files and for connections other than those of callers.
const RESERVED_DESCRIPTORS: u32 = 600;

/// Default maximum number of concurrent connections of callers.
const DEFAULT_CONNECTIONS: u32 = 3_000;

/// Default time between the request to stop a process and its kill, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 8_000;

/// Maximum time between the request to stop a process and its kill, in milliseconds. Longer times
/// are reduced to it.
const MAX_GRACE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Default time within which a withdrawal or a configuration has to take effect, in milliseconds.
const DEFAULT_BOUND_MS: u64 = 2_000;

/// Default time within which an evacuation has to take effect, in milliseconds.
const DEFAULT_EVACUATION_MS: u64 = 5_000;

/// Maximum time within which a withdrawal or a configuration has to take effect, in milliseconds.
/// Longer times are reduced to it.
const MAX_BOUND_MS: u64 = 60_000;

/// Default number of witnesses of an account, and of acknowledgements that a mark needs.
const DEFAULT_QUORUM: (u8, u8) = (5, 3);

/// Default limits of retries: percentage of the requests, and number of retries allowed beyond it.
const DEFAULT_RETRIES: (u32, u32) = (10, 20);

/// One whole processor, or a share of 1, in thousandths.
const WHOLE: u32 = 1_000;

/// Sections of a gateway's settings file. They have no names.
const SECTIONS: [&str; 9] = [
    "router", "callers", "store", "bounds", "retries", "leave", "prepaid", "log", "monitor",
];

/// Reads the settings of a gateway from the INI file at `path`.
///
/// # Errors
///
/// Returns every fault of the file, each with its location and the allowed values.
pub fn load_gateway(path: &Path) -> Result<GatewaySettings, SettingsError> {
    process::load(path, &SECTIONS, read)
}

fn read(path: &Path, doc: &Document, faults: &mut Vec<Fault>) -> Option<GatewaySettings> {
    let find = |header: &str| doc.sections.iter().find(|s| s.header == header);
    let router = match find("router") {
        Some(section) => read_router(section, faults),
        None => report_missing_section(path, "router", faults),
    };
    let callers = match find("callers") {
        Some(section) => read_callers(section, faults),
        None => report_missing_section(path, "callers", faults),
    };
    let store = match find("store") {
        Some(section) => read_store(section, faults),
        None => report_missing_section(path, "store", faults),
    };
    let bounds = find("bounds").map(|s| read_bounds(s, faults));
    let retries = find("retries").map(|s| read_retries(s, faults));
    let leave = find("leave").map(|s| read_leave(s, faults));
    let prepaid = find("prepaid").map(|s| read_prepaid(s, faults));
    let log = find("log").map(|s| read_log(s, faults));
    let monitor = find("monitor").map(|s| read_monitor(s, faults));
    let (percent, burst) = DEFAULT_RETRIES;
    let (witnesses, acks) = DEFAULT_QUORUM;
    Some(GatewaySettings {
        router: router?,
        callers: callers?,
        store: store?,
        bounds: bounds.unwrap_or(BoundsSection {
            withdrawal_ms: DEFAULT_BOUND_MS,
            configuration_ms: DEFAULT_BOUND_MS,
            evacuation_ms: DEFAULT_EVACUATION_MS,
            cold_overshoot_permille: WHOLE,
            cold_slack_permille: 0,
        }),
        retries: retries.unwrap_or(RetriesSection { percent, burst }),
        leave: leave.unwrap_or(LeaveSection {
            grace_ms: DEFAULT_GRACE_MS,
        }),
        prepaid: prepaid.unwrap_or(PrepaidSection { witnesses, acks }),
        log: log.unwrap_or(LogSection {
            level: LogLevel::Info,
            file: None,
        }),
        monitor: monitor.unwrap_or_default(),
    })
}

fn read_router(section: &Section, faults: &mut Vec<Fault>) -> Option<GatewayRouterSection> {
    let mut r = SectionReader::new(section, faults);
    let host = r.required("host", &format::NAME);
    let failure_domain = r.required("failure_domain", &format::NAME);
    let region = r.optional_non_empty("region", &format::NAME);
    let regions = r.optional_non_empty("regions", &format::NAME_PAIRS);
    let peer_listen = r.required("peer_listen", &format::ADDRESS);
    let peer_advertise = r
        .optional("peer_advertise", &format::ADDRESS)
        .or(peer_listen);
    let peer_secret = r.required("peer_secret", &format::SECRET);
    let processors = r.optional_non_empty("processors", &format::THOUSANDTHS);
    let share = r.optional_non_empty("processor_share", &format::THOUSANDTHS);
    let bandwidth = r.optional_non_empty("bandwidth", &format::THOUSANDTHS);
    check_advertised(&mut r, "peer_advertise", peer_advertise);
    r.finish();
    let failure_domain = failure_domain?;
    let region = region.unwrap_or_else(|| failure_domain.clone());
    let mut regions = regions.unwrap_or_default();
    regions.push(format!("{failure_domain}:{region}"));
    Some(GatewayRouterSection {
        host: host?,
        region,
        regions,
        failure_domain,
        peer_listen: peer_listen?,
        peer_advertise: peer_advertise?,
        peer_secret: peer_secret?,
        capacity: share.map_or(0, |share| capacity(share, processors.unwrap_or(WHOLE))),
        bandwidth: bandwidth.unwrap_or(0),
    })
}

/// Returns the processor capacity that a host provides, given the share of its processors. All
/// values are in thousandths.
fn capacity(share: u32, processors: u32) -> u32 {
    let product = u64::from(share) * u64::from(processors) / u64::from(WHOLE);
    u32::try_from(product).unwrap_or(u32::MAX)
}

fn read_callers(section: &Section, faults: &mut Vec<Fault>) -> Option<CallersSection> {
    let mut r = SectionReader::new(section, faults);
    let listen = r.required("listen", &format::ADDRESS);
    let readiness = r.required("readiness", &format::ADDRESS);
    let directory = r.required("directory", &format::ADDRESS);
    let descriptors = r.optional_non_empty("descriptors", &format::NON_NEGATIVE);
    let address_max_age_ms = r.optional("address_max_age", &format::DURATION);
    check_advertised(&mut r, "listen", listen);
    r.finish();
    let descriptors = descriptors.filter(|&n| n > 0);
    let connections = descriptors.map(|n| n.saturating_sub(RESERVED_DESCRIPTORS).max(n / 4).max(1));
    Some(CallersSection {
        listen: listen?,
        readiness: readiness?,
        directory: directory?,
        connections: connections.unwrap_or(DEFAULT_CONNECTIONS),
        address_max_age_ms: address_max_age_ms.unwrap_or(DEFAULT_ADDRESS_MAX_AGE_MS),
    })
}

fn read_store(section: &Section, faults: &mut Vec<Fault>) -> Option<StoreSection> {
    let mut r = SectionReader::new(section, faults);
    let endpoint = r.required("endpoint", &format::ADDRESS);
    let timeout_ms = r.optional("timeout", &format::DURATION);
    r.finish();
    Some(StoreSection {
        endpoint: endpoint?,
        timeout_ms: timeout_ms.unwrap_or(DEFAULT_STORE_TIMEOUT_MS),
    })
}

fn read_bounds(section: &Section, faults: &mut Vec<Fault>) -> BoundsSection {
    let mut r = SectionReader::new(section, faults);
    let withdrawal = r.optional_non_empty("withdrawal", &format::DURATION_OR_ZERO);
    let configuration = r.optional_non_empty("configuration", &format::DURATION_OR_ZERO);
    let evacuation = r.optional_non_empty("evacuation", &format::DURATION_OR_ZERO);
    let overshoot = r.optional_non_empty("cold_overshoot", &format::THOUSANDTHS);
    let slack = r.optional_non_empty("cold_slack", &format::THOUSANDTHS);
    r.finish();
    BoundsSection {
        withdrawal_ms: withdrawal.unwrap_or(DEFAULT_BOUND_MS).min(MAX_BOUND_MS),
        configuration_ms: configuration.unwrap_or(DEFAULT_BOUND_MS).min(MAX_BOUND_MS),
        evacuation_ms: evacuation
            .unwrap_or(DEFAULT_EVACUATION_MS)
            .min(MAX_BOUND_MS),
        cold_overshoot_permille: overshoot.unwrap_or(WHOLE),
        cold_slack_permille: slack.unwrap_or(0),
    }
}

fn read_retries(section: &Section, faults: &mut Vec<Fault>) -> RetriesSection {
    let (percent, burst) = DEFAULT_RETRIES;
    let mut r = SectionReader::new(section, faults);
    let percent = r
        .optional_non_empty("ratio", &format::RATIO)
        .unwrap_or(percent);
    let burst = r
        .optional_non_empty("burst", &format::NON_NEGATIVE)
        .unwrap_or(burst);
    r.finish();
    RetriesSection { percent, burst }
}

fn read_leave(section: &Section, faults: &mut Vec<Fault>) -> LeaveSection {
    let mut r = SectionReader::new(section, faults);
    let grace_ms = r.optional_non_empty("grace", &format::DURATION_OR_ZERO);
    r.finish();
    LeaveSection {
        grace_ms: grace_ms.unwrap_or(DEFAULT_GRACE_MS).min(MAX_GRACE_MS),
    }
}

fn read_prepaid(section: &Section, faults: &mut Vec<Fault>) -> PrepaidSection {
    let (mut witnesses, mut acks) = DEFAULT_QUORUM;
    let mut r = SectionReader::new(section, faults);
    r.set("witnesses", &format::WITNESSES, &mut witnesses);
    r.set("acks", &format::WITNESSES, &mut acks);
    if acks > witnesses {
        let cause = "a mark cannot have more acknowledgements than witnesses".to_owned();
        r.report_conflict("acks", &acks.to_string(), cause);
    }
    r.finish();
    PrepaidSection { witnesses, acks }
}

fn read_monitor(section: &Section, faults: &mut Vec<Fault>) -> MonitorSection {
    let mut r = SectionReader::new(section, faults);
    let listen = r.optional_non_empty("listen", &format::ADDRESS);
    r.finish();
    MonitorSection { listen }
}
