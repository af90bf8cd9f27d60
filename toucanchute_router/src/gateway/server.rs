use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinSet,
    time::MissedTickBehavior,
};
use toucanchute_core::{
    fleet::{Fleet, RouterIdentity, StoreReadMode},
    placement::HostCapacity,
    prepaid::{self, PrepaidAccounts},
    routing::Dispatcher,
};
use toucanchute_edge::{
    ConnectionCounts,
    passthrough::{Gateway, PlannedStop},
};
use toucanchute_platform::{PlatformDialect, StoreClient};
use toucanchute_proto::{
    Incarnation, Millis, config::Config, peer::Hello, settings::GatewaySettings,
};
use xtra::{Mailbox, prelude::*};

use super::{
    control::GatewayControl,
    directory::{self, DirectoryService},
    host_link::HostLink,
    metrics::{self, GatewayMetrics},
    quarantine,
    router_registry::RouterRegistry,
    shutdown,
    signals::Signals,
    store_reader::{self, StoreReader},
    stream_copies::StreamCopies,
    stream_origins::StreamOriginKeeper,
};
use crate::{
    actor::{
        BudgetActor, DispatchActor, DispatchInput, DispatchParts, FleetActor, FleetInput,
        FleetOutputs, FleetParts, PrepaidActor, PrepaidInput, PrepaidParts, RequestStandings,
        RoutingStatus, post,
    },
    keyvalue::LedgerStore,
    link::{LinkIdentity, Mesh},
    output::RunError,
    server::{bind, forward_link_events, starting_refusal},
    view::RouterView,
};

/// Time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(Dispatcher::MAX_TICK_INTERVAL.0);

/// Number of these ticks per tick of the fleet actor.
const TICKS_PER_FLEET_TICK: u64 = Fleet::TICK.0 / TICK.as_millis() as u64;

/// How long the process waits at its end for the servers of readiness checks, address lookups and
/// metrics to answer what has arrived. It is shorter than what is left of the grace period then.
const HTTP_CLOSE_TIME: Duration = Duration::from_millis(150);

/// Runs a gateway until its shutdown is complete.
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
    let metrics_listener = match settings.monitor.listen {
        Some(address) => Some(bind(address).await?),
        None => None,
    };

    let running = RunningGateway::start(&settings, incarnation);
    running.mesh.listen(peers);
    let (close_servers, servers_ended) = watch::channel(false);
    let listeners = HttpListeners {
        readiness,
        directory,
        metrics: metrics_listener,
        ended: servers_ended,
    };
    let mut http_servers = running.start_http_servers(&settings, listeners);
    tokio::spawn(shutdown::reload_on_hangup(signals.hangup, path));
    log::info!(listen:% = settings.callers.listen; "gateway-started");

    let grace = Duration::from_millis(settings.leave.grace_ms);
    let (end_now, out_of_time) = watch::channel(false);
    let planned = shutdown::PlannedShutdown {
        fleet: running.fleet.clone(),
        prepaid: running.prepaid.clone(),
        view: Arc::clone(&running.view),
        stop: running.stop.clone(),
        closing: running.closing.clone(),
        out_of_time: end_now,
        grace,
    };
    tokio::spawn(planned.run_on_signal(signals.terminate, signals.interrupt));
    let connections = settings.callers.connections as usize;
    let in_flight = Arc::clone(&running.in_flight);
    let control = Arc::clone(&running.control);
    let gateway = Gateway::new(control, PlatformDialect, in_flight, connections)
        .connection_counts(Arc::clone(&running.connections));
    let stopped = async {
        let drained = running.exit.subscribe();
        let close_quiet = async {
            tokio::select! {
                () = shutdown::requested(drained.clone()) => {}
                () = shutdown::requested(running.closing.subscribe()) => {}
            }
        };
        let closing = running.closing.subscribe();
        let refusing = shutdown::refusing_started(running.stop.subscribe(), closing);
        gateway
            .serve_in_stages(callers, refusing, close_quiet)
            .await;
        shutdown::requested(drained).await;
    };
    tokio::select! {
        () = stopped => {}
        () = shutdown::requested(out_of_time) => {}
    }
    running.connections.log_process_end();
    close_servers.send_replace(true);
    let servers_closed = async {
        let closed = async { while http_servers.join_next().await.is_some() {} };
        // Connections that are still open then end with the process.
        drop(tokio::time::timeout(HTTP_CLOSE_TIME, closed).await);
    };
    tokio::join!(running.registry.remove_record(), servers_closed);
    log::info!(calls:? = running.store.counts(); "store-calls");
    log::info!(in_flight = running.in_flight.load(Ordering::Relaxed); "gateway-left");
    Ok(())
}

/// The actors, links and shared state of a running gateway.
struct RunningGateway {
    mesh: Mesh,
    view: Arc<RouterView>,
    fleet: Address<FleetActor>,
    prepaid: Address<PrepaidActor>,
    control: Arc<GatewayControl>,
    registry: RouterRegistry,
    store: StoreClient,
    standings: Arc<RequestStandings>,
    status: Arc<RoutingStatus>,
    metrics: Arc<GatewayMetrics>,
    /// Requests in progress.
    in_flight: Arc<AtomicU64>,
    /// Connections of callers.
    connections: Arc<ConnectionCounts>,
    host_link: Arc<HostLink>,
    /// Set to the times of the planned stop when it begins.
    stop: watch::Sender<Option<PlannedStop>>,
    /// Set to true when no request is in progress and all accounts are handed on.
    exit: watch::Sender<bool>,
    /// Set to true when quiet connections have to be closed and waiting requests refused.
    closing: watch::Sender<bool>,
}

impl RunningGateway {
    fn start(settings: &GatewaySettings, incarnation: Incarnation) -> RunningGateway {
        let (events, links) = mpsc::unbounded_channel();
        let (exit, _) = watch::channel(false);
        let (closing, _) = watch::channel(false);
        let (stop, _) = watch::channel(None);
        let mesh = Mesh::new(link_identity(settings, incarnation), events);
        let view = Arc::new(RouterView::new(
            Arc::new(Config::default()),
            starting_refusal(),
        ));
        let endpoint = settings.store.endpoint;
        let timeout = store_reader::watch_timeout(settings);
        let store = StoreClient::new(endpoint, Millis(settings.store.timeout_ms), timeout);
        let in_flight = Arc::new(AtomicU64::new(0));
        let metrics = Arc::new(GatewayMetrics::new());
        let connections = Arc::<ConnectionCounts>::default();
        let capacity = HostCapacity {
            processor: settings.router.capacity,
            bandwidth: settings.router.bandwidth,
        };
        let host_link = HostLink::new(capacity, Arc::clone(&connections));
        let host_link = Arc::new(host_link);

        let machine = Fleet::new(fleet_identity(settings, incarnation), incarnation.0)
            .following_registrations(store_reader::max_view_age(settings));
        let (store_read_mode, read_mode) = watch::channel(StoreReadMode::None);
        let fleet = FleetActor::new(FleetParts {
            machine,
            mesh: mesh.clone(),
            view: Arc::clone(&view),
            store_read_mode,
        });
        let fleet = xtra::spawn_tokio(fleet, Mailbox::unbounded());
        let failure_domain = &settings.router.failure_domain;
        let prepaid_settings =
            prepaid::Settings::new(incarnation, &settings.router.host, failure_domain)
                .capacity(settings.router.capacity);
        let prepaid = PrepaidActor::new(PrepaidParts {
            machine: PrepaidAccounts::new(prepaid_settings),
            mesh: mesh.clone(),
            store: LedgerStore::new(Arc::new(store.clone())),
            store_era: store.eras(),
            fleet: fleet.clone(),
            view: Arc::clone(&view),
        });
        let prepaid = xtra::spawn_tokio(prepaid, Mailbox::unbounded());
        let machine = Dispatcher::new(incarnation, failure_domain, incarnation.0);
        let standings = Arc::new(RequestStandings::default());
        let status = Arc::new(RoutingStatus::default());
        let copies = Arc::new(StreamCopies::over(mesh.clone()));
        let host = &settings.router.host;
        let origins =
            StreamOriginKeeper::start(store.clone(), host, store.eras(), Arc::clone(&copies));
        let dispatch = DispatchActor::new(DispatchParts {
            machine,
            origins: Some(Arc::clone(&origins)),
            fleet: fleet.clone(),
            mesh: mesh.clone(),
            host: settings.router.host.clone(),
            capacity: settings.router.capacity,
            config: view.config(),
            standings: Arc::clone(&standings),
            status: Arc::clone(&status),
        });
        let dispatch = xtra::spawn_tokio(dispatch, Mailbox::unbounded());

        let budgets = BudgetActor::Prepaid(prepaid.clone());
        let outputs = FleetOutputs {
            budgets: budgets.clone(),
            dispatch: dispatch.clone(),
            platform: None,
            quarantines: Some(quarantine::start(
                store.clone(),
                store.eras(),
                fleet.clone(),
            )),
            exit: exit.clone(),
        };
        post(&fleet, FleetInput::Start(Box::new(outputs)));
        tokio::spawn(forward_link_events(
            links,
            fleet.clone(),
            budgets,
            dispatch.clone(),
            Some(copies),
        ));
        let targets = TickTargets {
            fleet: fleet.clone(),
            prepaid: prepaid.clone(),
            dispatch: dispatch.clone(),
            in_flight: Arc::clone(&in_flight),
            host_link: Arc::clone(&host_link),
            mesh: mesh.clone(),
        };
        tokio::spawn(targets.run_ticks());
        let registry = RouterRegistry::start(
            store.clone(),
            fleet.clone(),
            mesh.clone(),
            settings,
            incarnation,
        );
        let reader = StoreReader {
            store: store.clone(),
            fleet: fleet.clone(),
            read_mode,
        };
        reader.start(settings);
        let control = Arc::new(GatewayControl {
            view: Arc::clone(&view),
            prepaid: prepaid.clone(),
            dispatch,
            stop: stop.subscribe(),
            closing: closing.subscribe(),
            origins,
            metrics: Arc::clone(&metrics),
            host_link: Arc::clone(&host_link),
        });
        RunningGateway {
            mesh,
            view,
            fleet,
            prepaid,
            control,
            registry,
            store,
            standings,
            status,
            metrics,
            in_flight,
            connections,
            host_link,
            stop,
            exit,
            closing,
        }
    }

    /// Starts the HTTP servers for readiness checks, address lookups and, if there is a listener
    /// for them, metrics.
    fn start_http_servers(
        &self,
        settings: &GatewaySettings,
        listeners: HttpListeners,
    ) -> JoinSet<()> {
        let service = Arc::new(DirectoryService {
            view: Arc::clone(&self.view),
            stop: self.stop.subscribe(),
            host_link: Arc::clone(&self.host_link),
            own_address: settings.callers.listen,
            own_capacity: HostCapacity {
                processor: settings.router.capacity,
                bandwidth: settings.router.bandwidth,
            },
            own_failure_domain: settings.router.failure_domain.clone(),
            own_region: settings.router.region.clone(),
            address_max_age: Millis(settings.callers.address_max_age_ms),
        });
        let mut servers = JoinSet::new();
        let ended = || shutdown::requested(listeners.ended.clone());
        servers.spawn(directory::serve(
            listeners.readiness,
            Arc::clone(&service),
            ended(),
        ));
        servers.spawn(directory::serve(listeners.directory, service, ended()));
        if let Some(listener) = listeners.metrics {
            let sources = metrics::MetricSources {
                in_flight: Arc::clone(&self.in_flight),
                connections: Arc::clone(&self.connections),
                host_link: Arc::clone(&self.host_link),
                store: self.store.clone(),
                standings: Arc::clone(&self.standings),
                status: Arc::clone(&self.status),
            };
            let metrics = Arc::clone(&self.metrics);
            servers.spawn(metrics::serve(listener, metrics, sources, ended()));
        }
        servers
    }
}

/// Listeners of the HTTP servers beside the one for callers.
struct HttpListeners {
    readiness: TcpListener,
    directory: TcpListener,
    metrics: Option<TcpListener>,
    /// Becomes true when the servers have to end.
    ended: watch::Receiver<bool>,
}

/// Actors that receive ticks.
struct TickTargets {
    fleet: Address<FleetActor>,
    prepaid: Address<PrepaidActor>,
    dispatch: Address<DispatchActor>,
    in_flight: Arc<AtomicU64>,
    host_link: Arc<HostLink>,
    /// Source of the traffic on links to other routers.
    mesh: Mesh,
}

impl TickTargets {
    async fn run_ticks(self) {
        let mut interval = tokio::time::interval(TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u64 = 0;
        loop {
            let due = interval.tick().await;
            ticks += 1;
            if let Some(share) = self.host_link.measure(due.elapsed(), self.mesh.counts()) {
                post(&self.fleet, FleetInput::ListShare(share));
            }
            post(&self.prepaid, PrepaidInput::Tick);
            post(&self.dispatch, DispatchInput::Tick);
            if !ticks.is_multiple_of(TICKS_PER_FLEET_TICK) {
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

fn link_identity(settings: &GatewaySettings, incarnation: Incarnation) -> LinkIdentity {
    let hello = Hello {
        host: settings.router.host.clone(),
        failure_domain: settings.router.failure_domain.clone(),
        region: settings.router.region.clone(),
        caller_address: settings.callers.listen.to_string(),
        peer_address: settings.router.peer_advertise.to_string(),
        capacity: settings.router.capacity,
        bandwidth: settings.router.bandwidth,
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
        bandwidth: settings.router.bandwidth,
        seeds: Vec::new(),
    }
}
