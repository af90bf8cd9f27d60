use yare::parameterized;

use crate::binary::{stderr, stdout, toucanctl};

#[parameterized(
    portones = { "portones", 13, 10 },
    glatteis = { "glatteis", 15, 10 },
)]
fn examples_are_sound(folder: &str, backends: u64, customers: u64) {
    let output = toucanctl(&["check", folder, "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let checked: serde_json::Value = serde_json::from_str(stdout(&output)).unwrap();
    assert_eq!(checked["site"], folder);
    assert_eq!(checked["backends"], backends);
    assert_eq!(checked["customers"], customers);
}

#[parameterized(
    portones = { "portones/routers/bilbao-1.ini" },
    glatteis = { "glatteis/routers/alpen-c-2.ini" },
)]
fn example_settings_are_sound(file: &str) {
    let output = toucanctl(&["check", "--settings", file]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}

#[parameterized(
    no_command = { &[], "Usage" },
    unknown_command = { &["chek"], "check" },
    missing_folder = { &["check", "nowhere"], "nowhere: cannot be read" },
    settings_as_folder = { &["check", "portones/routers"], "[router] unknown section" },
    bad_tokens = { &["top-up", "b", "0", "--id", "x", "--router", "127.0.0.1:1"], "0 is not in" },
    host_name = { &["status", "--router", "localhost:1"], "invalid socket address" },
    missing_id = { &["top-up", "b", "5", "--router", "127.0.0.1:1"], "--id" },
)]
fn bad_usage_exits_with_2(args: &[&str], expected: &str) {
    let output = toucanctl(args);
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains(expected), "{}", stderr(&output));
}

#[test]
fn diff_lists_sections_and_values() {
    let output = toucanctl(&["diff", "portones", "glatteis"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let text = stdout(&output);
    for line in [
        "~ [site] name: portones -> glatteis",
        "- [budget dispatch]",
        "+ [model hazard-tag]",
        "~ [ledger] grant_horizon_ms: 600000 -> 900000",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in\n{text}");
    }
}

#[test]
fn unreachable_router_exits_with_3() {
    let output = toucanctl(&["status", "--router", "127.0.0.1:1,127.0.0.2:1"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("127.0.0.2:1: cannot connect"));
}
