use std::{collections::HashMap, sync::Arc};

use tokio::sync::{oneshot, watch};
use toucanchute_core::{
    fleet::MemberView,
    ledger::StoreResult,
    prepaid::{
        AccountEvent, Action, CallId, Event, Peer, PrepaidAccounts, Refusal, RefusalReason,
        TakeoverBasis, TokenDemand,
    },
};
use toucanchute_edge::passthrough::{
    TokenRefusal, TokenRefusalReason, TokenRequest, TokenReservation,
};
use toucanchute_platform::StoreClient;
use toucanchute_proto::{
    BudgetId, Incarnation, Millis, config::Config, peer::FrameKind, prepaid::PrepaidMessage,
};
use xtra::prelude::*;

use super::{FleetActor, FleetInput, post};
use crate::{clock, keyvalue::LedgerStore, link::Mesh, view::RouterView};

/// Runs the [`PrepaidAccounts`] machine of this router, which manages prepaid budgets.
#[derive(xtra::Actor)]
pub(crate) struct PrepaidActor {
    machine: PrepaidAccounts,
    mesh: Mesh,
    store: LedgerStore<StoreClient>,
    /// Era of the store.
    store_era: watch::Receiver<u64>,
    fleet: Address<FleetActor>,
    view: Arc<RouterView>,
    /// Requests that wait for a reservation of tokens.
    pending: HashMap<CallId, PendingReservation>,
    next_call: u64,
    /// Names of the budgets, for log lines.
    budget_names: HashMap<BudgetId, String>,
    /// Whether all accounts are handed over or released.
    drained: bool,
    /// Whether the fleet actor has to be informed once `drained` is set.
    report_drained: bool,
    actions: Vec<Action>,
}

/// A request that waits for a reservation.
struct PendingReservation {
    /// Identifier of the request, chosen by its caller.
    request_id: String,
    budget: BudgetId,
    received_at: Millis,
    tokens: u64,
    reply: oneshot::Sender<Result<TokenReservation, TokenRefusal>>,
}

/// Input of a [`PrepaidActor`].
pub(crate) enum PrepaidInput {
    /// Requests a reservation of tokens; the sender receives the result.
    Reserve(
        TokenRequest,
        oneshot::Sender<Result<TokenReservation, TokenRefusal>>,
    ),
    /// The request of a reservation has ended and used this number of tokens.
    Settle(TokenReservation, u64),
    /// Another configuration is in force.
    Config(Arc<Config>),
    /// The other members of the fleet. Replaces the previous list.
    Members(Vec<MemberView>),
    /// A message from another router.
    Message(Incarnation, Box<PrepaidMessage>),
    /// Number and result of a call to the store.
    Store(u64, StoreResult),
    /// Hands over or releases all accounts.
    Drain,
    /// Like [`PrepaidInput::Drain`], and reports the end by [`FleetInput::Drained`].
    DrainAndReport,
    /// Time has passed. Sent about every 50 ms.
    Tick,
}

/// Arguments of [`PrepaidActor::new`].
pub(crate) struct PrepaidParts {
    /// The state machine of the prepaid accounts.
    pub(crate) machine: PrepaidAccounts,
    /// Links to other routers.
    pub(crate) mesh: Mesh,
    /// The platform's store.
    pub(crate) store: LedgerStore<StoreClient>,
    /// Era of that store.
    pub(crate) store_era: watch::Receiver<u64>,
    /// Informed when all accounts are handed over or released, and when the store does not answer.
    pub(crate) fleet: Address<FleetActor>,
    /// Source of the time at which the store last answered a router.
    pub(crate) view: Arc<RouterView>,
}

impl PrepaidActor {
    /// Creates the actor without accounts or pending requests.
    pub(crate) fn new(parts: PrepaidParts) -> PrepaidActor {
        let PrepaidParts {
            machine,
            mesh,
            store,
            store_era,
            fleet,
            view,
        } = parts;
        PrepaidActor {
            machine,
            mesh,
            store,
            store_era,
            fleet,
            view,
            pending: HashMap::new(),
            next_call: 0,
            budget_names: HashMap::new(),
            drained: false,
            report_drained: false,
            actions: Vec::new(),
        }
    }

    fn feed(&mut self, event: Event, cx: &Context<Self>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(clock::now(), event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action, cx);
        }
        self.actions = actions;
        if self.drained && self.report_drained {
            self.report_drained = false;
            post(&self.fleet, FleetInput::Drained);
        }
    }

    /// Passes the era of the store to the machine.
    fn feed_store_era(&mut self, cx: &Context<Self>) {
        let era = *self.store_era.borrow();
        self.feed(Event::StoreEra(era), cx);
    }

    fn perform(&mut self, action: Action, cx: &Context<Self>) {
        match action {
            Action::Reserved { call, owner } => self.reserved(call, owner, cx),
            Action::Refused { call, refusal } => {
                if let Some(pending) = self.pending.remove(&call) {
                    self.log_refusal(call, &pending, refusal.reason);
                    let _ = pending.reply.send(Err(token_refusal(refusal)));
                }
            }
            Action::Send { to, message } => {
                self.mesh.send(to, FrameKind::Prepaid, message.as_ref());
            }
            Action::Store(op) => {
                let store = self.store.clone();
                let weak_self = cx.mailbox().address();
                tokio::spawn(async move {
                    let result = store.execute(op.request).await;
                    if let Some(actor) = weak_self.try_upgrade() {
                        post(&actor, PrepaidInput::Store(op.op, result));
                    }
                });
            }
            Action::Log(event) => self.log(&event),
            Action::Drained => self.drained = true,
        }
    }

    /// Sends a reservation to its caller. If the caller no longer waits for it, its tokens are
    /// released.
    fn reserved(&mut self, call: CallId, owner: Incarnation, cx: &Context<Self>) {
        let Some(PendingReservation { tokens, reply, .. }) = self.pending.remove(&call) else {
            return;
        };
        let reservation = TokenReservation {
            id: call.0,
            tokens,
            owner,
        };
        if reply.send(Ok(reservation)).is_err() {
            let weak_self = cx.mailbox().address();
            if let Some(actor) = weak_self.try_upgrade() {
                post(&actor, PrepaidInput::Settle(reservation, 0));
            }
        }
    }

    fn reserve(
        &mut self,
        req: TokenRequest,
        reply: oneshot::Sender<Result<TokenReservation, TokenRefusal>>,
        cx: &Context<Self>,
    ) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let tokens = req.tokens;
        let pending = PendingReservation {
            request_id: req.request,
            budget: req.budget,
            received_at: clock::now(),
            tokens,
            reply,
        };
        self.pending.insert(call, pending);
        let demand = TokenDemand {
            budget: req.budget,
            tokens,
            rest: req.rest,
            extends: req.extends.map(CallId),
        };
        let event = Event::Reserve {
            call,
            demand,
            deadline: req.deadline,
        };
        self.feed(event, cx);
    }

    fn configure(&mut self, config: &Config, cx: &Context<Self>) {
        let id = |name: &str| BudgetId::from_name(name);
        let budgets = config.budgets.iter();
        self.budget_names = budgets.map(|b| (id(&b.name), b.name.clone())).collect();
        let budgets = config.budgets.iter();
        let limits = budgets.filter_map(|b| Some((id(&b.name), b.prepaid?)));
        let event = Event::Configure {
            limits: limits.collect(),
            policy: config.ledger.clone(),
        };
        self.feed(event, cx);
    }

    fn budget_name(&self, budget: BudgetId) -> String {
        let name = self.budget_names.get(&budget).cloned();
        name.unwrap_or_else(|| budget.to_string())
    }

    /// Logs a refusal at the router that received the request. The account owner's log line on the
    /// same refusal carries this router and `seq`.
    fn log_refusal(&self, call: CallId, pending: &PendingReservation, reason: RefusalReason) {
        log::info!(
            request = pending.request_id, budget = self.budget_name(pending.budget), seq = call.0,
            tokens = pending.tokens, waited_ms = clock::now().since(pending.received_at).0, reason:? = reason;
            "reservation-refused"
        );
    }

    fn log(&self, event: &AccountEvent) {
        let name = |id: &BudgetId| self.budget_name(*id);
        match event {
            AccountEvent::Opened {
                budget,
                epoch,
                spent,
                lost,
                basis,
            } => {
                let basis = match basis {
                    TakeoverBasis::Marks => "marks",
                    TakeoverBasis::Ramp => "ramp",
                    TakeoverBasis::RampMax => "top",
                    TakeoverBasis::Total => "total",
                };
                log::info!(budget = name(budget), epoch = epoch, spent = spent, lost = lost, basis = basis; "account-opened");
            }
            AccountEvent::Refused {
                budget,
                request: (router, seq),
                reason,
                used,
                limit,
                bound,
            } => {
                log::info!(
                    budget = name(budget), router:% = router, seq = seq, reason:? = reason,
                    used = used, limit = limit, bound = bound;
                    "tokens-refused"
                );
            }
            AccountEvent::Unreadable {
                budget,
                revision,
                error,
            } => {
                log::error!(budget = name(budget), revision = revision, error = error; "account-unreadable");
            }
            AccountEvent::RecordOutdated {
                budget,
                epoch,
                named,
            } => {
                log::info!(budget = name(budget), epoch = epoch, named:% = named; "account-record-outdated");
            }
            AccountEvent::RefundLost { budget, seq, sent } => {
                log::warn!(budget = name(budget), seq = seq, sent = sent; "refund-lost");
            }
            AccountEvent::HandedOver { budget, to } => {
                log::info!(budget = name(budget), to:% = to; "account-handed-over");
            }
            AccountEvent::Closed { budget, cause } => {
                log::info!(budget = name(budget), cause:? = cause; "account-closed");
            }
        }
    }
}

impl Handler<PrepaidInput> for PrepaidActor {
    type Return = ();

    async fn handle(&mut self, input: PrepaidInput, cx: &mut Context<Self>) {
        match input {
            PrepaidInput::Reserve(req, reply) => self.reserve(req, reply, cx),
            PrepaidInput::Settle(reservation, used) => {
                let call = CallId(reservation.id);
                self.feed(Event::Settle { call, used }, cx);
            }
            PrepaidInput::Config(config) => self.configure(&config, cx),
            PrepaidInput::Members(members) => {
                let peers = members.iter().map(peer).collect();
                self.feed(Event::Peers(peers), cx);
            }
            PrepaidInput::Message(from, message) => {
                self.feed(Event::Message { from, message }, cx);
            }
            PrepaidInput::Store(op, result) => {
                // Only a few routers read the store on behalf of all. The other routers detect its
                // loss by their own failed calls.
                if matches!(result, StoreResult::Unavailable | StoreResult::Unknown) {
                    post(&self.fleet, FleetInput::PlatformDown);
                }
                self.feed_store_era(cx);
                self.feed(Event::Store { op, result }, cx);
            }
            PrepaidInput::Drain => self.feed(Event::Drain, cx),
            PrepaidInput::DrainAndReport => {
                self.report_drained = true;
                self.feed(Event::Drain, cx);
            }
            PrepaidInput::Tick => {
                if let Some(at) = self.view.store_answered_at() {
                    self.feed(Event::StoreSeen(at), cx);
                }
                self.feed_store_era(cx);
                self.feed(Event::Clocks(self.mesh.clock_spread()), cx);
                self.feed(Event::Tick, cx);
            }
        }
    }
}

fn peer(member: &MemberView) -> Peer {
    Peer {
        incarnation: member.incarnation,
        host: member.host.clone(),
        failure_domain: member.failure_domain.clone(),
        capacity: member.capacity,
        state: member.state,
        store_up: !member.outage,
    }
}

fn token_refusal(refusal: Refusal) -> TokenRefusal {
    let reason = match refusal.reason {
        RefusalReason::Exhausted => TokenRefusalReason::Exhausted,
        RefusalReason::Held => TokenRefusalReason::Held,
        _ => TokenRefusalReason::Unavailable,
    };
    TokenRefusal {
        reason,
        retry_after: refusal.retry_after,
    }
}
