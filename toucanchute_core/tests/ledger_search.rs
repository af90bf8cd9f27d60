//! Exhaustive search of small worlds: the ring of a shard's log, and the reclaim of a grant.

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

use reclaim::GrantWorld;
use ring::RingWorld;
use toucanchute_core::ledger::{DEFAULT_SNAPSHOT_CHUNK_BYTES, Fault};

/// A world that a search walks through.
trait World: Clone + Debug {
    /// Returns the worlds that one move leads to, or what is wrong with one.
    fn next(&self) -> Result<Vec<Self>, String>;

    /// Returns a text by which equal worlds are recognized.
    fn key(&self) -> String {
        format!("{self:?}")
    }
}

/// Visits every world that can be reached, breadth first, and returns how many there are.
fn search<W: World>(start: W, most: usize) -> Result<usize, String> {
    let mut seen = HashSet::from([digest(&start)]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        for next in world.next()? {
            if seen.insert(digest(&next)) {
                queue.push_back(next);
            }
        }
        if seen.len() > most {
            return Err(format!("more than {most} states"));
        }
    }
    Ok(seen.len())
}

fn digest(world: &impl World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.key().hash(&mut hasher);
    hasher.finish()
}

/// More states than any of the worlds has.
const MOST_STATES: usize = 3_000_000;

macro_rules! ring {
    ($($name:ident: $batches:expr, $lost:expr, $crashes:expr, $part_bytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let states = search(RingWorld::new($batches, $lost, $crashes, $part_bytes, None), MOST_STATES);
            println!("{}: {states:?} states", stringify!($name));
            assert!(states.unwrap() > 100);
        }
    )*};
}

ring! {
    two_writers_without_faults: [2, 2], 0, 0, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    two_writers_and_a_crash: [2, 1], 0, 1, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    two_writers_and_a_lost_answer: [2, 1], 1, 0, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    a_writer_alone_and_two_lost_answers: [2, 0], 2, 0, DEFAULT_SNAPSHOT_CHUNK_BYTES;
    two_writers_of_snapshots_in_two_chunks: [2, 1], 0, 0, 150;
}

#[test]
fn finds_a_skipped_ring_check() {
    let world = RingWorld::new(
        [1, 1],
        0,
        0,
        DEFAULT_SNAPSHOT_CHUNK_BYTES,
        Some(Fault::SkipRingCheck),
    );
    let found = search(world, MOST_STATES);
    println!("skipped ring check: {found:?}");
    assert!(found.is_err_and(|e| e.contains("due")));
}

macro_rules! reclaim {
    ($($name:ident: $witnesses:expr, $acks:expr;)*) => {$(
        #[test]
        fn $name() {
            let states = search(GrantWorld::new($witnesses, $acks, 0), MOST_STATES);
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
fn finds_a_fence_too_few() {
    let found = search(GrantWorld::new(3, 2, 1), MOST_STATES);
    println!("a fence too few: {found:?}");
    assert!(found.is_err_and(|e| e.contains("closed")));
}
