//! PoolOrders to engines: load a model, change role.
//!
//! PoolOrders of one pool are sent by the holder of a lease in the platform's service and carry its
//! fencing number. An engine that checks the number refuses an older holder's order. Where engines
//! ignore it, a new holder first waits out the lease of the one before, so that an order which
//! that one still sends cannot arrive after its own.

use std::collections::VecDeque;

use toucanchute_proto::{Millis, config::Fencing};

#[cfg(test)]
mod tests;

/// Longest time that an order takes to arrive; a holder sends none when less of its lease is left.
pub const ORDER_TIMEOUT: Millis = Millis(2_000);

/// What happened, as told to [`PoolOrders`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Event {
    /// An operator or policy wants this order sent.
    OrderRequested(Order),
    /// The lease was granted or renewed.
    LeaseHeld(Lease),
    /// The lease is held by another router, or was lost.
    LeaseNotHeld,
    /// The order sent last was answered or timed out.
    OrderEnded(Outcome),
    /// Time passed.
    Tick,
}

/// What [`PoolOrders`] wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Get or renew the lease; ask again on each of these.
    AcquireLease,
    /// Send this order with this fencing number. Drop it if it cannot be sent at once.
    Send {
        /// The order.
        order: Order,
        /// Rises with each holder of the lease.
        fence: u64,
    },
    /// The order took effect or never will; tell who queue it.
    ReportOutcome {
        /// The order.
        order: Order,
        /// How it ended.
        outcome: Outcome,
    },
    /// Give the lease back: nothing is left to send and nothing is on its way.
    ReleaseLease,
}

/// One order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the backend server.
    pub backend: String,
    /// What it has to do.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: String,
}

/// What an engine has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Serve another model.
    ChangeRole,
}

/// A lease on the orders of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Rises with each holder.
    pub fence: u64,
    /// When the platform was asked; the lease counts from there.
    pub requested_at: Millis,
    /// Time to live.
    pub ttl: Millis,
    /// Time to live of the lease before, unless it was given back.
    pub previous_ttl: Option<Millis>,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The engine has seen a newer holder.
    OldFence,
    /// It failed or timed out; it may have taken effect.
    Failed,
}

/// Sends the orders of one pool, one at a time.
///
/// ```
/// use toucanchute_core::fleet::orders::{Action, Event, Lease, Order, OrderKind, PoolOrders};
/// use toucanchute_proto::{Millis, config::Fencing};
///
/// let mut orders = PoolOrders::new(Fencing::Checked);
/// let mut out = Vec::new();
/// let order = Order {
///     backend: "engine-1".to_owned(),
///     kind: OrderKind::LoadModel,
///     model: "gates".to_owned(),
/// };
/// orders.handle(Millis(0), Event::OrderRequested(order), &mut out);
/// assert_eq!(out, [Action::AcquireLease]);
/// let lease = Lease { fence: 3, requested_at: Millis(0), ttl: Millis(10_000), previous_ttl: None };
/// orders.handle(Millis(5), Event::LeaseHeld(lease), &mut out);
/// assert!(matches!(out[1], Action::Send { fence: 3, .. }));
/// ```
#[derive(Debug)]
pub struct PoolOrders {
    fencing: Fencing,
    queue: VecDeque<Order>,
    /// The order on its way, if any; it is none of `queue`.
    in_flight: Option<Order>,
    held_lease: Option<HeldLease>,
}

/// A lease and from when on it may be used.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: Lease,
    /// End of the wait for the holder before.
    usable_from: Millis,
}

impl PoolOrders {
    /// Creates the machine of a pool whose engines check fencing numbers or ignore them.
    #[must_use]
    pub fn new(fencing: Fencing) -> PoolOrders {
        PoolOrders {
            fencing,
            queue: VecDeque::new(),
            in_flight: None,
            held_lease: None,
        }
    }

    /// Takes in one event and pushes what has to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::OrderRequested(order) => self.queue.push_back(order),
            Event::LeaseHeld(lease) => self.handle_lease(now, lease),
            Event::LeaseNotHeld => self.held_lease = None,
            Event::OrderEnded(outcome) => self.finish_order(outcome, out),
            Event::Tick => {}
        }
        self.advance(now, out);
    }

    fn handle_lease(&mut self, now: Millis, lease: Lease) {
        let renewed = self.held_lease.filter(|h| h.lease.fence == lease.fence);
        let wait = match self.fencing {
            Fencing::Checked => Millis(0),
            Fencing::Ignored => lease
                .previous_ttl
                .map_or(Millis(0), |ttl| ttl + ORDER_TIMEOUT),
        };
        let usable_from = renewed.map_or(now + wait, |h| h.usable_from);
        self.held_lease = Some(HeldLease { lease, usable_from });
    }

    fn finish_order(&mut self, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(order) = self.in_flight.take() else {
            return;
        };
        if outcome == Outcome::OldFence {
            self.held_lease = None;
            self.queue.push_front(order);
        } else {
            out.push(Action::ReportOutcome { order, outcome });
        }
    }

    fn advance(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.in_flight.is_some() {
            return;
        }
        let Some(HeldLease { lease, usable_from }) = self.held_lease else {
            if !self.queue.is_empty() {
                out.push(Action::AcquireLease);
            }
            return;
        };
        if self.queue.is_empty() {
            self.held_lease = None;
            out.push(Action::ReleaseLease);
        } else if now + ORDER_TIMEOUT > lease.requested_at + lease.ttl {
            out.push(Action::AcquireLease);
        } else if now >= usable_from {
            self.send_next(lease.fence, out);
        }
    }

    fn send_next(&mut self, fence: u64, out: &mut Vec<Action>) {
        let Some(order) = self.queue.pop_front() else {
            return;
        };
        self.in_flight = Some(order.clone());
        out.push(Action::Send { order, fence });
    }
}
