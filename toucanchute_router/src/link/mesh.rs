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
};
use toucanchute_proto::{
    Incarnation,
    peer::{FrameKind, Hello},
};

use super::{
    connection::{Connection, FrameReader, FrameWriter},
    error::LinkError,
    frame::{Frame, encode},
    handshake::{self, Identity},
};

/// Frames waiting to be sent on one link; further ones are dropped.
const SEND_QUEUE: usize = 4_096;

/// Shortest pause before a failed dial is repeated.
const REDIAL_MIN: Duration = Duration::from_millis(100);

/// Longest pause before a failed dial is repeated.
const REDIAL_MAX: Duration = Duration::from_secs(1);

/// Something that happened on a link.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A link to a peer is open.
    Up(Peer),
    /// The last link to a peer is gone.
    Down(Incarnation),
    /// A peer sent a message.
    Frame(Frame),
}

/// A router at the other end of a link.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// The run of its process.
    pub(crate) incarnation: Incarnation,
    /// Its introduction.
    pub(crate) hello: Hello,
}

/// All links of this router.
#[derive(Clone, Debug)]
pub(crate) struct Mesh {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    links: Mutex<Links>,
    next_link: AtomicU64,
    events: mpsc::UnboundedSender<LinkEvent>,
}

#[derive(Debug, Default)]
struct Links {
    /// At most one link a peer; a newer one takes the place of an older.
    open: BTreeMap<Incarnation, Link>,
    /// Addresses that have a dialing task; none has two.
    dialed: BTreeSet<SocketAddr>,
}

#[derive(Debug)]
struct Link {
    id: u64,
    tx: mpsc::Sender<Bytes>,
}

impl Mesh {
    /// Creates a mesh without links; its events go to `events`.
    pub(crate) fn new(identity: Identity, events: mpsc::UnboundedSender<LinkEvent>) -> Mesh {
        let links = Mutex::default();
        let next_link = AtomicU64::new(0);
        Mesh {
            shared: Arc::new(Shared {
                identity,
                links,
                next_link,
                events,
            }),
        }
    }

    // --- opening links

    /// Answers connections of other routers until the returned task is aborted.
    pub(crate) fn listen(&self, listener: TcpListener) -> JoinHandle<()> {
        let mesh = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(tokio::spawn(mesh.clone().answer(stream))),
                    Err(_) => tokio::time::sleep(REDIAL_MIN).await,
                }
            }
        })
    }

    /// Keeps a link to the router at `address`, dialing again whenever it is gone.
    pub(crate) fn connect(&self, address: SocketAddr) {
        if self.links().dialed.insert(address) {
            drop(tokio::spawn(self.clone().dial_forever(address)));
        }
    }

    async fn answer(self, stream: TcpStream) {
        let result = async {
            let conn = Connection::accept(stream).await?;
            self.run(conn, false).await
        };
        if let Err(e) = result.await {
            log::debug!(error:% = e; "peer-link-failed");
        }
    }

    async fn dial_forever(self, address: SocketAddr) {
        let mut pause = REDIAL_MIN;
        loop {
            let result = async { self.run(Connection::dial(address).await?, true).await };
            match result.await {
                Err(LinkError::Own) => return,
                Err(e @ LinkError::Secret { .. }) => {
                    log::error!(address:% = address, error:% = e; "peer-link-refused");
                    pause = REDIAL_MAX;
                }
                Err(e) => {
                    log::debug!(address:% = address, error:% = e; "peer-link-failed");
                    pause = (pause * 2).min(REDIAL_MAX);
                }
                Ok(()) => pause = REDIAL_MIN,
            }
            let jitter = Duration::from_millis(rand::random_range(0..50));
            tokio::time::sleep(pause + jitter).await;
        }
    }

    // --- running links

    async fn run(&self, mut conn: Connection, dialed: bool) -> Result<(), LinkError> {
        let (from, hello) = handshake::shake(&mut conn, &self.shared.identity).await?;
        if dialed && self.is_redundant(from) {
            drop(conn);
            self.wait_until_down(from).await;
            return Ok(());
        }
        let (tx, rx) = mpsc::channel(SEND_QUEUE);
        let id = self.shared.next_link.fetch_add(1, Ordering::Relaxed);
        self.links().open.insert(from, Link { id, tx });
        log::info!(peer:% = from, peer_host = hello.host; "peer-link-up");
        let _ = self.shared.events.send(LinkEvent::Up(Peer {
            incarnation: from,
            hello,
        }));
        let Connection { writer, reader } = conn;
        let result = tokio::select! {
            result = write_frames(writer, rx) => result,
            result = self.read_frames(reader, from) => result,
        };
        if self.remove(from, id) {
            log::info!(peer:% = from; "peer-link-down");
            let _ = self.shared.events.send(LinkEvent::Down(from));
        }
        result
    }

    async fn read_frames(
        &self,
        mut reader: FrameReader,
        from: Incarnation,
    ) -> Result<(), LinkError> {
        loop {
            let frame = reader.receive().await?;
            if frame.from == from {
                let _ = self.shared.events.send(LinkEvent::Frame(frame));
            }
        }
    }

    /// Of two links between a pair, the one that the lower incarnation opened stays.
    fn is_redundant(&self, peer: Incarnation) -> bool {
        peer < self.shared.identity.incarnation && self.links().open.contains_key(&peer)
    }

    async fn wait_until_down(&self, peer: Incarnation) {
        while self.links().open.contains_key(&peer) {
            tokio::time::sleep(REDIAL_MAX).await;
        }
    }

    fn remove(&self, peer: Incarnation, id: u64) -> bool {
        let mut links = self.links();
        let current = links.open.get(&peer).is_some_and(|link| link.id == id);
        if current {
            links.open.remove(&peer);
        }
        current
    }

    // --- sending

    /// Sends a message to a peer; it is dropped if there is no link or its queue is full.
    pub(crate) fn send<M: Serialize>(&self, to: Incarnation, kind: FrameKind, message: &M) {
        let links = self.links();
        let Some(link) = links.open.get(&to) else {
            return;
        };
        let _ = link
            .tx
            .try_send(encode(self.shared.identity.incarnation, kind, message));
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn write_frames(
    mut writer: FrameWriter,
    mut rx: mpsc::Receiver<Bytes>,
) -> Result<(), LinkError> {
    while let Some(buf) = rx.recv().await {
        writer.send(buf).await?;
    }
    Ok(())
}
