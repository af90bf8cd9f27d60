use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use snafu::ResultExt;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};
use toucanchute_core::{
    fleet::{Fleet, RouterIdentity, StoreReadMode},
    money,
    placement::FULL_SHARE,
    routing::Dispatcher,
};
use toucanchute_edge::{Edge, EdgeSettings, Refusal, RefusalOutcome, RefusalReason};
use toucanchute_proto::{
    Incarnation, Millis,
    config::Config,
    fleet::{Member, MemberState},
    peer::{FrameKind, Hello},
    settings::RouterSettings,
};
use toucanchute_store::{Client, ClientSettings, HostListClient};
use xtra::{Mailbox, prelude::*};

use crate::{
    actor::{
        BudgetActor, DispatchActor, DispatchInput, DispatchParts, FleetActor, FleetInput,
        FleetOutputs, FleetParts, MoneyActor, MoneyInput, MoneyParts, OrdersActor, OrdersInput,
        post,
    },
    admin::{AdminApi, CounterSources, OwnHost},
    control::{ControlParts, RouterControl},
    engine_poller::EnginePoller,
    gateway::StreamCopies,
    http_client::HttpClient,
    keyvalue::{LeaseStore, LedgerStore, PlatformReader, PlatformReaderParts},
    link::{LinkEvent, LinkIdentity, Mesh, Peer},
    metrics::Metrics,
    output::{BindSnafu, MetricsSnafu, RunError, SignalSnafu},
    view::RouterView,
};

/// Time between two ticks of the money actor. The actor sends itself an earlier tick whenever its
/// state machine requests one.
const MONEY_TICK: Duration = Duration::from_millis(50);

/// Time between two ticks of the dispatch actor, which does nothing in most of them.
const DISPATCH_TICK: Duration = Duration::from_millis(20);
const _: () = assert!(DISPATCH_TICK.as_millis() as u64 <= Dispatcher::MAX_TICK_INTERVAL.0);

/// Time between two ticks of the orders actor.
const ORDERS_TICK: Duration = Duration::from_millis(500);

/// Time between two ticks of the fleet actor.
const FLEET_TICK: Duration = Duration::from_millis(Fleet::TICK.0);

/// Runs a router until its graceful shutdown is complete.
pub(crate) async fn serve(
    settings: RouterSettings,
    incarnation: Incarnation,
) -> Result<(), RunError> {
    let own = OwnHost {
        host: settings.router.host.clone(),
        failure_domain: settings.router.failure_domain.clone(),
        caller_address: settings.router.advertise,
        peer_address: settings.router.peer_advertise,
        incarnation,
    };
    let metrics = Metrics::new(settings.metrics.statsd, &own.host).context(MetricsSnafu)?;
    let callers = bind(settings.router.listen).await?;
    let peers = bind(settings.router.peer_listen).await?;
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;

    let (exit, mut exited) = watch::channel(false);
    let actors = Actors::start(&settings, &own, metrics.clone(), exit);
    actors.mesh.listen(peers);
    for address in &settings.peers.addresses {
        if *address != own.peer_address {
            actors.mesh.keep_connected(*address);
        }
    }
    log::info!(listen:% = settings.router.listen; "router-started");

    let fleet = actors.fleet.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("drain-requested");
        post(&fleet, FleetInput::Drain);
    });
    let edge = Edge::new(Arc::new(actors.control), edge_settings(&settings));
    let has_left = async move { drop(exited.wait_for(|left| *left).await) };
    edge.serve(callers, has_left).await;
    log::info!("router-left");
    log::logger().flush();
    Ok(())
}

/// The links, the fleet actor and the HTTP edge's control of a running router.
struct Actors {
    mesh: Mesh,
    fleet: Address<FleetActor>,
    control: RouterControl,
}

impl Actors {
    fn start(
        settings: &RouterSettings,
        own: &OwnHost,
        metrics: Metrics,
        exit: watch::Sender<bool>,
    ) -> Actors {
        let (events, links) = mpsc::unbounded_channel();
        let mesh = Mesh::new(link_identity(settings, own), events);
        let view = Arc::new(RouterView::new(
            Arc::new(Config::default()),
            starting_refusal(),
        ));
        let client = Arc::new(Client::new(client_settings(settings)));
        let in_flight = Arc::new(AtomicU64::new(0));

        let fleet = {
            let machine = Fleet::new(fleet_identity(settings, own), own.incarnation.0);
            let parts = FleetParts {
                machine,
                mesh: mesh.clone(),
                view: Arc::clone(&view),
                store_read_mode: watch::channel(StoreReadMode::None).0,
            };
            xtra::spawn_tokio(FleetActor::new(parts), Mailbox::unbounded())
        };
        let money = {
            let seed = own.incarnation.0;
            let parts = MoneyParts {
                settings: money::Settings::new(own.incarnation, &own.failure_domain, seed),
                mesh: mesh.clone(),
                store: LedgerStore::new(Arc::clone(&client)),
                fleet: fleet.clone(),
            };
            xtra::spawn_tokio(MoneyActor::new(parts), Mailbox::unbounded())
        };
        let dispatch = {
            let machine = Dispatcher::new(own.incarnation, &own.failure_domain, own.incarnation.0);
            let actor = DispatchActor::new(DispatchParts {
                machine,
                fleet: fleet.clone(),
                mesh: mesh.clone(),
                host: own.host.clone(),
                capacity: 0,
                config: view.config(),
                standings: Arc::default(),
                status: Arc::default(),
                origins: None,
            });
            xtra::spawn_tokio(actor, Mailbox::unbounded())
        };
        let orders = {
            let leases = LeaseStore::new(Arc::clone(&client), own.incarnation);
            let actor = OrdersActor::new(Arc::clone(&view), leases, HttpClient::new());
            xtra::spawn_tokio(actor, Mailbox::unbounded())
        };
        let timeout = Millis(settings.platform.timeout_ms);
        let hosts = Arc::new(HostListClient::new(vec![settings.platform.hosts], timeout));
        let counters = CounterSources {
            mesh: mesh.clone(),
            client: Arc::clone(&client),
            hosts: Arc::clone(&hosts),
        };
        let platform = PlatformReader::start(PlatformReaderParts {
            client,
            hosts,
            fleet: fleet.clone(),
        });
        let outputs = FleetOutputs {
            budgets: BudgetActor::Ledger(money.clone()),
            dispatch: dispatch.clone(),
            platform: Some(platform),
            quarantines: None,
            exit,
        };
        post(&fleet, FleetInput::Start(Box::new(outputs)));

        let poller = EnginePoller {
            view: Arc::clone(&view),
            fleet: fleet.clone(),
            dispatch: dispatch.clone(),
            http: HttpClient::new(),
        };
        tokio::spawn(poller.run());
        tokio::spawn(forward_link_events(
            links,
            fleet.clone(),
            BudgetActor::Ledger(money.clone()),
            dispatch.clone(),
            None,
        ));
        tokio::spawn(run_ticks(MONEY_TICK, money.clone(), || MoneyInput::Tick));
        tokio::spawn(run_ticks(DISPATCH_TICK, dispatch.clone(), || {
            DispatchInput::Tick
        }));
        tokio::spawn(run_fleet_ticks(
            fleet.clone(),
            Arc::clone(&in_flight),
            metrics.clone(),
        ));

        tokio::spawn(run_ticks(ORDERS_TICK, orders.clone(), || OrdersInput::Tick));

        let admin = AdminApi {
            counters,
            orders,
            own: own.clone(),
            view: Arc::clone(&view),
            money: money.clone(),
            fleet: fleet.clone(),
            in_flight: Arc::clone(&in_flight),
        };
        let parts = ControlParts {
            view,
            money,
            dispatch,
            admin,
            metrics,
            in_flight,
        };
        Actors {
            mesh,
            fleet,
            control: RouterControl::new(parts),
        }
    }
}

// --- tasks

/// Forwards link events and received frames to the actors that handle them. Without `copies` the router holds
/// none of what began streams.
pub(crate) async fn forward_link_events(
    mut links: mpsc::UnboundedReceiver<LinkEvent>,
    fleet: Address<FleetActor>,
    budgets: BudgetActor,
    dispatch: Address<DispatchActor>,
    copies: Option<Arc<StreamCopies>>,
) {
    while let Some(event) = links.recv().await {
        match event {
            LinkEvent::Up(peer) => post(&fleet, FleetInput::PeerUp(alive_member(peer))),
            LinkEvent::Down(from) => post(&fleet, FleetInput::PeerDown(from)),
            LinkEvent::Frame(frame) => match frame.kind {
                FrameKind::Money | FrameKind::Prepaid => budgets.receive(&frame),
                FrameKind::Fleet => match frame.message() {
                    Ok(message) => post(&fleet, FleetInput::Message(frame.from, message)),
                    Err(e) => log::warn!(peer:% = frame.from, error:% = e; "frame-malformed"),
                },
                FrameKind::Permits => match frame.message() {
                    Ok(message) => {
                        post(&dispatch, DispatchInput::PermitMessage(frame.from, message));
                    }
                    Err(e) => log::warn!(peer:% = frame.from, error:% = e; "frame-malformed"),
                },
                FrameKind::Streams => match (frame.message(), &copies) {
                    (Ok(message), Some(copies)) => copies.receive(frame.from, message),
                    (Ok(_), None) => {}
                    (Err(e), _) => log::warn!(peer:% = frame.from, error:% = e; "frame-malformed"),
                },
                FrameKind::Hello | FrameKind::Proof => {}
            },
        }
    }
}

/// Sends a tick to an actor in each period, but never before it has handled the previous one.
async fn run_ticks<A, M>(period: Duration, actor: Address<A>, message: fn() -> M)
where
    A: Handler<M>,
    M: Send + 'static,
{
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(message()).await.is_err() {
            return;
        }
    }
}

/// Reports the number of requests in progress to the metrics and to the fleet actor in each period,
/// and sends the actor a tick.
async fn run_fleet_ticks(fleet: Address<FleetActor>, in_flight: Arc<AtomicU64>, metrics: Metrics) {
    let mut interval = tokio::time::interval(FLEET_TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let count = in_flight.load(std::sync::atomic::Ordering::Relaxed);
        metrics.set_in_flight(count);
        post(&fleet, FleetInput::InFlight(count));
        if fleet.send(FleetInput::Tick).await.is_err() {
            return;
        }
    }
}

// --- settings and conversions

/// Listens on `address`.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .context(BindSnafu { address })
}

fn link_identity(settings: &RouterSettings, own: &OwnHost) -> LinkIdentity {
    let hello = Hello {
        host: own.host.clone(),
        failure_domain: own.failure_domain.clone(),
        region: settings.router.region.clone(),
        caller_address: own.caller_address.to_string(),
        peer_address: own.peer_address.to_string(),
        capacity: 0,
        bandwidth: 0,
        nonce: 0,
    };
    let secret = settings.router.peer_secret.clone();
    LinkIdentity {
        incarnation: own.incarnation,
        hello,
        secret,
    }
}

fn fleet_identity(settings: &RouterSettings, own: &OwnHost) -> RouterIdentity {
    RouterIdentity {
        incarnation: own.incarnation,
        host: own.host.clone(),
        failure_domain: own.failure_domain.clone(),
        region: settings.router.region.clone(),
        caller_address: own.caller_address,
        peer_address: own.peer_address,
        capacity: 0,
        bandwidth: 0,
        seeds: settings.peers.addresses.clone(),
    }
}

/// Converts a linked peer into a member that is alive.
pub(crate) fn alive_member(peer: Peer) -> Member {
    Member {
        incarnation: peer.incarnation,
        host: peer.hello.host,
        failure_domain: peer.hello.failure_domain,
        region: peer.hello.region,
        caller_address: peer.hello.caller_address,
        peer_address: peer.hello.peer_address,
        state: MemberState::Alive,
        update: 0,
        outage: false,
        capacity: peer.hello.capacity,
        bandwidth: peer.hello.bandwidth,
        list_share: FULL_SHARE,
    }
}

fn client_settings(settings: &RouterSettings) -> ClientSettings {
    let mut client = ClientSettings::new(settings.platform.endpoints.clone());
    client.timeout = Millis(settings.platform.timeout_ms);
    client
}

fn edge_settings(settings: &RouterSettings) -> EdgeSettings {
    EdgeSettings {
        header_timeout: Millis(settings.limits.header_timeout_ms),
        body_timeout: Millis(settings.limits.body_timeout_ms),
        max_header_bytes: usize::try_from(settings.limits.max_header_bytes).unwrap_or(usize::MAX),
        max_connections: usize::try_from(settings.limits.connections).unwrap_or(usize::MAX),
        operator_token_sha256: settings.router.operator_token_sha256.clone(),
        ..EdgeSettings::default()
    }
}

/// Returns the refusal of new requests while the router is starting.
pub(crate) fn starting_refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::Starting,
        outcome: RefusalOutcome::NothingSent,
        retry_after: Some(Millis(1_000)),
        elsewhere: None,
    }
}
