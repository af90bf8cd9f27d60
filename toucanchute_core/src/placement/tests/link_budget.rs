use std::collections::BTreeMap;

use toucanchute_proto::Millis;
use yare::parameterized;

use crate::placement::{LinkBudget, LinkRequest};

/// Bandwidth of the link, in kbit/s, and its bytes in a second.
const BANDWIDTH: u32 = 10_000;
const LINK_BYTES: u64 = 1_250_000;

/// Requests of one kind that come evenly.
#[derive(Clone, Copy)]
struct Stream {
    customer: &'static str,
    rank: u8,
    per_second: u64,
    bytes: u64,
}

/// Admitted and offered requests of each customer and rank.
type Served = BTreeMap<(&'static str, u8), (u64, u64)>;

/// Plays streams of requests for ten seconds; returns what was served and the bytes admitted in the
/// second with the most.
fn play(streams: &[Stream]) -> (Served, u64) {
    let mut link = LinkBudget::new(BANDWIDTH);
    let mut served = Served::new();
    let mut busiest = 0;
    for second in 0..10 {
        let mut admitted_bytes = 0;
        for ms in 0..1_000 {
            for s in streams.iter().filter(|s| is_due(s, ms)) {
                let req = LinkRequest {
                    customer: s.customer,
                    rank: s.rank,
                    bytes: s.bytes,
                };
                let counts = served.entry((s.customer, s.rank)).or_default();
                counts.1 += 1;
                if link.admit(Millis(second * 1_000 + ms), req).is_ok() {
                    counts.0 += 1;
                    admitted_bytes += s.bytes;
                }
            }
        }
        busiest = busiest.max(admitted_bytes);
    }
    (served, busiest)
}

fn is_due(s: &Stream, ms: u64) -> bool {
    (ms + 1) * s.per_second / 1_000 > ms * s.per_second / 1_000
}

fn share(served: &Served, customer: &'static str, rank: u8) -> f64 {
    let (admitted, offered) = served[&(customer, rank)];
    admitted as f64 / offered as f64
}

fn stream(customer: &'static str, rank: u8, per_second: u64) -> Stream {
    Stream {
        customer,
        rank,
        per_second,
        bytes: 7_000,
    }
}

#[test]
fn a_usual_load_is_admitted_whole() {
    let (served, _) = play(&[stream("a", 0, 40), stream("b", 2, 40)]);
    assert!(share(&served, "a", 0) >= 1.0);
    assert!(share(&served, "b", 2) >= 1.0);
}

/// Guards against a link that one customer's callers fill, so that tokens, news of peers and opening
/// packets wait behind their bytes.
#[parameterized(
    twice = { 300 },
    ten_times = { 1_500 },
)]
fn one_customer_on_one_host_does_not_fill_the_link(per_second: u64) {
    let (_, busiest) = play(&[stream("large", 0, per_second)]);
    // The second in which the full budget is used up has more than the others.
    assert!(busiest <= LINK_BYTES * 6 / 5, "{busiest} bytes");
}

/// Guards against a customer whose load takes a host from all others.
#[test]
fn one_customer_on_one_host_leaves_the_others_theirs() {
    let mut streams = vec![stream("large", 0, 400)];
    streams.extend(["b", "c", "d"].map(|name| stream(name, 1, 5)));
    let (served, _) = play(&streams);
    for name in ["b", "c", "d"] {
        assert!(share(&served, name, 1) >= 0.9, "{name}: {served:?}");
    }
}

/// Guards against urgent requests that are refused for less urgent ones.
#[test]
fn a_burst_of_the_least_urgent_kind_is_refused_first() {
    let (served, _) = play(&[stream("a", 0, 60), stream("a", 1, 60), stream("a", 2, 400)]);
    assert!(share(&served, "a", 0) >= 0.95, "{served:?}");
    assert!(
        share(&served, "a", 1) > share(&served, "a", 2),
        "{served:?}"
    );
}

/// Guards against news of peers that are not counted, so that the link is fuller than the budget shows.
#[test]
fn bytes_of_peers_leave_less_for_requests() {
    let mut link = LinkBudget::new(BANDWIDTH);
    let req = LinkRequest {
        customer: "a",
        rank: 0,
        bytes: 7_000,
    };
    assert!(link.admit(Millis(0), req).is_ok());
    link.draw(Millis(0), LINK_BYTES);
    assert!(link.admit(Millis(100), req).is_err());
}

#[test]
fn a_request_larger_than_the_budget_passes_when_nothing_else_does() {
    let mut link = LinkBudget::new(BANDWIDTH);
    let req = LinkRequest {
        customer: "a",
        rank: 2,
        bytes: 10 * LINK_BYTES,
    };
    assert!(link.admit(Millis(0), req).is_ok());
    assert!(link.admit(Millis(1_000), req).is_err());
}

/// Guards against callers who are all told to come back at the same moment.
#[test]
fn times_to_come_back_follow_the_bytes_that_were_promised() {
    let mut link = LinkBudget::new(BANDWIDTH);
    let req = LinkRequest {
        customer: "a",
        rank: 0,
        bytes: 50_000,
    };
    let waits = (0..40).filter_map(|_| link.admit(Millis(0), req).err());
    let waits: Vec<Millis> = waits.collect();
    assert!(waits.is_sorted());
    let (first, last) = (waits[0], waits[waits.len() - 1]);
    assert!(last >= first + Millis(500), "{first:?} to {last:?}");
}
