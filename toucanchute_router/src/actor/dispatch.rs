use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use tokio::sync::oneshot;
use toucanchute_core::{
    fleet::MemberView,
    routing::{
        self, Action, BackendNotice, BackendState, Dispatcher, Event, FleetRouter, FleetView,
        RouterState,
    },
};
use toucanchute_edge::{AssignRequest, Assignment, AttemptReport, Refusal, RefusalOutcome};
use toucanchute_platform::StoreClient;
use toucanchute_proto::{
    AttemptId, Incarnation,
    config::{Backend, Config},
    fleet::{BackendHint, Found, Load, MemberState, Verdict},
    peer::FrameKind,
    permits::PermitMessage,
};
use xtra::prelude::*;

use super::{FleetActor, FleetInput, RequestStandings, RoutingStatus, cold_cause_name, post};
use crate::{clock, gateway::StreamOriginKeeper, link::Mesh};

/// Number of ticks per [`Event::Tick`] while no call is pending.
const IDLE_TICK_INTERVAL: u64 = 5;

/// Runs the [`Dispatcher`] of this router, which chooses backend servers for requests.
#[derive(xtra::Actor)]
pub(crate) struct DispatchActor {
    machine: Dispatcher,
    fleet: Address<FleetActor>,
    mesh: Mesh,
    /// Name of this router's host.
    host: String,
    /// Processor capacity of this router's host, in thousandths of a core; 0 if unknown.
    capacity: u32,
    /// Senders of the replies to calls that wait for a backend server, by call number.
    pending_calls: HashMap<u64, oneshot::Sender<Result<Assignment, Refusal>>>,
    next_call: u64,
    /// Ticks since the start.
    ticks: u64,
    /// Names of the backend servers that receive no new work.
    withdrawn: BTreeSet<String>,
    config: Arc<Config>,
    /// Registered backend servers; if present, they replace those of the configuration.
    registered: Option<Vec<Found>>,
    /// Number of routers in the fleet. Each may use an equal share of the retries that the
    /// configuration allows in a burst.
    router_count: usize,
    standings: Arc<RequestStandings>,
    status: Arc<RoutingStatus>,
    /// Learns the software of registered backend servers, if they register themselves.
    origins: Option<Arc<StreamOriginKeeper<StoreClient>>>,
    actions: Vec<Action>,
}

/// Requests a backend server for one attempt of a request.
pub(crate) struct AssignBackend {
    /// The request that needs a backend server.
    pub(crate) req: AssignRequest,
    /// Receives the assignment or the refusal.
    pub(crate) reply: oneshot::Sender<Result<Assignment, Refusal>>,
}

/// Input of a [`DispatchActor`] other than requests for a backend server.
pub(crate) enum DispatchInput {
    /// An attempt made progress or ended.
    Report(AttemptId, AttemptReport),
    /// Another configuration is in force.
    Config(Arc<Config>),
    /// The backend servers of these names receive no new work. Replaces the previous set.
    Withdraw(BTreeSet<String>),
    /// The backend servers of these failure domains receive no new work. Replaces the previous set.
    Evacuate(BTreeSet<String>),
    /// The registrations of backend servers changed.
    Backends {
        /// The backend servers that accept work.
        live: Vec<Found>,
        /// Names of those whose registration lapsed without a notice that they are leaving.
        lapsed: Vec<String>,
    },
    /// The other routers of the fleet, and whether this one is leaving it.
    Members(Vec<MemberView>, bool),
    /// What another router learned from a backend server's answer.
    Hint(BackendHint),
    /// A message about permits from another router.
    PermitMessage(Incarnation, PermitMessage),
    /// The backend server of this name sent a notice about itself with an answer.
    Notice(String, BackendNotice),
    /// A backend server reported its load.
    Load(Load),
    /// A backend server's answer to this router stated its load.
    OwnLoad(Load),
    /// A backend server's prefix cache changed.
    CacheEvents {
        /// Name of the backend server.
        backend: String,
        /// The changes, oldest first.
        events: Vec<routing::CacheEvent>,
        /// Whether changes before these were lost.
        gap: bool,
    },
    /// Another router's verdict on a request that was in flight on a replica that crashed.
    Verdict(Verdict),
    /// Time has passed. Sent at least every [`Dispatcher::MAX_TICK_INTERVAL`].
    Tick,
}

/// Arguments of [`DispatchActor::new`].
pub(crate) struct DispatchParts {
    /// The state machine that chooses backend servers.
    pub(crate) machine: Dispatcher,
    /// Receives this router's verdicts on requests.
    pub(crate) fleet: Address<FleetActor>,
    /// Links to other routers.
    pub(crate) mesh: Mesh,
    /// Name of this router's host.
    pub(crate) host: String,
    /// Processor capacity of this router's host, in thousandths of a core; 0 if unknown.
    pub(crate) capacity: u32,
    /// Initial configuration.
    pub(crate) config: Arc<Config>,
    /// Logs and counts verdicts on requests.
    pub(crate) standings: Arc<RequestStandings>,
    /// Logs and keeps what the metrics show of the machine's state.
    pub(crate) status: Arc<RoutingStatus>,
    /// Learns the software of registered backend servers, if they register themselves.
    pub(crate) origins: Option<Arc<StreamOriginKeeper<StoreClient>>>,
}

impl DispatchActor {
    /// Creates the actor without pending calls.
    pub(crate) fn new(parts: DispatchParts) -> DispatchActor {
        let DispatchParts {
            machine,
            fleet,
            mesh,
            host,
            capacity,
            config,
            standings,
            status,
            origins,
        } = parts;
        DispatchActor {
            machine,
            fleet,
            mesh,
            host,
            capacity,
            pending_calls: HashMap::new(),
            next_call: 0,
            ticks: 0,
            withdrawn: BTreeSet::new(),
            config,
            registered: None,
            router_count: 1,
            standings,
            status,
            origins,
            actions: Vec::new(),
        }
    }

    fn feed(&mut self, event: Event) {
        let now = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(now, event, &mut actions);
        let mut verdicts = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Verdict(verdict) => verdicts.push(verdict),
                action => self.perform(action),
            }
        }
        self.actions = actions;
        self.send_verdicts(verdicts);
    }

    /// Sends the verdicts that follow from one event to the other routers, all at once.
    fn send_verdicts(&self, verdicts: Vec<Verdict>) {
        if verdicts.is_empty() {
            return;
        }
        verdicts.iter().for_each(|v| self.standings.record_own(v));
        post(&self.fleet, FleetInput::Verdicts(verdicts));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Assigned {
                call,
                attempt,
                backend,
                address,
                rate_limited,
                software,
            } => {
                let assignment = Assignment {
                    attempt,
                    backend,
                    address,
                    rate_limited,
                    software,
                };
                self.reply(call, Ok(assignment));
            }
            Action::Refused {
                call,
                reason,
                retry_after,
            } => {
                let refusal = Refusal {
                    reason: reason.into(),
                    outcome: RefusalOutcome::NothingSent,
                    retry_after,
                    elsewhere: None,
                };
                self.reply(call, Err(refusal));
            }
            Action::BackendChanged { backend, state } => {
                if let BackendState::Cold { cause, .. } = state {
                    self.status.record_cold(cause);
                }
                log_backend_state(&backend, state);
            }
            Action::EvacuationChanged {
                failure_domain,
                evacuated,
                backends,
            } => {
                self.status
                    .record_evacuation(failure_domain, evacuated, backends);
            }
            Action::ShareLoad(load) => post(&self.fleet, FleetInput::ShareLoad(load)),
            Action::Hint(hint) => post(&self.fleet, FleetInput::Hint(hint)),
            Action::SendPermitMessage { to, message } => {
                self.mesh.send(to, FrameKind::Permits, &message);
            }
            Action::PermitUnanswered { backend } => {
                log::info!(backend = backend; "permit-unanswered");
            }
            _ => {}
        }
    }

    /// Sends the result of a call to its caller. If the caller no longer waits for it, an
    /// assignment is reported as not tried.
    fn reply(&mut self, call: u64, result: Result<Assignment, Refusal>) {
        let Some(tx) = self.pending_calls.remove(&call) else {
            return;
        };
        if let Err(Ok(assignment)) = tx.send(result) {
            let attempt = assignment.attempt;
            self.feed(Event::Report {
                attempt,
                report: AttemptReport::NotTried,
            });
        }
    }

    /// Passes every tick to the machine while calls are pending, otherwise one in
    /// [`IDLE_TICK_INTERVAL`].
    fn tick(&mut self) {
        self.ticks += 1;
        if !self.pending_calls.is_empty() || self.ticks.is_multiple_of(IDLE_TICK_INTERVAL) {
            self.feed(Event::Tick);
        }
        if let Some(error) = self.machine.load_error() {
            self.status.record_load_error(error);
        }
    }

    /// Applies another view of the fleet.
    fn set_members(&mut self, members: &[MemberView], leaving: bool) {
        self.feed(Event::Fleet(FleetView {
            host: self.host.clone(),
            capacity: self.capacity,
            leaving,
            routers: members.iter().map(fleet_router).collect(),
        }));
        if let Some(origins) = &self.origins {
            origins.set_members(members);
        }
        let router_count = members.len() + 1;
        if std::mem::replace(&mut self.router_count, router_count) != router_count
            && self.registered.is_some()
        {
            self.configure();
        }
    }

    /// Passes the configuration, with registered backend servers if any, to the machine.
    fn configure(&mut self) {
        let config = match &self.registered {
            None => Arc::clone(&self.config),
            Some(registered) => Arc::new(with_registered_backends(
                &self.config,
                registered,
                self.router_count,
            )),
        };
        if let (Some(origins), Some(registered)) = (&self.origins, &self.registered) {
            origins.set_registered(registered, self.router_count);
        }
        self.feed(Event::Configure {
            config,
            withdrawn: self.withdrawn.clone(),
        });
    }
}

impl Handler<AssignBackend> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, message: AssignBackend, _cx: &mut Context<Self>) {
        let AssignBackend { req, reply } = message;
        self.next_call += 1;
        let call = self.next_call;
        self.pending_calls.insert(call, reply);
        self.feed(Event::Assign(req.into_routing_request(call)));
    }
}

impl Handler<DispatchInput> for DispatchActor {
    type Return = ();

    async fn handle(&mut self, input: DispatchInput, _cx: &mut Context<Self>) {
        match input {
            DispatchInput::Report(attempt, report) => {
                self.feed(Event::Report { attempt, report });
            }
            DispatchInput::Config(config) => {
                self.config = config;
                self.configure();
            }
            DispatchInput::Withdraw(names) => {
                self.withdrawn = names;
                self.configure();
            }
            DispatchInput::Evacuate(domains) => self.feed(Event::Evacuate(domains)),
            DispatchInput::Backends { live, lapsed } => {
                for backend in lapsed {
                    self.feed(Event::RegistrationLapsed { backend });
                }
                self.registered = Some(live);
                self.configure();
            }
            DispatchInput::Members(members, leaving) => self.set_members(&members, leaving),
            DispatchInput::Hint(hint) => self.feed(Event::Hint(hint)),
            DispatchInput::PermitMessage(from, message) => {
                self.feed(Event::PermitMessage { from, message });
            }
            DispatchInput::Notice(backend, notice) => self.feed(Event::Notice { backend, notice }),
            DispatchInput::OwnLoad(load) => self.feed(Event::OwnLoad(load)),
            DispatchInput::Load(load) => self.feed(Event::Load(load)),
            DispatchInput::CacheEvents {
                backend,
                events,
                gap,
            } => {
                self.feed(Event::CacheEvents {
                    backend,
                    events,
                    gap,
                });
            }
            DispatchInput::Verdict(verdict) => {
                self.standings.record_received(clock::now(), &verdict);
                self.feed(Event::Verdict(verdict));
            }
            DispatchInput::Tick => self.tick(),
        }
    }
}

fn fleet_router(member: &MemberView) -> FleetRouter {
    FleetRouter {
        incarnation: member.incarnation,
        host: member.host.clone(),
        capacity: member.capacity,
        state: match member.state {
            MemberState::Alive => RouterState::Alive,
            MemberState::Leaving => RouterState::Left,
            MemberState::Suspect | MemberState::Gone if member.ended => RouterState::Left,
            MemberState::Suspect | MemberState::Gone => RouterState::Unreachable,
        },
    }
}

/// Returns the parts of `config` that the dispatcher needs, with the registered backend servers and
/// this router's share of the fleet's retry burst. The concurrency limit of a pool is the greatest
/// that one of its servers registered, or that of the configuration if none did.
fn with_registered_backends(config: &Config, registered: &[Found], router_count: usize) -> Config {
    let mut routing = config.routing.clone();
    let router_count = u32::try_from(router_count.max(1)).unwrap_or(u32::MAX);
    routing.retry_burst /= router_count;
    let mut pools = config.pools.clone();
    for pool in &mut pools {
        let slots = registered.iter().filter(|f| f.service == pool.name);
        let slots = slots.map(|f| f.slots).max().filter(|&s| s > 0);
        pool.max_concurrency = slots.unwrap_or(pool.max_concurrency);
    }
    let backends = registered.iter().map(|f| Backend {
        name: f.name.clone(),
        pool: f.service.clone(),
        address: f.address.to_string(),
        failure_domain: f.failure_domain.clone(),
        software: f.software.clone(),
    });
    Config {
        version: config.version,
        routing,
        pools,
        models: config.models.clone(),
        services: config.services.clone(),
        backends: backends.collect(),
        evacuated_domains: config.evacuated_domains.clone(),
        failure_domains: config.failure_domains.clone(),
        ..Config::default()
    }
}

/// Logs a state change that follows from a backend server's notices.
fn log_backend_state(backend: &str, state: BackendState) {
    match state {
        BackendState::Leaving => log::info!(backend = backend; "backend-leaving"),
        BackendState::HintedLeaving { source } => {
            log::info!(backend = backend, router:% = source; "backend-leaving-heard");
        }
        BackendState::BackingOff { duration } => {
            log::info!(backend = backend, span_ms = duration.0; "backend-resting");
        }
        BackendState::BackoffEnded => log::info!(backend = backend; "backend-rested"),
        BackendState::RateLimited { rate, source } => {
            log::info!(backend = backend, rate:% = rate, router:% = source; "backend-rate-limited");
        }
        BackendState::Cold { remaining, cause } => {
            log::info!(
                backend = backend,
                remaining_ms = remaining.0,
                cause = cold_cause_name(cause);
                "backend-cold"
            );
        }
        BackendState::RateLimitEnded { after } => {
            log::info!(backend = backend, after_ms = after.0; "backend-rate-limit-ended");
        }
    }
}
