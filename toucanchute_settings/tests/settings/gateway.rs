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
fn defaults_fill_what_is_left_out() {
    let folder = Folder::with(&[("g.ini", GATEWAY)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.callers.connections, 3_500);
    assert_eq!(settings.store.timeout_ms, 1_000);
    assert_eq!(settings.prepaid.witnesses, 5);
    assert_eq!(settings.prepaid.acks, 3);
    assert_eq!(settings.leave.grace_ms, 8_000);
    assert!(settings.monitor.listen.is_none());
}

#[test]
fn fractions_of_units_are_read() {
    let text = format!("{GATEWAY}[retries]\nratio = 0.2\nburst = 54\n[leave]\ngrace = 8.5 s\n");
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.retries.percent, 20);
    assert_eq!(settings.retries.burst, 54);
    assert_eq!(settings.leave.grace_ms, 8_500);
}

#[parameterized(
    ratio = { "[retries]\nratio = 2\n", "ratio" },
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
fn an_address_that_is_told_to_others_can_be_connected_to(good: &str, bad: &str) {
    let folder = Folder::with(&[("g.ini", &GATEWAY.replace(good, bad))]);
    let error = load_gateway(&folder.path().join("g.ini")).unwrap_err();
    assert!(error.to_string().contains("unspecified"), "{error}");
}

#[test]
fn another_address_may_be_told_to_routers() {
    let text = GATEWAY.replace(
        "peer_listen = 10.1.0.40:7340",
        "peer_listen = 0.0.0.0:7340\npeer_advertise = 10.1.0.40:7341",
    );
    let folder = Folder::with(&[("g.ini", &text)]);
    let settings = load_gateway(&folder.path().join("g.ini")).unwrap();
    assert_eq!(settings.router.peer_advertise.to_string(), "10.1.0.40:7341");
}
