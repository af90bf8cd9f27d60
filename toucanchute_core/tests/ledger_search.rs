//! Exhaustive search of the states of two small models: the ring of a shard's log, and the reclaim
//! of a grant.

use std::{
    collections::{HashSet, VecDeque, hash_map::DefaultHasher},
    fmt::Debug,
    hash::{Hash, Hasher},
};

#[path = "support/memory_store.rs"]
mod memory_store;
#[path = "ledger_search/reclaim.rs"]
mod reclaim;
#[path = "ledger_search/ring.rs"]
mod ring;

use reclaim::GrantState;
use ring::RingState;
use toucanchute_core::ledger::{DEFAULT_SNAPSHOT_CHUNK_BYTES, Fault};

/// A state of a model that is searched.
trait SearchState: Clone + Debug {
    /// Returns the states that one step leads to, or a description of a violated invariant.
    fn successors(&self) -> Result<Vec<Self>, String>;

    /// Returns a text by which equal states are recognized.
    fn fingerprint(&self) -> String {
        format!("{self:?}")
    }
}

/// Visits every reachable state, breadth first, and returns their number. Fails at the first
/// violated invariant, or if there are more than `max_states` states.
fn search<S: SearchState>(start: S, max_states: usize) -> Result<usize, String> {
    let mut seen = HashSet::from([digest(&start)]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        for next in state.successors()? {
            if seen.insert(digest(&next)) {
                queue.push_back(next);
            }
        }
        if seen.len() > max_states {
            return Err(format!("more than {max_states} states"));
        }
    }
    Ok(seen.len())
}

fn digest(state: &impl SearchState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.fingerprint().hash(&mut hasher);
    hasher.finish()
}

/// Limit of a search, greater than the number of states of any model.
const MAX_STATES: usize = 3_000_000;

macro_rules! ring {
    ($($name:ident: $batches:expr, $lost_answers:expr, $crashes:expr, $chunk_bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let states = search(RingState::new($batches, $lost_answers, $crashes, $chunk_bytes, None), MAX_STATES);
            println!("{}: {states:?} states", stringify!($name));
            assert!(states.unwrap() > 100);
        }
    )*};
}

ring! {
    two_writers_without_faults: [2, 2], 0, 0, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    two_writers_and_a_crash: [2, 1], 0, 1, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    two_writers_and_a_lost_answer: [2, 1], 1, 0, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    one_writer_and_two_lost_answers: [2, 0], 2, 0, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    two_writers_of_snapshots_in_two_chunks: [2, 1], 0, 0, 150;
}

#[test]
fn finds_a_skipped_ring_check() {
    let state = RingState::new(
        [1, 1],
        0,
        0,
        DEFAULT_SNAPSHOT_CHUNK_BYTES,
        Some(Fault::SkipRingCheck),
    );
    let found = search(state, MAX_STATES);
    println!("skipped ring check: {found:?}");
    assert!(found.is_err_and(|e| e.contains("due")));
}

macro_rules! reclaim {
    ($($name:ident: $witnesses:expr, $acks:expr;)*) => {$(
        #[test]
        fn $name() {
            let states = search(GrantState::new($witnesses, $acks, 0), MAX_STATES);
            println!("{}: {states:?} states", stringify!($name));
            assert!(states.unwrap() > 100);
        }
    )*};
}

reclaim! {
    reclaim_with_one_witness: 1, 1;
    reclaim_with_two_witnesses_of_which_one_acknowledges: 2, 1;
    reclaim_with_two_witnesses_that_both_acknowledge: 2, 2;
    reclaim_with_three_witnesses_of_which_two_acknowledge: 3, 2;
}

#[test]
fn finds_a_missing_fence() {
    let found = search(GrantState::new(3, 2, 1), MAX_STATES);
    println!("missing fence: {found:?}");
    assert!(found.is_err_and(|e| e.contains("closed")));
}
