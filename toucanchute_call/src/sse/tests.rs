use bytes::Bytes;
use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};

use super::{SseEvent, SseReader};

/// Fragments from which the tests build arbitrary streams.
const PIECES: [&[u8]; 12] = [
    b"data: ", b"data:", b"event: ", b":", b"\n", b"\r\n", b"\r", b"\n\n", b"[DONE]", b"{",
    b"\xff", b"x",
];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns all events of a stream that is passed to the reader in chunks split at `cuts`.
fn read(stream: &[u8], cuts: &[usize]) -> Vec<SseEvent> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (stream.len() + 1)).collect();
    cuts.extend([0, stream.len()]);
    cuts.sort_unstable();
    let mut reader = SseReader::default();
    let mut events = Vec::new();
    for pair in cuts.windows(2) {
        reader.push(&Bytes::copy_from_slice(&stream[pair[0]..pair[1]]));
        events.extend(std::iter::from_fn(|| reader.next_event()));
    }
    events
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        pieces in vec(select(&PIECES[..]), 0..30),
        cuts in vec(any::<usize>(), 0..8),
    ) {
        let stream = pieces.concat();
        prop_assert_eq!(read(&stream, &cuts), read(&stream, &[]));
    }

    #[test]
    fn events_are_read_back(datas in vec("[ -~]{0,20}", 0..8), cuts in vec(any::<usize>(), 0..8)) {
        let stream: String = datas.iter().map(|data| format!("data: {data}\n\n")).collect();
        let events = read(stream.as_bytes(), &cuts);
        let found: Vec<&[u8]> = events.iter().map(|e| e.data.as_slice()).collect();
        let expected: Vec<&[u8]> = datas.iter().map(String::as_bytes).collect();
        prop_assert_eq!(found, expected);
    }
}
