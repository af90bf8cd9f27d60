use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};
use toucanchute_core::{
    fleet::{Fleet, RouterIdentity, StoreReadMode},
    prepaid::{self, PrepaidAccounts},
    routing::Dispatcher,
};
use toucanchute_edge::passthrough::Gateway;
use toucanchute_platform::{PlatformDialect, StoreClient};
use toucanchute_proto::{
    Incarnation, Millis, config::Config, peer::Hello, settings::GatewaySettings,
};
use xtra::{Mailbox, prelude::*};

use super::{
    control::GatewayControl,
    feeds::{self, Feeds},
    leave,
    monitor::{self, Monitor},
    quarantine,
    questions::{self, Desk},
    registry::Registry,
    signals::Signals,
};
use crate::{
    actor::{
        BudgetActor, DispatchActor, DispatchInput, DispatchParts, FleetActor, FleetInput,
        FleetOutputs, FleetParts, PrepaidActor, PrepaidInput, PrepaidParts, RequestStandings, post,
    },
    keyvalue::LedgerStore,
    link::{LinkIdentity, Mesh},
    output::RunError,
    server::{bind, route_links, starting_refusal},
    view::RouterView,
};

/// Pause between two ticks of the machines.
const TICK: Duration = Duration::from_millis(50);

/// Ticks of which one goes to the fleet machine.
const FLEET_TICKS: u64 = Fleet::TICK.0 / TICK.as_millis() as u64;

/// Runs a gateway until it has left gracefully.
pub(super) async fn serve(
    settings: GatewaySettings,
    path: PathBuf,
    incarnation: Incarnation,
    signals: Signals,
) -> Result<(), RunError> {
    let callers = bind(settings.callers.listen).await?;
    let peers = bind(settings.router.peer_listen).await?;
    let readiness = bind(settings.callers.readiness).await?;
    let directory = bind(settings.callers.directory).await?;
    let metrics = match settings.monitor.listen {
        Some(address) => Some(bind(address).await?),
        None => None,
    };

    let parts = Parts::start(&settings, incarnation);
    parts.mesh.listen(peers);
    parts.serve_questions(&settings, readiness, directory, metrics);
    tokio::spawn(leave::reload(signals.hangup, path));
    log::info!(listen:% = settings.callers.listen; "gateway-started");

    let grace = Duration::from_millis(settings.leave.grace_ms);
    let leaving = leave::Leaving {
        fleet: parts.fleet.clone(),
        prepaid: parts.prepaid.clone(),
        flag: Arc::clone(&parts.leaving),
        exit: parts.exit.clone(),
        grace,
    };
    tokio::spawn(leaving.on_signal(signals.terminate, signals.interrupt));
    let connections = settings.callers.connections as usize;
    let in_flight = Arc::clone(&parts.in_flight);
    let control = Arc::clone(&parts.control);
    let gateway = Gateway::new(control, PlatformDialect, in_flight, connections);
    let mut exited = parts.exit.subscribe();
    let refusing = leave::refusing(Arc::clone(&parts.view), parts.exit.subscribe());
    let served = gateway.serve(callers, refusing);
    tokio::select! {
        () = served => drop(exited.wait_for(|left| *left).await),
        _ = leave::forced(parts.exit.subscribe()) => {}
    }
    parts.registry.leave().await;
    log::info!(calls:? = parts.store.counts(); "store-calls");
    log::info!(in_flight = parts.in_flight.load(Ordering::Relaxed); "gateway-left");
    toucanchute_log::flush();
    Ok(())
}

/// The running actors and what talks to them.
struct Parts {
    mesh: Mesh,
    view: Arc<RouterView>,
    fleet: Address<FleetActor>,
    prepaid: Address<PrepaidActor>,
    control: Arc<GatewayControl>,
    registry: Registry,
    store: StoreClient,
    standings: Arc<RequestStandings>,
    monitor: Arc<Monitor>,
    /// Requests in progress.
    in_flight: Arc<AtomicU64>,
    /// Whether the process was asked to stop.
    leaving: Arc<AtomicBool>,
    /// Set to true when the process has to end.
    exit: watch::Sender<bool>,
}

impl Parts {
    fn start(settings: &GatewaySettings, incarnation: Incarnation) -> Parts {
        let (events, links) = mpsc::unbounded_channel();
        let (exit, _) = watch::channel(false);
        let mesh = Mesh::new(identity(settings, incarnation), events);
        let view = Arc::new(RouterView::new(
            Arc::new(Config::default()),
            starting_refusal(),
        ));
        let endpoint = settings.store.endpoint;
        let wait = feeds::watch_wait(settings);
        let store = StoreClient::new(endpoint, Millis(settings.store.timeout_ms), wait);
        let in_flight = Arc::new(AtomicU64::new(0));
        let leaving = Arc::new(AtomicBool::new(false));
        let monitor = Arc::new(Monitor::new());

        let machine = Fleet::new(fleet_identity(settings, incarnation), incarnation.0)
            .following_registrations(feeds::max_view_age(settings));
        let (store_read_mode, read_by) = watch::channel(StoreReadMode::None);
        let fleet = FleetActor::new(FleetParts {
            machine,
            mesh: mesh.clone(),
            view: Arc::clone(&view),
            store_read_mode,
        });
        let fleet = xtra::spawn_tokio(fleet, Mailbox::unbounded());
        let domain = &settings.router.failure_domain;
        let account = prepaid::Settings::new(incarnation, &settings.router.host, domain)
            .capacity(settings.router.capacity);
        let prepaid = PrepaidActor::new(PrepaidParts {
            machine: PrepaidAccounts::new(account),
            mesh: mesh.clone(),
            store: LedgerStore::new(Arc::new(store.clone())),
            fleet: fleet.clone(),
            view: Arc::clone(&view),
        });
        let prepaid = xtra::spawn_tokio(prepaid, Mailbox::unbounded());
        let machine = Dispatcher::new(incarnation, domain, incarnation.0);
        let standings = Arc::new(RequestStandings::default());
        let dispatch = DispatchActor::new(DispatchParts {
            machine,
            fleet: fleet.clone(),
            config: view.config(),
            standings: Arc::clone(&standings),
        });
        let dispatch = xtra::spawn_tokio(dispatch, Mailbox::unbounded());

        let budgets = BudgetActor::Prepaid(prepaid.clone());
        let actors = FleetOutputs {
            budgets: budgets.clone(),
            dispatch: dispatch.clone(),
            platform: None,
            quarantines: Some(quarantine::start(store.clone(), fleet.clone())),
            exit: exit.clone(),
        };
        post(&fleet, FleetInput::Start(Box::new(actors)));
        tokio::spawn(route_links(links, fleet.clone(), budgets));
        let ticked = Ticked {
            fleet: fleet.clone(),
            prepaid: prepaid.clone(),
            dispatch: dispatch.clone(),
            in_flight: Arc::clone(&in_flight),
        };
        tokio::spawn(ticked.run());
        let registry = Registry::start(
            store.clone(),
            fleet.clone(),
            mesh.clone(),
            settings,
            incarnation,
        );
        let feeds = Feeds {
            store: store.clone(),
            fleet: fleet.clone(),
            reading: read_by,
        };
        feeds.start(settings);
        let control = Arc::new(GatewayControl {
            view: Arc::clone(&view),
            prepaid: prepaid.clone(),
            dispatch,
            leaving: Arc::clone(&leaving),
            monitor: Arc::clone(&monitor),
        });
        Parts {
            mesh,
            view,
            fleet,
            prepaid,
            control,
            registry,
            store,
            standings,
            monitor,
            in_flight,
            leaving,
            exit,
        }
    }

    /// Answers what the platform, callers and operators ask about the router.
    fn serve_questions(
        &self,
        settings: &GatewaySettings,
        readiness: TcpListener,
        directory: TcpListener,
        metrics: Option<TcpListener>,
    ) {
        let desk = Arc::new(Desk {
            view: Arc::clone(&self.view),
            leaving: Arc::clone(&self.leaving),
            own_address: settings.callers.listen,
            own_domain: settings.router.failure_domain.clone(),
            max_age: Millis(settings.callers.address_max_age_ms),
        });
        tokio::spawn(questions::serve(readiness, Arc::clone(&desk)));
        tokio::spawn(questions::serve(directory, desk));
        if let Some(listener) = metrics {
            let source = monitor::Source {
                in_flight: Arc::clone(&self.in_flight),
                store: self.store.clone(),
                standings: Arc::clone(&self.standings),
            };
            tokio::spawn(monitor::serve(listener, Arc::clone(&self.monitor), source));
        }
    }
}

/// The machines that are told that time passes.
struct Ticked {
    fleet: Address<FleetActor>,
    prepaid: Address<PrepaidActor>,
    dispatch: Address<DispatchActor>,
    in_flight: Arc<AtomicU64>,
}

impl Ticked {
    async fn run(self) {
        let mut pause = tokio::time::interval(TICK);
        pause.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u64 = 0;
        loop {
            pause.tick().await;
            ticks += 1;
            post(&self.prepaid, PrepaidInput::Tick);
            post(&self.dispatch, DispatchInput::Tick);
            if !ticks.is_multiple_of(FLEET_TICKS) {
                continue;
            }
            let count = self.in_flight.load(Ordering::Relaxed);
            post(&self.fleet, FleetInput::InFlight(count));
            if self.fleet.send(FleetInput::Tick).await.is_err() {
                return;
            }
        }
    }
}

fn identity(settings: &GatewaySettings, incarnation: Incarnation) -> LinkIdentity {
    let hello = Hello {
        host: settings.router.host.clone(),
        failure_domain: settings.router.failure_domain.clone(),
        region: settings.router.region.clone(),
        caller_address: settings.callers.listen.to_string(),
        peer_address: settings.router.peer_advertise.to_string(),
        capacity: settings.router.capacity,
        nonce: 0,
    };
    LinkIdentity {
        incarnation,
        hello,
        secret: settings.router.peer_secret.clone(),
    }
}

fn fleet_identity(settings: &GatewaySettings, incarnation: Incarnation) -> RouterIdentity {
    RouterIdentity {
        incarnation,
        host: settings.router.host.clone(),
        failure_domain: settings.router.failure_domain.clone(),
        region: settings.router.region.clone(),
        caller_address: settings.callers.listen,
        peer_address: settings.router.peer_advertise,
        capacity: settings.router.capacity,
        seeds: Vec::new(),
    }
}
