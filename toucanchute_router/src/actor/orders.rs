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

/// Owns the [`PoolOrders`] of this router, one for each pool that it has orders for.
#[derive(xtra::Actor)]
pub(crate) struct OrdersActor {
    machines: BTreeMap<String, Pool>,
    view: Arc<RouterView>,
    leases: LeaseStore,
    http: HttpClient,
    actions: Vec<Action>,
}

struct Pool {
    machine: PoolOrders,
    /// Whether a call for the lease is under way; never two.
    acquiring: bool,
    /// Operators that wait for the end of an order.
    waiting: Vec<(Order, oneshot::Sender<Result<Outcome, OrderError>>)>,
}

/// An order that cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderError {
    /// The configuration in force has no such backend server.
    UnknownBackend,
}

/// Asks for an order to be sent.
pub(crate) struct WantOrder {
    /// The order.
    pub(crate) order: Order,
    /// Where the answer goes.
    pub(crate) reply: oneshot::Sender<Result<Outcome, OrderError>>,
}

/// Input other than new orders.
pub(crate) enum OrdersInput {
    /// The call for a pool's lease ended; `None` if it is not held.
    Lease(String, Option<Lease>),
    /// An engine answered an order of a pool.
    Answered(String, Outcome),
    /// Time passed.
    Tick,
}

impl OrdersActor {
    /// Creates the actor.
    pub(crate) fn new(view: Arc<RouterView>, leases: LeaseStore, http: HttpClient) -> OrdersActor {
        OrdersActor {
            machines: BTreeMap::new(),
            view,
            leases,
            http,
            actions: Vec::new(),
        }
    }

    fn feed(&mut self, name: &str, event: Event, cx: &Context<Self>) {
        let Some(pool) = self.machines.get_mut(name) else {
            return;
        };
        let now = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        pool.machine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(name, action, cx);
        }
        self.actions = actions;
    }

    fn perform(&mut self, name: &str, action: Action, cx: &Context<Self>) {
        match action {
            Action::AcquireLease => self.acquire(name, cx),
            Action::ReleaseLease => {
                let (leases, pool) = (self.leases.clone(), name.to_owned());
                tokio::spawn(async move { drop(leases.release(&pool).await) });
            }
            Action::Send { order, fence } => self.send(name, order, fence, cx),
            Action::ReportOutcome { order, outcome } => self.end(name, &order, outcome),
            _ => {}
        }
    }

    fn acquire(&mut self, name: &str, cx: &Context<Self>) {
        let Some(pool) = self.machines.get_mut(name) else {
            return;
        };
        if pool.acquiring {
            return;
        }
        pool.acquiring = true;
        let (leases, name) = (self.leases.clone(), name.to_owned());
        let own = cx.mailbox().address();
        tokio::spawn(async move {
            let lease = leases.acquire(&name).await;
            if let Err(e) = &lease {
                log::warn!(pool = name, error:% = e; "orders-lease-not-held");
            }
            if let Some(own) = own.try_upgrade() {
                post(&own, OrdersInput::Lease(name, lease.ok()));
            }
        });
    }

    fn send(&self, name: &str, order: Order, fence: u64, cx: &Context<Self>) {
        let address = address(&self.view.config(), &order.backend);
        let (http, name) = (self.http.clone(), name.to_owned());
        let own = cx.mailbox().address();
        log::info!(backend = order.backend, model = order.model, fence = fence; "order-sent");
        tokio::spawn(async move {
            let answer = match address {
                Some(address) => send_order(&http, address, &order, fence).await,
                None => Outcome::Failed,
            };
            if let Some(own) = own.try_upgrade() {
                post(&own, OrdersInput::Answered(name, answer));
            }
        });
    }

    fn end(&mut self, name: &str, order: &Order, answer: Outcome) {
        log::info!(backend = order.backend, model = order.model, answer:? = answer; "order-ended");
        let Some(pool) = self.machines.get_mut(name) else {
            return;
        };
        let found = pool.waiting.iter().position(|(wanted, _)| wanted == order);
        if let Some(found) = found {
            let (_, reply) = pool.waiting.remove(found);
            let _ = reply.send(Ok(answer));
        }
    }
}

impl Handler<WantOrder> for OrdersActor {
    type Return = ();

    async fn handle(&mut self, message: WantOrder, cx: &mut Context<Self>) {
        let WantOrder { order, reply } = message;
        let config = self.view.config();
        let backend = config.backends.iter().find(|b| b.name == order.backend);
        let pool = backend.and_then(|b| config.pools.iter().find(|p| p.name == b.pool));
        let Some(pool) = pool else {
            let _ = reply.send(Err(OrderError::UnknownBackend));
            return;
        };
        let entry = self.machines.entry(pool.name.clone());
        let entry = entry.or_insert_with(|| Pool {
            machine: PoolOrders::new(pool.fencing.unwrap_or(Fencing::Ignored)),
            acquiring: false,
            waiting: Vec::new(),
        });
        entry.waiting.push((order.clone(), reply));
        self.feed(&pool.name, Event::OrderRequested(order), cx);
    }
}

impl Handler<OrdersInput> for OrdersActor {
    type Return = ();

    async fn handle(&mut self, input: OrdersInput, cx: &mut Context<Self>) {
        match input {
            OrdersInput::Lease(name, lease) => {
                if let Some(pool) = self.machines.get_mut(&name) {
                    pool.acquiring = false;
                }
                // After a failure the next tick asks again, so that a failing platform gets a pause.
                if let Some(lease) = lease {
                    self.feed(&name, Event::LeaseHeld(lease), cx);
                }
            }
            OrdersInput::Answered(name, answer) => self.feed(&name, Event::OrderEnded(answer), cx),
            OrdersInput::Tick => {
                for name in self.machines.keys().cloned().collect::<Vec<_>>() {
                    self.feed(&name, Event::Tick, cx);
                }
            }
        }
    }
}

async fn send_order(http: &HttpClient, address: SocketAddr, order: &Order, fence: u64) -> Outcome {
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

fn address(config: &Config, backend: &str) -> Option<SocketAddr> {
    let found = config.backends.iter().find(|b| b.name == backend);
    found.and_then(|b| b.address.parse().ok())
}
