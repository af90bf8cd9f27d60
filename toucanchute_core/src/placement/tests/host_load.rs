use toucanchute_proto::Millis;
use yare::parameterized;

use crate::placement::{FULL_SHARE, HostCapacity, HostLoad, HostUse};

/// Bytes that the link carries in a millisecond.
const LINK_BYTES_PER_MS: f64 = 1_250.0;

const STEP: Millis = Millis(50);

/// A host of 10 Mbit/s that is measured every [`STEP`].
struct Host {
    load: HostLoad,
    now: Millis,
    /// Shares that it reported, by the time.
    reports: Vec<(Millis, u8)>,
}

impl Host {
    fn new() -> Host {
        let capacity = HostCapacity {
            processor: 120,
            bandwidth: 10_000,
        };
        Host {
            load: HostLoad::new(capacity),
            now: Millis(1_000),
            reports: Vec::new(),
        }
    }

    /// Lets `span` pass with a use of the link, as a share of its bandwidth, and late timers.
    fn run(&mut self, span: Millis, link: f64, timer_delay: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let used = HostUse {
                link_bytes: (LINK_BYTES_PER_MS * STEP.0 as f64 * link) as u64,
                timer_delay,
                refused: false,
            };
            let share = self.load.record(self.now, used);
            self.reports.extend(share.map(|share| (self.now, share)));
        }
    }

    /// Returns the share that callers follow, who learned it `late` after the host reported it.
    fn share_known(&self, late: Millis) -> u8 {
        let known = self.reports.iter().rev();
        let known = known.map(|&(at, share)| (at + late, share));
        known
            .into_iter()
            .find(|&(at, _)| at <= self.now)
            .map_or(FULL_SHARE, |(_, share)| share)
    }
}

#[parameterized(
    idle = { 0.0, 0, FULL_SHARE },
    usual = { 0.7, 5, FULL_SHARE },
    full_link = { 0.95, 0, FULL_SHARE / 2 },
    processor_without_time = { 0.0, 300, FULL_SHARE / 2 },
)]
fn two_seconds_of_steady_use_give_a_share(link: f64, timer_delay_ms: u64, expected: u8) {
    let mut host = Host::new();
    host.run(Millis(2_500), link, Millis(timer_delay_ms));
    assert_eq!(host.load.share(), expected);
}

/// Guards against a host that leaves the lists altogether, and with it all callers who share it.
#[test]
fn a_choked_host_keeps_a_part_of_the_lists() {
    let mut host = Host::new();
    host.run(Millis(60_000), 1.0, Millis(0));
    assert_eq!(host.load.share(), 1);
}

/// Guards against a choked host that is named again at once, gets all callers back and chokes again.
#[test]
fn a_choked_host_comes_back_in_steps() {
    let mut host = Host::new();
    host.run(Millis(60_000), 1.0, Millis(0));
    host.run(Millis(1_900), 0.0, Millis(0));
    assert_eq!(host.load.share(), 1);
    host.run(Millis(8_000), 0.0, Millis(0));
    assert!(host.load.share() <= 3);
    host.run(Millis(30_000), 0.0, Millis(0));
    assert_eq!(host.load.share(), FULL_SHARE);
}

/// Guards against callers who move back and forth: at a load of 1.4 links that follows the share late, the
/// host settles at a half and stays there.
#[parameterized(
    at_once = { 0 },
    two_seconds_late = { 2_000 },
    lists_kept_three_times_as_long = { 6_000 },
)]
fn a_load_that_follows_the_lists_settles(late_ms: u64) {
    let mut host = Host::new();
    for _ in 0..800 {
        let share = f64::from(host.share_known(Millis(late_ms)));
        host.run(
            STEP,
            (1.4 * share / f64::from(FULL_SHARE)).min(1.0),
            Millis(0),
        );
    }
    let settled = Millis(21_000);
    let later = host.reports.iter().filter(|(at, _)| *at > settled);
    assert!(later.count() <= 2, "{:?}", host.reports);
    assert!((2..=5).contains(&host.load.share()), "{:?}", host.reports);
}

/// Guards against one customer's callers that stay on a full host because its readiness check is good, and
/// against a check that is good again before the queues are empty.
#[test]
fn a_full_host_is_relieved_until_its_queues_are_empty() {
    let mut host = Host::new();
    host.run(Millis(2_000), 0.9, Millis(0));
    assert!(host.load.is_relieved());
    host.run(Millis(2_000), 0.4, Millis(0));
    assert!(host.load.is_relieved());
    host.run(Millis(2_000), 0.1, Millis(0));
    assert!(!host.load.is_relieved());
}

#[test]
fn a_refusal_counts_as_choked() {
    let mut host = Host::new();
    host.run(Millis(1_000), 0.1, Millis(0));
    let used = HostUse {
        refused: true,
        ..HostUse::default()
    };
    let share = host.load.record(host.now + STEP, used);
    assert_eq!(share, Some(FULL_SHARE / 2));
}

/// A suspended process wakes with one very late timer, which says nothing about its load.
#[test]
fn a_suspension_does_not_choke_a_host() {
    let mut host = Host::new();
    host.run(Millis(1_000), 0.1, Millis(0));
    host.run(STEP, 0.1, Millis(30_000));
    assert_eq!(host.load.share(), FULL_SHARE);
}

#[test]
fn an_unknown_bandwidth_leaves_the_processor_to_decide() {
    let mut load = HostLoad::new(HostCapacity::default());
    let used = HostUse {
        link_bytes: u64::MAX,
        ..HostUse::default()
    };
    load.record(Millis(0), used);
    load.record(Millis(1_000), used);
    assert_eq!(load.share(), FULL_SHARE);
}
