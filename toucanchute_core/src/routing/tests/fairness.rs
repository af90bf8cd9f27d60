//! Fair sharing of one replica between customers.

use yare::parameterized;

use super::simulation::{assign, config};
use crate::routing::{Action, AttemptReport, Dispatcher, Event, fault::Fault};
use toucanchute_proto::{AttemptId, Incarnation, Millis};

/// Queues 50 calls of customer 0, then 10 of customer 1, and runs them one at a time. Returns how
/// many of the first 20 that started were customer 1's.
fn small_customers_share(fault: Option<Fault>, weight: u32) -> usize {
    let mut d = Dispatcher::new(Incarnation(1), "d0", 3);
    d.fault = fault;
    let mut out = Vec::new();
    let configure = Event::Configure {
        config: config(1, 1).into(),
        withdrawn: Default::default(),
    };
    d.handle(Millis(0), configure, &mut out);
    for call in 0..60 {
        let mut req = assign(call, u8::from(call >= 50), 100, Millis(1_000_000));
        req.weight = if call >= 50 { weight } else { 1 };
        d.handle(Millis(1), Event::Assign(req), &mut out);
    }
    let mut small = 0;
    for n in 0..20 {
        let Some(Action::Assigned { call, attempt, .. }) = out.pop() else {
            panic!("call {n} did not start");
        };
        small += usize::from(call >= 50);
        let attempt: AttemptId = attempt;
        let report = AttemptReport::Done { tokens: 100 };
        d.handle(Millis(2 + n), Event::Report { attempt, report }, &mut out);
    }
    small
}

#[parameterized(
    equal_weights = { 1, 9, 11 },
    small_weighs_half_of_it_more = { 2, 10, 10 },
)]
fn a_large_customer_does_not_starve_a_small_one(weight: u32, least: usize, most: usize) {
    let small = small_customers_share(None, weight);
    assert!((least..=most).contains(&small), "{small} of 20");
}

#[test]
fn unfair_service_is_detected() {
    let small = small_customers_share(Some(Fault::ServeUnfairly), 1);
    assert!(small < 9, "{small} of 20");
}
