use toucanchute_timeline::parse_line;
use yare::parameterized;

const HEAD: &str = "hlc=9.000a seq=3 process=router host=b-1 incarnation=7 level=warn event=e";

#[test]
fn pairs_become_fields() {
    let event = parse_line(&format!("{HEAD} a=1 b=\"two words\" c=\"\"")).unwrap();
    assert_eq!((event.millis(), event.seq), (9, 3));
    assert_eq!((event.level.as_str(), event.name.as_str()), ("warn", "e"));
    assert_eq!(event.process.to_string(), "b-1/router");
    assert_eq!(event.field("b"), Some("two words"));
    assert_eq!(event.field("c"), Some(""));
}

#[parameterized(
    empty = { "", "hlc is missing or invalid" },
    not_a_log_line = { "a panic message", "no key=value pair at column 1" },
    truncated_key = { "hlc=9.0 se", "no key=value pair at column 9" },
    truncated_quote = { "hlc=9.0 note=\"a b", "truncated line" },
    truncated_escape = { "hlc=9.0 note=\"a\\", "truncated line" },
    no_key = { "=x", "no key=value pair at column 1" },
    no_space_between_pairs = { "a=\"b\"c=d", "no key=value pair at column 1" },
    double_space = { "a=b  c=d", "no key=value pair at column 5" },
    bad_stamp = { "hlc=x.1 seq=1 process=p host=h event=e", "hlc is missing or invalid" },
    huge_stamp = { "hlc=18446744073709551615.0 seq=1 process=p host=h event=e", "hlc is missing" },
    bad_seq = { "hlc=1.1 seq=-1 process=p host=h event=e", "seq is missing or invalid" },
    no_event = { "hlc=1.1 seq=1 process=p host=h", "event is missing or invalid" },
)]
fn invalid_line(line: &str, expected: &str) {
    let err = parse_line(line).unwrap_err().to_string();
    assert!(err.starts_with(expected), "{err}");
}
