//! Orders to engines: to load a model or to change role.
//!
//! The orders of one pool are sent by the router that holds a lease in the platform's service, and
//! carry the fencing number of this lease. Engines that check the number refuse orders of earlier
//! holders. If engines ignore it, a new holder first waits until the previous lease has expired and
//! the previous holder's last order has arrived, so that no earlier order can follow its own.

use std::collections::VecDeque;

use toucanchute_proto::{Millis, config::Fencing};

#[cfg(test)]
mod tests;

/// Longest time that an order takes to arrive. A holder sends no order if less than this is left of
/// its lease.
pub const ORDER_TIMEOUT: Millis = Millis(2_000);

/// Input of [`PoolOrders`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Event {
    /// An operator or a policy requested this order.
    OrderRequested(Order),
    /// The lease was granted or renewed.
    LeaseHeld(Lease),
    /// The lease was lost or is held by another router.
    LeaseNotHeld,
    /// The engine answered the last order, or the order timed out.
    OrderEnded(Outcome),
    /// Time passed.
    Tick,
}

/// Output of [`PoolOrders`]: what its caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Action {
    /// Acquire or renew the lease. Each of these actions requires a new attempt.
    AcquireLease,
    /// Send this order with this fencing number. Drop it if it cannot be sent immediately.
    Send {
        /// The order.
        order: Order,
        /// Fencing number of the lease.
        fence: u64,
    },
    /// Report the order's outcome to whoever requested it. The order is not sent again.
    ReportOutcome {
        /// The order.
        order: Order,
        /// Its outcome.
        outcome: Outcome,
    },
    /// Release the lease, because no order is queued or in flight.
    ReleaseLease,
}

/// One order to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Name of the backend server.
    pub backend: String,
    /// What the engine has to do.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: String,
}

/// Kind of an order.
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
    /// Fencing number; it rises with each new holder.
    pub fence: u64,
    /// When the lease was requested; its time to live counts from then.
    pub requested_at: Millis,
    /// Time to live.
    pub ttl: Millis,
    /// Time to live of the previous holder's lease, unless that was released.
    pub previous_ttl: Option<Millis>,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The engine refused it because it has received an order of a later holder.
    OldFence,
    /// It failed or timed out, and may have taken effect.
    Failed,
}

/// State machine that sends the orders of one pool, one at a time.
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
/// let lease = Lease {
///     fence: 3,
///     requested_at: Millis(0),
///     ttl: Millis(10_000),
///     previous_ttl: None,
/// };
/// orders.handle(Millis(5), Event::LeaseHeld(lease), &mut out);
/// assert!(matches!(out[1], Action::Send { fence: 3, .. }));
/// ```
#[derive(Debug)]
pub struct PoolOrders {
    fencing: Fencing,
    queue: VecDeque<Order>,
    /// The order that is being sent, if any; it is no longer in `queue`.
    in_flight: Option<Order>,
    held_lease: Option<HeldLease>,
}

/// A lease that this router holds, and from when on it may be used.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: Lease,
    /// End of the wait for the previous holder's lease and orders.
    usable_from: Millis,
}

impl PoolOrders {
    /// Creates the state machine of a pool. `fencing` tells whether its engines check fencing
    /// numbers.
    #[must_use]
    pub fn new(fencing: Fencing) -> PoolOrders {
        PoolOrders {
            fencing,
            queue: VecDeque::new(),
            in_flight: None,
            held_lease: None,
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
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
