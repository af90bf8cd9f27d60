use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::sync::oneshot;
use toucanchute_core::money::{self, Action, CallId, Event, Money, Peer};
use toucanchute_edge::{Refusal, RefusalReason};
use toucanchute_proto::{Incarnation, Millis, config::Config, peer::FrameKind};
use toucanchute_store::Client;
use xtra::prelude::*;

use self::convert::{
    call_event, edge_refusal, ledger_answer, new_refusal, recorded_reply, settled_reply,
    statement_document,
};
use super::{FleetActor, FleetInput, post};
use crate::{clock, keyvalue::LedgerStore, link::Mesh};

mod convert;
mod input;

pub(crate) use input::{MoneyCall, MoneyInput, MoneyReply};

/// Shortest delay before a tick that the machine requested.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(2);

/// Runs the [`Money`] machine of this router, which manages grants of the ledger.
#[derive(xtra::Actor)]
pub(crate) struct MoneyActor {
    /// Absent until a configuration is in force, because the configuration determines the ledger's
    /// layout.
    machine: Option<Money>,
    settings: money::Settings,
    mesh: Mesh,
    store: LedgerStore<Client>,
    fleet: Address<FleetActor>,
    /// The latest list of other routers, passed to the machine when it is created.
    peers: Vec<Peer>,
    /// Addresses of the other routers for callers.
    caller_addresses: HashMap<Incarnation, SocketAddr>,
    /// Senders of the replies to calls in progress.
    pending_calls: HashMap<CallId, oneshot::Sender<Result<MoneyReply, Refusal>>>,
    next_call: u64,
    /// When the tick that the machine requested is due; `None` if no such tick is scheduled.
    wake_at: Option<Millis>,
    actions: Vec<Action>,
}

/// Arguments of [`MoneyActor::new`].
pub(crate) struct MoneyParts {
    /// Settings of the machine. The ledger's layout in them is replaced by that of the first
    /// configuration.
    pub(crate) settings: money::Settings,
    /// Links to other routers.
    pub(crate) mesh: Mesh,
    /// The platform's key-value service.
    pub(crate) store: LedgerStore<Client>,
    /// Informed when all grants are returned.
    pub(crate) fleet: Address<FleetActor>,
}

impl MoneyActor {
    /// Creates the actor, which refuses calls until it receives a configuration.
    pub(crate) fn new(parts: MoneyParts) -> MoneyActor {
        let MoneyParts {
            settings,
            mesh,
            store,
            fleet,
        } = parts;
        MoneyActor {
            machine: None,
            settings,
            mesh,
            store,
            fleet,
            peers: Vec::new(),
            caller_addresses: HashMap::new(),
            pending_calls: HashMap::new(),
            next_call: 0,
            wake_at: None,
            actions: Vec::new(),
        }
    }

    // --- machine

    fn feed(&mut self, event: Event, cx: &Context<Self>) {
        let Some(machine) = &mut self.machine else {
            return;
        };
        let now = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        machine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action, cx);
        }
        self.actions = actions;
        self.schedule_wake(now, cx);
    }

    /// Schedules a tick for the time that the machine requested, unless an earlier one is
    /// scheduled.
    fn schedule_wake(&mut self, now: Millis, cx: &Context<Self>) {
        let Some(at) = self.machine.as_ref().and_then(Money::next_wake) else {
            return;
        };
        if self.wake_at.is_some_and(|wake_at| wake_at <= at) {
            return;
        }
        self.wake_at = Some(at);
        let weak_self = cx.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(at.since(now).0).max(MIN_WAKE_DELAY)).await;
            if let Some(actor) = weak_self.try_upgrade() {
                post(&actor, MoneyInput::Wake(at));
            }
        });
    }

    fn perform(&mut self, action: Action, cx: &Context<Self>) {
        match action {
            Action::Send { to, message } => self.mesh.send(to, FrameKind::Money, &message),
            Action::Store(op) => {
                let store = self.store.clone();
                let weak_self = cx.mailbox().address();
                tokio::spawn(async move {
                    let result = store.execute(op.request).await;
                    if let Some(actor) = weak_self.try_upgrade() {
                        post(&actor, MoneyInput::Store { op: op.op, result });
                    }
                });
            }
            Action::Drained => post(&self.fleet, FleetInput::Drained),
            Action::Refused {
                call,
                reason,
                retry_after,
                elsewhere,
            } => {
                log::info!(call = call.0, reason:? = reason, router:? = elsewhere; "money-refused");
                let elsewhere = elsewhere.and_then(|id| self.caller_addresses.get(&id).copied());
                let refusal = Refusal {
                    elsewhere,
                    ..edge_refusal(reason, retry_after)
                };
                self.reply(call, Err(refusal));
            }
            Action::Reserved { call, tokens } => {
                self.reply(call, Ok(MoneyReply::Reserved { id: call.0, tokens }));
            }
            Action::Settled { call, billing } => self.reply(call, Ok(settled_reply(billing))),
            Action::Accepted { call } => self.reply(call, Ok(MoneyReply::Accepted)),
            Action::Recorded { call, answer } => self.reply(call, recorded_reply(answer)),
            Action::ToppedUp { call } => self.reply(call, Ok(MoneyReply::ToppedUp)),
            Action::WrittenOff { call } => self.reply(call, Ok(MoneyReply::WrittenOff)),
            Action::Statement { call, statement } => {
                self.reply(
                    call,
                    Ok(MoneyReply::Statement(statement_document(&statement))),
                );
            }
        }
    }

    fn reply(&mut self, call: CallId, reply: Result<MoneyReply, Refusal>) {
        if let Some(tx) = self.pending_calls.remove(&call) {
            let _ = tx.send(reply);
        }
    }

    // --- inputs

    fn call(
        &mut self,
        call: MoneyCall,
        tx: oneshot::Sender<Result<MoneyReply, Refusal>>,
        cx: &Context<Self>,
    ) {
        if self.machine.is_none() {
            let refusal = new_refusal(RefusalReason::Starting, Some(Millis(1_000)));
            let _ = tx.send(Err(refusal));
            return;
        }
        let (id, event) = match call {
            MoneyCall::Settle { id, tokens } => (
                CallId(id),
                Event::Settle {
                    call: CallId(id),
                    tokens,
                },
            ),
            other => {
                self.next_call += 1;
                let id = CallId(self.next_call);
                (id, call_event(id, other))
            }
        };
        self.pending_calls.insert(id, tx);
        self.feed(event, cx);
    }

    fn configure(&mut self, config: &Config, cx: &Context<Self>) {
        if self.machine.is_some() {
            return self.feed(Event::Configure(config.ledger.clone()), cx);
        }
        self.settings.ledger = config.ledger.clone();
        self.machine = Some(Money::new(self.settings.clone()));
        self.feed(Event::Peers(self.peers.clone()), cx);
    }
}

impl Handler<MoneyInput> for MoneyActor {
    type Return = ();

    async fn handle(&mut self, input: MoneyInput, cx: &mut Context<Self>) {
        match input {
            MoneyInput::Call(call, tx) => self.call(call, tx, cx),
            MoneyInput::Release { id } => self.feed(Event::Release { call: CallId(id) }, cx),
            MoneyInput::RecordOutcome(key, outcome) => {
                self.feed(
                    Event::RecordOutcome {
                        key,
                        answer: ledger_answer(outcome),
                    },
                    cx,
                );
            }
            MoneyInput::Config(config) => self.configure(&config, cx),
            MoneyInput::Peers(peers, caller_addresses) => {
                self.caller_addresses = caller_addresses;
                self.peers.clone_from(&peers);
                self.feed(Event::Peers(peers), cx);
            }
            MoneyInput::Message(from, message) => {
                self.feed(
                    Event::Message {
                        from,
                        message: *message,
                    },
                    cx,
                );
            }
            MoneyInput::Store { op, result } => self.feed(Event::Store { op, result }, cx),
            MoneyInput::Drain if self.machine.is_none() => post(&self.fleet, FleetInput::Drained),
            MoneyInput::Drain => self.feed(Event::Drain, cx),
            MoneyInput::Wake(at) => {
                if self.wake_at == Some(at) {
                    self.wake_at = None;
                }
                self.feed(Event::Tick, cx);
            }
            MoneyInput::Tick => self.feed(Event::Tick, cx),
        }
    }
}
