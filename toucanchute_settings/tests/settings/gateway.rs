use toucanchute_settings::load_gateway;
use yare::parameterized;

use crate::files::Folder;

const GATEWAY: &str = "\
[router]
host = front-1
failure_domain = bilbao
region = north
peer_listen = 10.1.0.40:7340
peer_secret = fleet-at-10.200.1.7:8223
[callers]
listen = 10.1.0.40:8227
readiness = 10.1.0.40:8220
directory = 10.1.0.40:8224
descriptors = 4100
[store]
endpoint = 10.200.1.7:8223
";

#[test]
fn omitted_keys_have_defaults() {
    let folder = Folder::with(&[("g.ini", GATEWAY)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.callers.connections, 3_500);
    assert_eq!(settings.store.timeout_ms, 1_000);
    assert_eq!(settings.prepaid.witnesses, 5);
    assert_eq!(settings.prepaid.acks, 3);
    assert_eq!(settings.leave.grace_ms, 8_000);
    assert_eq!(settings.bounds.evacuation_ms, 5_000);
    assert!(settings.monitor.listen.is_none());
}

/// Guards against failure domains whose region is not known, which lie outside of all homes.
#[parameterized(
    own_only = { "", &["bilbao:north"] },
    empty = { "regions =\n", &["bilbao:north"] },
    several = { "regions = oviedo:west, bilbao:north\n", &["oviedo:west", "bilbao:north", "bilbao:north"] },
)]
fn regions_of_failure_domains_are_read(line: &str, regions: &[&str]) {
    let text = GATEWAY.replace("[callers]", &format!("{line}[callers]"));
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.regions, regions);
}

#[test]
fn decimal_values_are_read() {
    let text = format!("{GATEWAY}[retries]\nratio = 0.2\nburst = 54\n[leave]\ngrace = 8.5 s\n");
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.retries.percent, 20);
    assert_eq!(settings.retries.burst, 54);
    assert_eq!(settings.leave.grace_ms, 8_500);
}

macro_rules! optional_values {
    ($($name:ident: $text:expr, $retries:expr, $grace_ms:expr, $connections:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = GATEWAY.replace("descriptors = 4100\n", "") + $text;
            let folder = Folder::with(&[("g.ini", &text)]);
            let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
            let retries = (settings.retries.percent, settings.retries.burst);
            assert_eq!(retries, $retries);
            assert_eq!(settings.leave.grace_ms, $grace_ms);
            assert_eq!(settings.callers.connections, $connections);
        }
    )*};
}

optional_values! {
    all_missing: "", (10, 20), 8_000, 3_000;
    seven_hosts: "[retries]\nratio = 0.2\nburst = 54\n[leave]\ngrace = 8 s\n", (20, 54), 8_000, 3_000;
    many_hosts: "[retries]\nratio = 0.2\nburst = 630\n[leave]\ngrace = 8 s\n", (20, 630), 8_000, 3_000;
    a_part_of_a_fleet: "[retries]\nburst = 33.1578947368421\n", (10, 33), 8_000, 3_000;
    less_than_one: "[retries]\nratio = 0.005\nburst = 0.9\n[leave]\ngrace = 0.5 s\n", (0, 0), 500, 3_000;
    none: "[retries]\nratio = 0\nburst = 0\n[leave]\ngrace = 0 s\n", (0, 0), 0, 3_000;
    more_retries_than_requests: "[retries]\nratio = 2.5\nburst = 54.0\n", (250, 54), 8_000, 3_000;
    very_large: "[retries]\nratio = 1e30\nburst = 1e30\n[leave]\ngrace = 1e30 s\n",
        (u32::MAX, u32::MAX), 86_400_000, 3_000;
    left_empty: "[retries]\nratio =\nburst =\n[leave]\ngrace =\n[monitor]\nlisten =\n", (10, 20), 8_000, 3_000;
}

#[parameterized(
    missing = { "", 3_000 },
    empty = { "descriptors =\n", 3_000 },
    none = { "descriptors = 0\n", 3_000 },
    few = { "descriptors = 100\n", 25 },
    fraction = { "descriptors = 4100.5\n", 3_500 },
    very_large = { "descriptors = 1e30\n", u32::MAX - 600 },
)]
fn connections_follow_the_descriptors(text: &str, connections: u32) {
    let text = GATEWAY.replace("descriptors = 4100\n", text);
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.callers.connections, connections);
}

#[parameterized(
    missing = { "", (2_000, 2_000) },
    seven_hosts = { "[bounds]\nwithdrawal = 2000 ms\nconfiguration = 2000 ms\n", (2_000, 2_000) },
    many_hosts = { "[bounds]\nwithdrawal = 4000 ms\nconfiguration = 3000.7 ms\n", (4_000, 3_000) },
    none = { "[bounds]\nwithdrawal = 0 ms\n", (0, 2_000) },
    empty = { "[bounds]\nwithdrawal =\n", (2_000, 2_000) },
    very_large = { "[bounds]\nconfiguration = 1e30 ms\n", (2_000, 60_000) },
)]
fn bounds_are_read(text: &str, bounds: (u64, u64)) {
    let folder = Folder::with(&[("g.ini", &format!("{GATEWAY}{text}"))]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    let read = settings.bounds;
    assert_eq!((read.withdrawal_ms, read.configuration_ms), bounds);
}

#[parameterized(
    missing = { "", 0 },
    share = { "processor_share = 0.12\n", 120 },
    both = { "processor_share = 0.25\nprocessors = 2\n", 500 },
    empty = { "processor_share =\nprocessors =\n", 0 },
    very_large = { "processor_share = 1e30\nprocessors = 1e30\n", u32::MAX },
)]
fn capacity_is_processors_times_share(text: &str, capacity: u32) {
    let text = GATEWAY.replace("region = north\n", &format!("region = north\n{text}"));
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.capacity, capacity);
}

#[parameterized(
    missing = { "", 0 },
    whole = { "bandwidth = 200\n", 200_000 },
    fractional = { "bandwidth = 10.5\n", 10_500 },
    zero = { "bandwidth = 0\n", 0 },
    empty = { "bandwidth =\n", 0 },
    very_large = { "bandwidth = 1e30\n", u32::MAX },
)]
fn bandwidth_is_read_in_megabits(text: &str, bandwidth: u32) {
    let text = GATEWAY.replace("region = north\n", &format!("region = north\n{text}"));
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.bandwidth, bandwidth);
}

#[test]
fn region_defaults_to_failure_domain() {
    let text = GATEWAY.replace("region = north\n", "");
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.region, settings.router.failure_domain);
}

#[test]
fn names_may_have_letters_of_any_language() {
    let text = GATEWAY.replace("failure_domain = bilbao", "failure_domain = logroño");
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.failure_domain, "logroño");
}

#[parameterized(
    ratio = { "[retries]\nratio = -0.2\n", "ratio" },
    ratio_word = { "[retries]\nratio = true\n", "ratio" },
    burst = { "[retries]\nburst = -1\n", "burst" },
    burst_suffix = { "[retries]\nburst = 54 s\n", "burst" },
    burst_nan = { "[retries]\nburst = nan\n", "burst" },
    grace = { "[leave]\ngrace = -8 s\n", "grace" },
    grace_unit = { "[leave]\ngrace = 8 parsecs\n", "grace" },
    quorum = { "[prepaid]\nwitnesses = 2\nacks = 3\n", "acks" },
    section = { "[prepayd]\nacks = 1\n", "prepaid" },
    key = { "[leave]\ngraze = 8 s\n", "grace" },
    span = { "[leave]\ngrace = 8\n", "grace" },
)]
fn a_fault_names_what_is_wrong(extra: &str, named: &str) {
    let folder = Folder::with(&[("g.ini", &format!("{GATEWAY}{extra}"))]);
    let error = load_gateway(&folder.path().join("g.ini")).unwrap_err();
    let message = error.to_string();
    assert!(message.contains(named), "{message}");
}

#[parameterized(
    to_callers = { "listen = 10.1.0.40:8227", "listen = 0.0.0.0:8227" },
    to_routers = { "peer_listen = 10.1.0.40:7340", "peer_listen = 0.0.0.0:7340" },
)]
fn unspecified_advertised_address_is_refused(good: &str, bad: &str) {
    let folder = Folder::with(&[("g.ini", &GATEWAY.replace(good, bad))]);
    let error = load_gateway(&folder.path().join("g.ini")).unwrap_err();
    assert!(error.to_string().contains("unspecified"), "{error}");
}

#[test]
fn peer_advertise_overrides_peer_listen() {
    let text = GATEWAY.replace(
        "peer_listen = 10.1.0.40:7340",
        "peer_listen = 0.0.0.0:7340\npeer_advertise = 10.1.0.40:7341",
    );
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.peer_advertise.to_string(), "10.1.0.40:7341");
}
