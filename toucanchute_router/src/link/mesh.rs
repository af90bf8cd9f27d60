use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinHandle,
    time::MissedTickBehavior,
};
use toucanchute_core::prepaid::ClockSpread;
use toucanchute_proto::{
    Incarnation,
    peer::{FrameKind, Hello},
};

use super::{
    activity::LinkActivity,
    clocks::PeerClocks,
    connection::{Connection, FrameReader, FrameWriter},
    error::LinkError,
    frame::{Frame, encode},
    handshake::{self, LinkIdentity},
    pending::PendingFrames,
    traffic::{LinkCounts, Traffic},
};
use crate::clock;

/// Capacity of a link's send queue, in frames. Further frames are dropped.
const SEND_QUEUE_FRAMES: usize = 4_096;

/// Shortest delay before an address is dialed again.
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before an address is dialed again, without jitter.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(1);

/// Interval of the checks whether a link needs a keepalive and whether its peer still sends.
/// Without them, a link that a partition cut would hang until TCP retransmits, long after the
/// partition has healed.
const ACTIVITY_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// A change of a link, or a frame that arrived on it.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// The first link to a peer is open.
    Up(Peer),
    /// The last link to a peer is closed.
    Down(Incarnation),
    /// A peer sent a frame.
    Frame(Frame),
}

/// A router at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Incarnation of the router.
    pub(crate) incarnation: Incarnation,
    /// Introduction that it sent in the handshake.
    pub(crate) hello: Hello,
}

/// Handle to all links of this router with its peers.
#[derive(Clone, Debug)]
pub(crate) struct Mesh {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: LinkIdentity,
    links: Mutex<Links>,
    clocks: Mutex<PeerClocks>,
    next_link: AtomicU64,
    sent: Traffic,
    received: Traffic,
    events: mpsc::UnboundedSender<LinkEvent>,
}

#[derive(Debug, Default)]
struct Links {
    /// Open links of each peer, oldest first; no list is empty. A peer has two links for a while if
    /// both sides dialed at the same time.
    open: BTreeMap<Incarnation, Vec<Link>>,
    /// Addresses that have a task which dials them and runs the link. There is at most one task for
    /// each address.
    dialing: BTreeSet<SocketAddr>,
    /// Addresses of the live peers. A peer without a link is dialed when there is a message for it.
    peer_addresses: BTreeMap<Incarnation, SocketAddr>,
    /// Frames for peers that are being dialed.
    pending: PendingFrames,
    /// Addresses that are dialed again even if no live peer is known to have them.
    permanent: BTreeSet<SocketAddr>,
}

#[derive(Debug)]
struct Link {
    id: u64,
    tx: mpsc::Sender<Bytes>,
}

impl Mesh {
    /// Creates a mesh without links; its events go to `events`.
    pub(crate) fn new(identity: LinkIdentity, events: mpsc::UnboundedSender<LinkEvent>) -> Mesh {
        let links = Mutex::default();
        let next_link = AtomicU64::new(0);
        Mesh {
            shared: Arc::new(Shared {
                identity,
                links,
                clocks: Mutex::default(),
                next_link,
                sent: Traffic::default(),
                received: Traffic::default(),
                events,
            }),
        }
    }

    // --- opening links

    /// Accepts connections of other routers until the returned task is aborted.
    pub(crate) fn listen(&self, listener: TcpListener) -> JoinHandle<()> {
        let mesh = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(tokio::spawn(mesh.clone().accept(stream))),
                    Err(e) => {
                        log::warn!(error:% = e; "accept-failed");
                        tokio::time::sleep(MIN_REDIAL_DELAY).await;
                    }
                }
            }
        })
    }

    /// Keeps a link to the router at `address` open: dials again whenever the link is closed.
    pub(crate) fn keep_connected(&self, address: SocketAddr) {
        self.links().permanent.insert(address);
        self.connect(address);
    }

    /// Opens a link to the router at `address`, unless it is being dialed. Dials at least once, and
    /// again as long as a live peer has this address.
    pub(crate) fn connect(&self, address: SocketAddr) {
        if self.links().dialing.insert(address) {
            drop(tokio::spawn(self.clone().dial(address)));
        }
    }

    /// Replaces the addresses of live peers. A peer without a link is dialed when there is a
    /// message for it.
    pub(crate) fn set_peer_addresses(&self, addresses: BTreeMap<Incarnation, SocketAddr>) {
        self.links().peer_addresses = addresses;
    }

    async fn accept(self, stream: TcpStream) {
        let result = async {
            let conn = Connection::accept(stream).await?;
            self.run_link(conn, false).await
        };
        if let Err(e) = result.await {
            log::debug!(error:% = e; "peer-link-failed");
        }
    }

    async fn dial(self, address: SocketAddr) {
        let mut delay = MIN_REDIAL_DELAY;
        loop {
            let result = async { self.run_link(Connection::dial(address).await?, true).await };
            match result.await {
                Err(LinkError::SelfConnection) => break,
                Err(e @ LinkError::SecretMismatch { .. }) => {
                    log::error!(address:% = address, error:% = e; "peer-link-refused");
                    delay = MAX_REDIAL_DELAY;
                }
                Err(e) => {
                    log::debug!(address:% = address, error:% = e; "peer-link-failed");
                    delay = (delay * 2).min(MAX_REDIAL_DELAY);
                }
                Ok(()) => delay = MIN_REDIAL_DELAY,
            }
            let jitter = Duration::from_millis(rand::random_range(0..50));
            tokio::time::sleep(delay + jitter).await;
            if !self.should_redial(address) {
                break;
            }
        }
        self.links().dialing.remove(&address);
    }

    fn should_redial(&self, address: SocketAddr) -> bool {
        let links = self.links();
        links.permanent.contains(&address)
            || links.peer_addresses.values().any(|known| *known == address)
    }

    // --- running links

    async fn run_link(&self, mut conn: Connection, dialed: bool) -> Result<(), LinkError> {
        let (from, hello) = handshake::perform(&mut conn, &self.shared.identity).await?;
        if dialed && self.is_redundant(from) {
            drop(conn);
            self.wait_until_down(from).await;
            return Ok(());
        }
        let (tx, rx) = mpsc::channel(SEND_QUEUE_FRAMES);
        let id = self.shared.next_link.fetch_add(1, Ordering::Relaxed);
        self.add_link(from, hello, Link { id, tx });
        let Connection { writer, reader } = conn;
        let activity = LinkActivity::new(clock::now());
        let result = tokio::select! {
            result = write_frames(writer, rx, &activity) => result,
            result = self.read_frames(reader, from, &activity) => result,
            () = wait_until_lost(&activity) => Err(LinkError::Timeout),
        };
        self.remove_link(from, id);
        result
    }

    async fn read_frames(
        &self,
        mut reader: FrameReader,
        from: Incarnation,
        activity: &LinkActivity,
    ) -> Result<(), LinkError> {
        loop {
            let frame = reader.receive().await?;
            activity.received(clock::now(), frame.is_some());
            let Some(frame) = frame else { continue };
            if frame.from == from {
                self.shared.received.count(frame.len());
                self.clocks().observe(clock::now(), from, frame.steady_ms);
                let _ = self.shared.events.send(LinkEvent::Frame(frame));
            }
        }
    }

    /// Returns whether a dialed link is closed because the peer already has an open link. Of the
    /// two routers, only the one with the greater incarnation closes its dialed link.
    fn is_redundant(&self, peer: Incarnation) -> bool {
        peer < self.shared.identity.incarnation && self.links().open.contains_key(&peer)
    }

    async fn wait_until_down(&self, peer: Incarnation) {
        while self.links().open.contains_key(&peer) {
            tokio::time::sleep(MAX_REDIAL_DELAY).await;
        }
    }

    fn add_link(&self, from: Incarnation, hello: Hello, link: Link) {
        let mut links = self.links();
        let pending = links.pending.take(clock::now(), from);
        for frame in pending {
            // A full queue drops what follows, as in `send`.
            let _ = link.tx.try_send(frame);
        }
        let open = links.open.entry(from).or_default();
        open.push(link);
        if open.len() == 1 {
            log::info!(peer:% = from, peer_host = hello.host; "peer-link-up");
            let _ = self.shared.events.send(LinkEvent::Up(Peer {
                incarnation: from,
                hello,
            }));
        }
    }

    fn remove_link(&self, from: Incarnation, id: u64) {
        self.clocks().remove(from);
        let mut links = self.links();
        let Some(open) = links.open.get_mut(&from) else {
            return;
        };
        open.retain(|link| link.id != id);
        if open.is_empty() {
            links.open.remove(&from);
            log::info!(peer:% = from; "peer-link-down");
            let _ = self.shared.events.send(LinkEvent::Down(from));
        }
    }

    // --- sending

    /// Sends a message to a peer. Without a link, the peer is dialed and the message is sent when a
    /// link opens. The message is dropped if a queue is full, if the peer's address is unknown or if
    /// no link opens soon.
    pub(crate) fn send<M: Serialize>(&self, to: Incarnation, kind: FrameKind, message: &M) {
        let mut links = self.links();
        if let Some(link) = links.open.get(&to).and_then(|open| open.first()) {
            let frame = encode(self.shared.identity.incarnation, kind, message);
            self.shared.sent.count(frame.len());
            let _ = link.tx.try_send(frame);
            return;
        }
        let Some(address) = links.peer_addresses.get(&to).copied() else {
            return;
        };
        let frame = encode(self.shared.identity.incarnation, kind, message);
        let len = frame.len();
        if links.pending.push(clock::now(), to, frame) {
            self.shared.sent.count(len);
        }
        drop(links);
        self.connect(address);
    }

    /// Returns the traffic on all links since the start of the process.
    pub(crate) fn counts(&self) -> LinkCounts {
        LinkCounts {
            peers: self.links().open.len(),
            sent: self.shared.sent.read(),
            received: self.shared.received.read(),
        }
    }

    /// Returns how far the clocks of the linked peers differ from this router's clock.
    pub(crate) fn clock_spread(&self) -> ClockSpread {
        self.clocks().spread()
    }

    fn clocks(&self) -> MutexGuard<'_, PeerClocks> {
        self.shared
            .clocks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits until the peer has sent nothing for too long.
async fn wait_until_lost(activity: &LinkActivity) {
    while !activity.is_lost(clock::now()) {
        tokio::time::sleep(ACTIVITY_CHECK_INTERVAL).await;
    }
}

async fn write_frames(
    mut writer: FrameWriter,
    mut rx: mpsc::Receiver<Bytes>,
    activity: &LinkActivity,
) -> Result<(), LinkError> {
    let mut activity_check = tokio::time::interval(ACTIVITY_CHECK_INTERVAL);
    activity_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            buf = rx.recv() => match buf {
                Some(buf) => {
                    activity.message_sent(clock::now());
                    writer.send(buf).await?;
                }
                None => return Ok(()),
            },
            _ = activity_check.tick() => {
                let now = clock::now();
                if activity.is_keepalive_due(now) {
                    activity.keepalive_sent(now);
                    writer.send_keepalive().await?;
                }
            }
        }
    }
}
