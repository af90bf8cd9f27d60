use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};
use toucanchute_log::KeyValues;
use toucanchute_timeline::{Filter, Timeline, parse_line, to_html, to_text};

const HEAD: &str = "hlc=9.000a seq=3 process=router host=b-1 event=e ";

/// Fragments from which the tests build arbitrary input for the parser.
const PIECES: [&str; 14] = [
    HEAD,
    "hlc=",
    "1.f",
    "18446744073709551616.0",
    "seq=",
    " ",
    "=",
    "\"",
    "\\",
    "\n",
    "\r",
    "é",
    "\u{0}",
    "x",
];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Checks that no more events and skipped lines come out than there are lines, and that both output
/// formats accept the events.
fn check_line_count(bytes: &[u8]) {
    let mut timeline = Timeline::new();
    timeline.add("log", bytes);
    let events = timeline.events(&Filter::default());
    let lines = bytes.split(|&b| b == b'\n').count();
    assert!(events.len() + timeline.skipped().len() <= lines);
    assert!(timeline.skipped().iter().all(|s| s.line <= lines));
    let _ = (to_text(&events), to_html(&events));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_are_counted(bytes in vec(any::<u8>(), 0..200)) {
        check_line_count(&bytes);
    }

    #[test]
    fn arbitrary_pieces_are_counted(pieces in vec(select(&PIECES[..]), 0..20)) {
        check_line_count(pieces.concat().as_bytes());
    }

    #[test]
    fn written_values_are_read_back(value in "[ -~éñ\n]{0,40}") {
        let mut line = KeyValues::new();
        line.push("note", &value);
        let event = parse_line(&format!("{HEAD}{}", line.into_line())).unwrap();
        prop_assert_eq!(event.field("note"), Some(value.as_str()));
    }
}
