//! Two holders of a lease, one of which is paused, and an engine that checks fencing numbers or
//! ignores them.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::{Millis, config::Fencing};
use yare::parameterized;

use super::{Action, Event, Lease, ORDER_TIMEOUT, Order, OrderKind, Outcome, PoolOrders};

const TTL: Millis = Millis(10_000);

/// A deliberate fault of the simulation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A new holder is told that the previous lease was released although it was not.
    HidesPreviousLease,
}

/// Simulated platform, engine and two routers, both of which have orders to send.
struct World {
    now: Millis,
    rng: SmallRng,
    machines: [PoolOrders; 2],
    /// Until when each router is paused and handles no event of its own.
    paused: [Millis; 2],
    /// Holder and end of the lease by the platform's clock.
    holder: Option<(usize, Millis)>,
    fence: u64,
    released: bool,
    /// Orders in transit: time of arrival, sender and fencing number.
    in_transit: Vec<(Millis, usize, u64)>,
    engine: Fencing,
    /// Greatest fencing number of an order that took effect.
    newest: u64,
    effects: u32,
    /// Number of orders that took effect after one of a later holder.
    stale: u32,
    fault: Fault,
}

impl World {
    fn new(seed: u64, engine: Fencing, fault: Fault) -> World {
        World {
            now: Millis(0),
            rng: SmallRng::seed_from_u64(seed),
            machines: [PoolOrders::new(engine), PoolOrders::new(engine)],
            paused: [Millis(0); 2],
            holder: None,
            fence: 0,
            released: true,
            in_transit: Vec::new(),
            engine,
            newest: 0,
            effects: 0,
            stale: 0,
            fault,
        }
    }

    fn run(mut self) -> World {
        for _ in 0..4_000 {
            self.now = self.now + Millis(100);
            self.arrive();
            for i in 0..2 {
                if self.paused[i] > self.now {
                    continue;
                }
                if self.rng.random_ratio(1, 200) {
                    let span = self.rng.random_range(0..TTL.0 + 5_000);
                    self.paused[i] = self.now + Millis(span);
                }
                let event = match self.rng.random_ratio(1, 10) {
                    true => Event::OrderRequested(order()),
                    false => Event::Tick,
                };
                self.step(i, event);
            }
        }
        self
    }

    fn step(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        self.machines[i].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::AcquireLease => self.acquire(i),
                Action::Send { fence, .. } => {
                    // A pause may begin between the decision to send and the sending.
                    let left = self.paused[i].since(self.now).0.min(TTL.0);
                    let way = self.rng.random_range(0..ORDER_TIMEOUT.0);
                    self.in_transit
                        .push((self.now + Millis(left + way), i, fence));
                }
                Action::ReleaseLease if self.holder.is_some_and(|(h, _)| h == i) => {
                    self.holder = None;
                    self.released = true;
                }
                Action::ReleaseLease | Action::ReportOutcome { .. } => {}
            }
        }
    }

    fn acquire(&mut self, i: usize) {
        let free = self.holder.is_none_or(|(h, end)| h == i || end <= self.now);
        if !free {
            return;
        }
        let renewed = self.holder.is_some_and(|(h, end)| h == i && end > self.now);
        let hidden = self.released || self.fault == Fault::HidesPreviousLease;
        let previous_ttl = (!renewed && !hidden).then_some(TTL);
        if !renewed {
            self.fence += 1;
        }
        self.released = false;
        self.holder = Some((i, self.now + TTL));
        let lease = Lease {
            fence: self.fence,
            requested_at: self.now,
            ttl: TTL,
            previous_ttl,
        };
        self.step(i, Event::LeaseHeld(lease));
    }

    fn arrive(&mut self) {
        let (arrived, in_transit) = self.in_transit.iter().partition(|(at, ..)| *at <= self.now);
        self.in_transit = in_transit;
        let arrived: Vec<(Millis, usize, u64)> = arrived;
        for (_, sender, fence) in arrived {
            let old = fence < self.newest;
            let refused = old && self.engine == Fencing::Checked;
            if !refused {
                self.effects += 1;
                self.stale += u32::from(old);
                self.newest = self.newest.max(fence);
            }
            let outcome = if refused {
                Outcome::OldFence
            } else {
                Outcome::Done
            };
            self.step(sender, Event::OrderEnded(outcome));
        }
    }
}

fn order() -> Order {
    Order {
        backend: "b".to_owned(),
        kind: OrderKind::LoadModel,
        model: "m".to_owned(),
    }
}

fn total(engine: Fencing, fault: Fault) -> (u32, u32) {
    let worlds = (1..=30).map(|seed| World::new(seed, engine, fault).run());
    worlds.fold((0, 0), |(n, stale), w| (n + w.effects, stale + w.stale))
}

#[parameterized(
    checked = { Fencing::Checked },
    ignored = { Fencing::Ignored },
)]
fn no_order_of_an_earlier_holder_takes_effect_last(engine: Fencing) {
    let (effects, stale) = total(engine, Fault::None);
    println!("seeds=1..=30 effects={effects} stale={stale}");
    assert!(effects > 1_000);
    assert_eq!(stale, 0);
}

#[test]
fn an_engine_that_ignores_fencing_numbers_requires_the_wait() {
    let (_, stale) = total(Fencing::Ignored, Fault::HidesPreviousLease);
    assert!(stale > 0);
}
