use std::fs;

use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};
use toucanchute_settings::{load_folder, load_router};

use crate::files::Folder;

/// Fragments of INI files that are joined into arbitrary input for the parser.
const FRAGMENTS: [&str; 24] = [
    "[router]",
    "[platform]",
    "[",
    "]",
    "[]",
    "\n",
    "\r\n",
    "\r",
    "=",
    ":",
    " ",
    "\t",
    ";",
    "#",
    "host",
    "listen",
    "timeout",
    "127.0.0.1:1",
    "\"",
    "'",
    "\\",
    "\u{feff}",
    "\u{0}",
    "é",
];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Loads `bytes` as a router's settings and as a configuration. Checks that both fail, that no
/// fault names a line beyond the end of the file (line 0 stands for the whole file), and that each
/// fault has a message.
fn check_fault_locations(bytes: &[u8]) {
    let folder = Folder::with(&[]);
    let path = folder.path().join("r.ini");
    fs::write(&path, bytes).unwrap();
    let lines = bytes.split(|&b| b == b'\n').count();
    let faults = [
        load_router(&path).map(|_| ()).unwrap_err().faults,
        load_folder(folder.path()).map(|_| ()).unwrap_err().faults,
    ];
    for fault in faults.iter().flatten() {
        assert!(fault.location.line <= lines, "{fault}");
        assert!(!fault.to_string().is_empty());
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_give_faults(bytes in vec(any::<u8>(), 0..200)) {
        check_fault_locations(&bytes);
    }

    #[test]
    fn arbitrary_pieces_give_faults(pieces in vec(select(&FRAGMENTS[..]), 0..40)) {
        check_fault_locations(pieces.concat().as_bytes());
    }
}
