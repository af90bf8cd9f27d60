mod store_availability;

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use tokio::sync::{mpsc, watch};
use toucanchute_core::{
    discovery::DiscoveryUpdate,
    fleet::{Action, Event, Fleet, HostEntry, MemberView, NotReady, StoreReadMode},
    routing::{BackendNotice, ColdCause},
};
use toucanchute_edge::{AddressList, Refusal, RefusalOutcome, RefusalReason};
use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{
        BackendHint, EvacuationList, FleetMessage, FoundBody, Load, Member, MemberState, Verdict,
    },
    peer::FrameKind,
};
use xtra::prelude::*;

use self::store_availability::StoreAvailability;
use super::{BudgetActor, DispatchActor, DispatchInput, post};
use crate::{clock, keyvalue::PlatformReader, link::Mesh, view::RouterView};

/// Delay after which a caller may retry at a router that is starting, leaving or has a stale view.
const UNREADY_RETRY_AFTER: Millis = Millis(1_000);

/// Runs the [`Fleet`] of this router, which tracks membership, configuration and registrations.
#[derive(xtra::Actor)]
pub(crate) struct FleetActor {
    machine: Fleet,
    mesh: Mesh,
    view: Arc<RouterView>,
    /// Absent until [`FleetInput::Start`].
    outputs: Option<FleetOutputs>,
    store_read_mode: watch::Sender<StoreReadMode>,
    /// The other members of the fleet, as the machine last published them.
    members: Vec<MemberView>,
    store_availability: StoreAvailability,
    /// Whether this router is leaving the fleet.
    leaving: bool,
    actions: Vec<Action>,
}

/// Arguments of [`FleetActor::new`].
pub(crate) struct FleetParts {
    /// The state machine of the fleet.
    pub(crate) machine: Fleet,
    /// Links to other routers.
    pub(crate) mesh: Mesh,
    /// View of the router's state for the HTTP edge, which this actor writes.
    pub(crate) view: Arc<RouterView>,
    /// Publishes how this router has to read the store.
    pub(crate) store_read_mode: watch::Sender<StoreReadMode>,
}

/// Receivers of the actions of a [`FleetActor`]'s machine.
#[derive(Clone)]
pub(crate) struct FleetOutputs {
    /// Manages the customers' budgets.
    pub(crate) budgets: BudgetActor,
    /// Chooses backend servers.
    pub(crate) dispatch: Address<DispatchActor>,
    /// Fetches the configuration on request. Absent where the configuration is read without a
    /// request.
    pub(crate) platform: Option<PlatformReader>,
    /// Receives the quarantines that have to be stored. Absent where they are not stored.
    pub(crate) quarantines: Option<mpsc::Sender<Verdict>>,
    /// Set to true when the process must exit.
    pub(crate) exit: watch::Sender<bool>,
}

/// Input of a [`FleetActor`].
pub(crate) enum FleetInput {
    /// The receivers of the machine's actions are running. Sent once, before any other input.
    Start(Box<FleetOutputs>),
    /// A link to this peer is up.
    PeerUp(Member),
    /// The last link to this peer is down.
    PeerDown(Incarnation),
    /// A message from a peer.
    Message(Incarnation, Box<FleetMessage>),
    /// Head of the configuration: time at which it was requested from the platform, version and
    /// digest.
    ConfigHead(Millis, u64, Digest),
    /// The platform's host list: time at which it was requested, version and entries.
    HostList(Millis, u64, Vec<HostEntry>),
    /// Peer addresses of the routers that have a record in the platform's store.
    RouterAddresses(BTreeSet<SocketAddr>),
    /// Registrations of backend servers, all or those that changed, and the time at which they
    /// were requested or last known to be current.
    Registrations(FoundBody, Millis),
    /// The operator's orders to evacuate failure domains, as read from the platform. Sent before the
    /// head of the configuration that the same call read.
    Evacuations(EvacuationList),
    /// A configuration was read from the platform.
    Config(Arc<Config>, Digest),
    /// A call to the platform failed or had no answer.
    PlatformDown,
    /// A backend server reported its load.
    Load(Load),
    /// A backend server's answer to this router stated its load; other routers should learn it.
    ShareLoad(Load),
    /// This router's verdicts on requests, and parts of prompts, that were in flight on a replica that
    /// crashed.
    Verdicts(Vec<Verdict>),
    /// What this router learned from a backend server's answer.
    Hint(BackendHint),
    /// Quarantines that were read from the platform's store.
    StoredQuarantines(Vec<Verdict>),
    /// The share of the lists of addresses that should name this router, in eighths, has changed.
    ListShare(u8),
    /// Number of requests in progress.
    InFlight(u64),
    /// The process was asked to stop and has to leave the fleet gracefully.
    Drain,
    /// All grants are returned, or all accounts handed over or released.
    Drained,
    /// Time has passed. Sent every [`Fleet::TICK`].
    Tick,
}

/// Queries which of the given backend servers this router polls, and whether it reads the platform.
pub(crate) struct QueryDuties {
    /// Names of the backend servers that may be polled.
    pub(crate) backends: Vec<String>,
}

impl FleetActor {
    /// Creates the actor. Actions for other actors are dropped until [`FleetInput::Start`].
    pub(crate) fn new(parts: FleetParts) -> FleetActor {
        let FleetParts {
            machine,
            mesh,
            view,
            store_read_mode,
        } = parts;
        FleetActor {
            machine,
            mesh,
            view,
            outputs: None,
            store_read_mode,
            members: Vec::new(),
            store_availability: StoreAvailability::default(),
            leaving: false,
            actions: Vec::new(),
        }
    }

    fn feed(&mut self, event: Event) {
        let now = clock::now();
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(action);
        }
        self.actions = actions;
        self.view
            .confirm_readiness(now, self.machine.confirmed_at());
        self.update_store_read_mode(self.machine.store_read_mode(now));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.mesh.send(to, FrameKind::Fleet, &message),
            Action::Connect(address) => self.mesh.connect(address),
            Action::ApplyConfig(config) => self.apply_config(&config),
            Action::BadPeerConfig { error } => log::error!(error = error; "peer-config-malformed"),
            Action::Members(members) => self.set_members(members),
            Action::Readiness(ready) => self.set_readiness(ready),
            Action::Addresses(addresses) => self.set_addresses(addresses),
            Action::FetchConfig => self.with_outputs(|out| {
                if let Some(platform) = &out.platform {
                    platform.request_config();
                }
            }),
            Action::Withdraw(names) => {
                log::info!(backends:? = names; "backends-withdrawn");
                self.with_outputs(|out| post(&out.dispatch, DispatchInput::Withdraw(names)));
            }
            Action::Backends(DiscoveryUpdate {
                live,
                withdrawn,
                lapsed,
                ..
            }) => {
                log::info!(
                    backends = live.len(),
                    left:? = withdrawn,
                    lapsed:? = lapsed;
                    "backends-in-force"
                );
                let input = DispatchInput::Backends { live, lapsed };
                self.with_outputs(|out| post(&out.dispatch, input));
            }
            Action::Evacuate(domains) => {
                self.with_outputs(|out| post(&out.dispatch, DispatchInput::Evacuate(domains)));
            }
            Action::Cold { backend, remaining } => {
                let cause = ColdCause::Registered;
                let notice = BackendNotice::Cold { remaining, cause };
                let input = DispatchInput::Notice(backend, notice);
                self.with_outputs(|out| post(&out.dispatch, input));
            }
            Action::Load(load) => {
                self.with_outputs(|out| post(&out.dispatch, DispatchInput::Load(load)));
            }
            Action::Verdict(verdict) => {
                self.with_outputs(|out| post(&out.dispatch, DispatchInput::Verdict(verdict)));
            }
            Action::Hint(hint) => {
                self.with_outputs(|out| post(&out.dispatch, DispatchInput::Hint(hint)));
            }
            Action::StoreQuarantine(verdict) => self.with_outputs(|out| {
                let Some(quarantines) = &out.quarantines else {
                    return;
                };
                if quarantines.try_send(verdict).is_err() {
                    log::warn!("quarantine-not-queued");
                }
            }),
            Action::ReturnGrants => {
                self.with_outputs(|out| out.budgets.drain());
            }
            Action::Exit => self.with_outputs(|out| {
                out.exit.send_replace(true);
            }),
            _ => {}
        }
    }

    /// Publishes `mode`, and logs it if it changed.
    fn update_store_read_mode(&self, mode: StoreReadMode) {
        let changed = self.store_read_mode.send_if_modified(|current| {
            let changed = *current != mode;
            *current = mode;
            changed
        });
        if changed {
            log::info!(reading:? = mode; "store-reading-changed");
        }
    }

    /// Calls `f` with the receivers of the machine's actions, if they are known.
    fn with_outputs(&self, f: impl FnOnce(&FleetOutputs)) {
        if let Some(outputs) = &self.outputs {
            f(outputs);
        }
    }

    /// Makes `config` the configuration in force for the HTTP edge and the other actors.
    fn apply_config(&self, config: &Arc<Config>) {
        log::info!(version = config.version; "config-in-force");
        self.view.set_config(Arc::clone(config));
        self.with_outputs(|out| {
            post(&out.dispatch, DispatchInput::Config(Arc::clone(config)));
            out.budgets.configure(config);
        });
    }

    /// Replaces the other members of the fleet, and the addresses of peers that are not gone.
    fn set_members(&mut self, members: Vec<MemberView>) {
        self.with_outputs(|out| {
            out.budgets.set_members(&members);
            let input = DispatchInput::Members(members.clone(), self.leaving);
            post(&out.dispatch, input);
        });
        let alive = members.iter().filter(|m| m.state == MemberState::Alive);
        log::info!(known = members.len(), alive = alive.count(); "members-changed");
        self.view.set_members(members.clone());
        let present = members.iter().filter(|m| m.state != MemberState::Gone);
        self.mesh
            .set_peer_addresses(present.map(|m| (m.incarnation, m.peer_address)).collect());
        self.members = members;
    }

    /// Lets other routers issue permits in place of this one.
    fn leave(&mut self) {
        self.leaving = true;
        let input = DispatchInput::Members(self.members.clone(), true);
        self.with_outputs(|out| post(&out.dispatch, input));
    }

    fn set_readiness(&self, ready: Result<(), NotReady>) {
        log::info!(ready:? = ready; "readiness-changed");
        self.view.set_unready(ready.err().map(unready_refusal));
    }

    fn set_addresses(&self, addresses: Vec<SocketAddr>) {
        let max_age = Millis(self.view.config().routing.address_max_age_ms);
        self.view.set_addresses(AddressList { addresses, max_age });
    }
}

impl Handler<FleetInput> for FleetActor {
    type Return = ();

    async fn handle(&mut self, input: FleetInput, _cx: &mut Context<Self>) {
        match input {
            FleetInput::PlatformDown => self.store_availability.record_failure(clock::now()),
            FleetInput::ConfigHead(request_time, ..)
            | FleetInput::Registrations(_, request_time) => {
                self.store_availability
                    .record_answer(clock::now(), request_time);
            }
            _ => {}
        }
        let event = match input {
            FleetInput::Start(outputs) => {
                self.outputs = Some(*outputs);
                return;
            }
            FleetInput::PeerUp(member) => Event::PeerUp(member),
            FleetInput::PeerDown(from) => Event::PeerDown(from),
            FleetInput::Message(from, message) => Event::Message { from, message },
            FleetInput::ConfigHead(request_time, version, digest) => Event::ConfigHead {
                version,
                digest,
                requested_at: request_time,
            },
            FleetInput::HostList(request_time, version, hosts) => Event::HostList {
                version,
                hosts,
                requested_at: request_time,
            },
            FleetInput::RouterAddresses(routers) => Event::RouterAddresses(routers),
            FleetInput::Registrations(body, request_time) => Event::Registrations {
                body,
                requested_at: request_time,
            },
            FleetInput::Evacuations(list) => Event::Evacuations(list),
            FleetInput::Config(config, digest) => Event::Config { config, digest },
            FleetInput::PlatformDown => Event::PlatformDown,
            FleetInput::Load(load) => Event::LoadReport(load),
            FleetInput::ShareLoad(load) => Event::ShareLoad(load),
            FleetInput::Verdicts(verdicts) => Event::Verdicts(verdicts),
            FleetInput::Hint(hint) => Event::Hint(hint),
            FleetInput::StoredQuarantines(verdicts) => Event::StoredQuarantines(verdicts),
            FleetInput::ListShare(share) => Event::ListShare(share),
            FleetInput::InFlight(count) => Event::InFlight(count),
            FleetInput::Drain => {
                self.leave();
                Event::Drain
            }
            FleetInput::Drained => Event::GrantsReturned,
            FleetInput::Tick => Event::Tick,
        };
        self.feed(event);
    }
}

/// The tasks that this router performs on behalf of the fleet.
pub(crate) struct RouterDuties {
    /// Whether it reads the configuration's head and the host list from the platform.
    pub(crate) reads_platform: bool,
    /// Names of the backend servers that it polls.
    pub(crate) polled_backends: Vec<String>,
}

impl Handler<QueryDuties> for FleetActor {
    type Return = RouterDuties;

    async fn handle(&mut self, message: QueryDuties, _cx: &mut Context<Self>) -> RouterDuties {
        let now = clock::now();
        let mut polled_backends = message.backends;
        polled_backends.retain(|name| self.machine.polls_load(name));
        RouterDuties {
            reads_platform: self.machine.reads_platform(now),
            polled_backends,
        }
    }
}

/// Queries the other members of the fleet, as the machine last published them.
pub(crate) struct ListMembers;

impl Handler<ListMembers> for FleetActor {
    type Return = Vec<MemberView>;

    async fn handle(&mut self, _message: ListMembers, _cx: &mut Context<Self>) -> Vec<MemberView> {
        self.members.clone()
    }
}

fn unready_refusal(reason: NotReady) -> Refusal {
    let (reason, elsewhere) = match reason {
        NotReady::StaleView { elsewhere } => (RefusalReason::StaleView, elsewhere),
        NotReady::Draining { elsewhere } => (RefusalReason::Draining, elsewhere),
        _ => (RefusalReason::Starting, None),
    };
    let retry_after = Some(UNREADY_RETRY_AFTER);
    Refusal {
        reason,
        outcome: RefusalOutcome::NothingSent,
        retry_after,
        elsewhere,
    }
}
