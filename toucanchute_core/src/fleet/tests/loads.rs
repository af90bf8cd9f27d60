//! Load reports of backend servers on their way between routers.

use toucanchute_proto::{Millis, fleet::Load};
use yare::parameterized;

use super::hints::Ring;
use crate::fleet::Event;

/// Time in which most routers have to learn a report, in milliseconds.
const SPREAD_TIME: u64 = 1_000;

fn load(as_of: u64) -> Load {
    Load {
        backend: "b1".to_owned(),
        running: 3,
        waiting: 0,
        capacity: 16,
        kv_used: 0,
        polled: false,
        pace_percent: Some(250),
        token_time_us: None,
        as_of: Millis(as_of),
    }
}

// Guards against loads that only the router knows whose request was answered. A busy server answers several
// times a second, some router each time.
#[parameterized(
    routers_7 = { 7 },
    routers_30 = { 30 },
)]
fn nearly_all_routers_learn_the_load_of_a_busy_server_within_a_second(count: u64) {
    let mut ring = Ring::new(count);
    ring.run(1_000);
    for n in 0..5 {
        let router = (n * 11) % count;
        ring.handle(router as usize, Event::ShareLoad(load(1_000 + n * 200)));
        ring.run(200);
    }
    let informed = ring.informed.len() as u64;
    assert!(informed * 10 >= count * 9, "{informed} of {count}");
}

// Guards against reports that go round for ever and fill slow links.
#[test]
fn a_report_is_not_sent_for_longer_than_it_is_of_use() {
    let mut ring = Ring::new(30);
    ring.run(1_000);
    ring.handle(0, Event::ShareLoad(load(1_000)));
    ring.run(2 * SPREAD_TIME);
    ring.informed.clear();
    ring.run(5 * SPREAD_TIME);
    assert!(ring.informed.is_empty());
}

// Guards against an older report that replaces a newer one.
#[test]
fn an_older_report_is_dropped() {
    let mut ring = Ring::new(7);
    ring.run(1_000);
    ring.handle(0, Event::ShareLoad(load(1_000)));
    ring.run(200);
    ring.informed.clear();
    ring.handle(3, Event::ShareLoad(load(900)));
    ring.run(SPREAD_TIME);
    assert!(!ring.informed.contains(&0));
}
