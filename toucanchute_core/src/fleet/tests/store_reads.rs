//! Few routers read the store for the whole fleet. The others read it when their view gets too old.

use std::sync::Arc;

use toucanchute_proto::{
    Digest, Millis,
    config::Config,
    fleet::{FoundBody, Member, MemberState},
};

use super::peers::{linked, member};
use crate::fleet::{Event, Fleet, StoreReadMode};

/// Age of a view above which a router reads the store for itself, in milliseconds.
const MAX_VIEW_AGE: u64 = 1_400;

/// Time in milliseconds by which no router waits for its peers any more after a start.
const STARTED: u64 = 2_000;

fn outage_member(i: u64) -> Member {
    Member {
        update: 1,
        outage: true,
        ..member(i)
    }
}

/// Returns router `i` of a fleet of `fleet` routers, with links to all others.
fn router(i: u64, fleet: u64) -> Fleet {
    linked(i, (1..=fleet).filter(|&o| o != i), Millis(MAX_VIEW_AGE))
}

fn handle(router: &mut Fleet, now: u64, event: Event) {
    router.handle(Millis(now), event, &mut Vec::new());
}

/// Lets a router's own read of the store succeed.
fn read(router: &mut Fleet, now: u64) {
    let requested_at = Millis(now);
    let config = Arc::new(Config {
        version: 1,
        ..Config::default()
    });
    let digest = Digest(1);
    handle(router, now, Event::Config { config, digest });
    let version = 1;
    handle(
        router,
        now,
        Event::ConfigHead {
            version,
            digest,
            requested_at,
        },
    );
    let body = FoundBody {
        revision: 1,
        since: None,
        entries: Vec::new(),
    };
    handle(router, now, Event::Registrations { body, requested_at });
}

fn readers(fleet: u64, now: u64) -> Vec<u64> {
    let reads = |&i: &u64| {
        let mut router = router(i, fleet);
        read(&mut router, now);
        router.store_read_mode(Millis(now)) != StoreReadMode::None
    };
    (1..=fleet).filter(reads).collect()
}

macro_rules! two_routers_read {
    ($($name:ident: $fleet:expr;)*) => {$(
        #[test]
        fn $name() {
            let readers = readers($fleet, STARTED);
            assert_eq!(readers.len(), 2, "{readers:?}");
            assert_ne!(readers[0] % 3, readers[1] % 3, "one failure domain");
        }
    )*};
}

two_routers_read! {
    two_of_seven_routers_read: 7;
    two_of_a_hundred_routers_read: 100;
}

#[test]
fn a_single_router_reads() {
    assert_eq!(readers(1, STARTED), [1]);
}

#[test]
fn most_starting_routers_wait_for_their_peers() {
    let at_once = |fleet| {
        let reads = |&i: &u64| router(i, fleet).store_read_mode(Millis(100)) != StoreReadMode::None;
        (1..=fleet).filter(reads).count()
    };
    assert!(at_once(200) < 40);
    assert_eq!(at_once(1), 1);
    assert_ne!(
        router(1, 7).store_read_mode(Millis(STARTED)),
        StoreReadMode::None
    );
}

/// Returns a router that does not read the store and one that does.
fn non_reader_and_reader() -> (u64, u64) {
    let readers = readers(7, STARTED);
    let other = (1..=7).find(|i| !readers.contains(i)).unwrap();
    (other, readers[0])
}

#[test]
fn a_router_with_a_stale_view_reads_for_itself() {
    let (other, _) = non_reader_and_reader();
    let mut router = router(other, 7);
    read(&mut router, STARTED);
    let at = |after: u64| Millis(STARTED + after);
    assert_eq!(
        router.store_read_mode(at(MAX_VIEW_AGE * 4 / 5)),
        StoreReadMode::None
    );
    assert_eq!(
        router.store_read_mode(at(MAX_VIEW_AGE + 1)),
        StoreReadMode::Own
    );
    read(&mut router, STARTED + MAX_VIEW_AGE + 10);
    assert_eq!(
        router.store_read_mode(at(MAX_VIEW_AGE + 20)),
        StoreReadMode::None
    );
}

#[test]
fn a_router_whose_read_failed_reads_until_one_succeeds() {
    let (other, _) = non_reader_and_reader();
    let mut router = router(other, 7);
    read(&mut router, STARTED);
    handle(&mut router, STARTED, Event::PlatformDown);
    assert_eq!(router.store_read_mode(Millis(STARTED)), StoreReadMode::Own);
    read(&mut router, STARTED + 100);
    assert_eq!(
        router.store_read_mode(Millis(STARTED + 100)),
        StoreReadMode::None
    );
}

/// Another router replaces a reader that cannot reach the store or does not acknowledge pings.
#[test]
fn a_reader_that_cannot_read_is_replaced() {
    let (_, reader) = non_reader_and_reader();
    for state in [MemberState::Alive, MemberState::Suspect, MemberState::Gone] {
        let lost = Member {
            state,
            update: 9,
            ..outage_member(reader)
        };
        let reads = |&i: &u64| {
            let mut router = router(i, 7);
            read(&mut router, STARTED);
            router.merge_member(Millis(STARTED), &lost);
            router.store_read_mode(Millis(STARTED)) == StoreReadMode::Chosen
        };
        let readers: Vec<_> = (1..=7).filter(|&i| i != reader).filter(reads).collect();
        assert_eq!(readers.len(), 2, "{state:?}: {readers:?}");
    }
}

/// If no router reaches the store, only few continue to call it often.
#[test]
fn few_routers_read_often_in_an_outage_of_the_whole_fleet() {
    let often = |&i: &u64| {
        let mut router = router(i, 100);
        read(&mut router, STARTED);
        handle(&mut router, STARTED, Event::PlatformDown);
        for other in (1..=100).filter(|&o| o != i) {
            router.merge_member(Millis(STARTED), &outage_member(other));
        }
        assert_ne!(router.store_read_mode(Millis(STARTED)), StoreReadMode::None);
        router.store_read_mode(Millis(STARTED)) == StoreReadMode::Chosen
    };
    assert_eq!((1..=100).filter(often).count(), 2);
}
