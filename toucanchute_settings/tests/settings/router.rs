use toucanchute_settings::load_router;

use crate::files::Folder;

const ROUTER: &str = "\
[router]
host = bilbao-1
failure_domain = bilbao
region = north
listen = 127.0.0.1:7001
peer_listen = 127.0.0.1:7101
operator_token_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
peer_secret = correct-horse
";

const PLATFORM: &str = "\
[platform]
endpoints = 127.0.0.1:7201, [::1]:7202
hosts = 127.0.0.1:7203
";

#[test]
fn omitted_keys_have_defaults() {
    let folder = Folder::with(&[("r.ini", &format!("{ROUTER}{PLATFORM}"))]);
    let settings = load_router(&folder.path().join("r.ini")).unwrap();
    assert_eq!(settings.router.advertise, settings.router.listen);
    assert_eq!(settings.router.peer_advertise, settings.router.peer_listen);
    assert_eq!(settings.platform.endpoints.len(), 2);
    assert_eq!(settings.platform.timeout_ms, 1_000);
    assert_eq!(settings.limits.header_timeout_ms, 5_000);
    assert!(settings.metrics.statsd.is_none());
}

#[test]
fn every_key_is_read() {
    let rest = "[peers]\naddresses = 127.0.0.1:7101\n[limits]\nheader_timeout = 2 s\n\
        body_timeout=1 min\nmax_header = 8 KiB\nconnections = 9\n[log]\nlevel = debug\n\
        file = a b.log\n[metrics]\nstatsd = 127.0.0.1:8125\n";
    let folder = Folder::with(&[(
        "r.ini",
        &format!("{ROUTER}{PLATFORM}timeout = 300 ms\n{rest}"),
    )]);
    let settings = load_router(&folder.path().join("r.ini")).unwrap();
    assert_eq!(settings.platform.timeout_ms, 300);
    assert_eq!(settings.peers.addresses.len(), 1);
    assert_eq!(settings.limits.header_timeout_ms, 2_000);
    assert_eq!(settings.limits.body_timeout_ms, 60_000);
    assert_eq!(settings.limits.max_header_bytes, 8_192);
    assert_eq!(settings.limits.connections, 9);
    assert_eq!(settings.log.file.as_deref(), Some("a b.log"));
    assert!(settings.metrics.statsd.is_some());
}

/// Defines a test for each case: the sections after `[router]`, and the complete error message
/// expected.
macro_rules! faults {
    ($($name:ident: $text:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let folder = Folder::with(&[("r.ini", &format!("{ROUTER}{}", $text))]);
            let err = load_router(&folder.path().join("r.ini")).unwrap_err();
            assert_eq!(folder.relative(&err), $expected);
        }
    )*};
}

faults! {
    missing_section: "" => "r.ini: [platform] section is missing";
    misspelled_section: format!("{PLATFORM}[limit]\n") =>
        "r.ini:12: [limit] unknown section; did you mean `limits`?";
    duplicate_section: format!("{PLATFORM}[platform]\n") =>
        "r.ini:12: [platform] section already defined at r.ini:9";
    misspelled_key: format!("{PLATFORM}timeuot = 1 s\n") =>
        "r.ini:12: [platform] timeuot: unknown key; did you mean `timeout`?";
    duplicate_key: format!("{PLATFORM}\n; note\nhosts = 127.0.0.1:1\n") =>
        "r.ini:14: [platform] hosts: key already set at r.ini:11";
    missing_unit: format!("{PLATFORM}timeout = 500\n") =>
        "r.ini:12: [platform] timeout = \"500\": expected a duration of at least 1 ms with its \
         unit, such as 500 ms, 10 s, 5 min or 24 h";
    wrong_unit: format!("{PLATFORM}[limits]\nmax_header = 8 kB\n") =>
        "r.ini:13: [limits] max_header = \"8 kB\": expected a size with its unit, such as 512 B, \
         64 KiB or 1 MiB";
    host_name: "[platform]\nendpoints = localhost:1\nhosts = 127.0.0.1:1\n" =>
        "r.ini:10: [platform] endpoints = \"localhost:1\": expected IP numbers and ports, \
         separated by commas";
    misspelled_value: format!("{PLATFORM}[log]\nlevel = inof\n") =>
        "r.ini:13: [log] level = \"inof\": expected error, warn, info, debug or trace; did you \
         mean `info`?";
    no_pair: format!("{PLATFORM}timeout\n") =>
        "r.ini:12: expected `key = value`, a section header or a comment";
    every_fault_is_listed: "[platform]\nhosts = x\n[log]\nlvl = info\n" =>
        "r.ini:9: [platform] endpoints: key is missing, expected IP numbers and ports, separated \
         by commas\n\
         r.ini:10: [platform] hosts = \"x\": expected an IP number and port such as \
         10.0.0.1:8080\n\
         r.ini:12: [log] lvl: unknown key; did you mean `level`?";
}

#[test]
fn secret_is_kept_out_of_messages() {
    let text = format!("{ROUTER}{PLATFORM}").replace("correct-horse", "horse");
    let folder = Folder::with(&[("r.ini", &text)]);
    let err = load_router(&folder.path().join("r.ini"))
        .unwrap_err()
        .to_string();
    assert!(err.contains("peer_secret: expected at least 8"), "{err}");
    assert!(!err.contains("horse"), "{err}");
}
