use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde_json::json;
use tokio::sync::oneshot;
use toucanchute_core::fleet::orders::{
    Action, Event, Lease, Order, OrderKind, Outcome, PoolOrders,
};
use toucanchute_proto::config::{Config, Fencing};
use xtra::prelude::*;

use super::post;
use crate::{clock, http_client::HttpClient, keyvalue::LeaseStore, view::RouterView};

/// Runs the [`PoolOrders`] machines of this router, which send orders to engines. There is one
/// machine for each pool for which this router received an order.
#[derive(xtra::Actor)]
pub(crate) struct OrdersActor {
    /// Pools by name.
    pools: BTreeMap<String, PoolState>,
    view: Arc<RouterView>,
    leases: LeaseStore,
    http: HttpClient,
    actions: Vec<Action>,
}

struct PoolState {
    machine: PoolOrders,
    /// Whether a call for the lease is in progress. There is at most one at a time.
    acquiring_lease: bool,
    /// Orders that have not ended, and the receivers of their outcomes.
    pending_orders: Vec<(Order, oneshot::Sender<Result<Outcome, OrderError>>)>,
}

/// Why an order cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderError {
    /// The configuration in force does not have the backend server or its pool.
    UnknownBackend,
}

/// Submits an order to an engine.
pub(crate) struct SubmitOrder {
    /// The order to send.
    pub(crate) order: Order,
    /// Receives the outcome of the order.
    pub(crate) reply: oneshot::Sender<Result<Outcome, OrderError>>,
}

/// Input of an [`OrdersActor`] other than new orders.
pub(crate) enum OrdersInput {
    /// The call for the lease of the pool of this name ended; `None` if the lease is not held.
    Lease(String, Option<Lease>),
    /// An order for the pool of this name ended with this outcome.
    Ended(String, Outcome),
    /// Time has passed. Sent about every 500 ms.
    Tick,
}

impl OrdersActor {
    /// Creates the actor without orders.
    pub(crate) fn new(view: Arc<RouterView>, leases: LeaseStore, http: HttpClient) -> OrdersActor {
        OrdersActor {
            pools: BTreeMap::new(),
            view,
            leases,
            http,
            actions: Vec::new(),
        }
    }

    fn feed(&mut self, pool_name: &str, event: Event, cx: &Context<Self>) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let now = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        pool.machine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(pool_name, action, cx);
        }
        self.actions = actions;
    }

    fn perform(&mut self, pool_name: &str, action: Action, cx: &Context<Self>) {
        match action {
            Action::AcquireLease => self.acquire_lease(pool_name, cx),
            Action::ReleaseLease => {
                let (leases, pool) = (self.leases.clone(), pool_name.to_owned());
                tokio::spawn(async move { drop(leases.release(&pool).await) });
            }
            Action::Send { order, fence } => self.send_order(pool_name, order, fence, cx),
            Action::ReportOutcome { order, outcome } => self.end_order(pool_name, &order, outcome),
            _ => {}
        }
    }

    fn acquire_lease(&mut self, pool_name: &str, cx: &Context<Self>) {
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        if pool.acquiring_lease {
            return;
        }
        pool.acquiring_lease = true;
        let (leases, pool_name) = (self.leases.clone(), pool_name.to_owned());
        let weak_self = cx.mailbox().address();
        tokio::spawn(async move {
            let lease = leases.acquire(&pool_name).await;
            if let Err(e) = &lease {
                log::warn!(pool = pool_name, error:% = e; "orders-lease-not-held");
            }
            if let Some(actor) = weak_self.try_upgrade() {
                post(&actor, OrdersInput::Lease(pool_name, lease.ok()));
            }
        });
    }

    fn send_order(&self, pool_name: &str, order: Order, fence: u64, cx: &Context<Self>) {
        let address = backend_address(&self.view.config(), &order.backend);
        let (http, pool_name) = (self.http.clone(), pool_name.to_owned());
        let weak_self = cx.mailbox().address();
        log::info!(backend = order.backend, model = order.model, fence = fence; "order-sent");
        tokio::spawn(async move {
            let outcome = match address {
                Some(address) => post_order(&http, address, &order, fence).await,
                None => Outcome::Failed,
            };
            if let Some(actor) = weak_self.try_upgrade() {
                post(&actor, OrdersInput::Ended(pool_name, outcome));
            }
        });
    }

    fn end_order(&mut self, pool_name: &str, order: &Order, outcome: Outcome) {
        log::info!(backend = order.backend, model = order.model, answer:? = outcome; "order-ended");
        let Some(pool) = self.pools.get_mut(pool_name) else {
            return;
        };
        let position = pool
            .pending_orders
            .iter()
            .position(|(pending, _)| pending == order);
        if let Some(position) = position {
            let (_, reply) = pool.pending_orders.remove(position);
            let _ = reply.send(Ok(outcome));
        }
    }
}

impl Handler<SubmitOrder> for OrdersActor {
    type Return = ();

    async fn handle(&mut self, message: SubmitOrder, cx: &mut Context<Self>) {
        let SubmitOrder { order, reply } = message;
        let config = self.view.config();
        let backend = config.backends.iter().find(|b| b.name == order.backend);
        let pool = backend.and_then(|b| config.pools.iter().find(|p| p.name == b.pool));
        let Some(pool) = pool else {
            let _ = reply.send(Err(OrderError::UnknownBackend));
            return;
        };
        let entry = self.pools.entry(pool.name.clone());
        let entry = entry.or_insert_with(|| PoolState {
            machine: PoolOrders::new(pool.fencing.unwrap_or(Fencing::Ignored)),
            acquiring_lease: false,
            pending_orders: Vec::new(),
        });
        entry.pending_orders.push((order.clone(), reply));
        self.feed(&pool.name, Event::OrderRequested(order), cx);
    }
}

impl Handler<OrdersInput> for OrdersActor {
    type Return = ();

    async fn handle(&mut self, input: OrdersInput, cx: &mut Context<Self>) {
        match input {
            OrdersInput::Lease(pool_name, lease) => {
                if let Some(pool) = self.pools.get_mut(&pool_name) {
                    pool.acquiring_lease = false;
                }
                // After a failure the lease is requested again only at the next tick, so that a failing
                // platform is not flooded with calls.
                if let Some(lease) = lease {
                    self.feed(&pool_name, Event::LeaseHeld(lease), cx);
                }
            }
            OrdersInput::Ended(name, outcome) => self.feed(&name, Event::OrderEnded(outcome), cx),
            OrdersInput::Tick => {
                for pool_name in self.pools.keys().cloned().collect::<Vec<_>>() {
                    self.feed(&pool_name, Event::Tick, cx);
                }
            }
        }
    }
}

async fn post_order(http: &HttpClient, address: SocketAddr, order: &Order, fence: u64) -> Outcome {
    let kind = match order.kind {
        OrderKind::LoadModel => "load-model",
        OrderKind::ChangeRole => "change-role",
    };
    let body = json!({"kind": kind, "model": order.model, "fence": fence});
    match http.post_json(address, "/v1/orders", &body).await {
        Ok(status) if status.is_success() => Outcome::Done,
        Ok(http::StatusCode::CONFLICT) => Outcome::OldFence,
        _ => Outcome::Failed,
    }
}

fn backend_address(config: &Config, backend: &str) -> Option<SocketAddr> {
    let found = config.backends.iter().find(|b| b.name == backend);
    found.and_then(|b| b.address.parse().ok())
}
