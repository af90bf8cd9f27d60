//! TCP forwarders between processes, which can interrupt or delay the traffic of a link.

mod handshake;

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time,
};
use toucanchute_proto::Millis;

/// Maximum number of bytes that are forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// State of the link between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Connections are closed, and new ones fail.
    Cut,
    /// Connections stay open, but nothing is forwarded.
    Held,
    /// Connections stay open, but nothing is forwarded to the side that opened them.
    HeldBack,
    /// Bytes are forwarded after a delay, which each chunk incurs separately.
    Delayed(Millis),
}

/// Direction of bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToDialer,
}

type States = BTreeMap<(String, String), LinkState>;

/// States of the links between processes, by the names of the two processes.
#[derive(Clone, Debug)]
pub struct Links(Arc<watch::Sender<States>>);

impl Default for Links {
    fn default() -> Links {
        Links::new()
    }
}

impl Links {
    /// Creates a set of links, all of which are open.
    #[must_use]
    pub fn new() -> Links {
        Links(Arc::new(watch::Sender::new(States::new())))
    }

    /// Sets the state of the link between two processes, in either order. It applies to the
    /// connections that either of them has opened.
    pub fn set(&self, one: &str, other: &str, state: LinkState) {
        self.0.send_modify(|states| {
            states.insert(link_key(one, other), state);
        });
    }

    /// Opens all links.
    pub fn heal(&self) {
        self.0.send_modify(States::clear);
    }
}

fn link_key(one: &str, other: &str) -> (String, String) {
    let (lower, upper) = if one < other {
        (one, other)
    } else {
        (other, one)
    };
    (lower.to_owned(), upper.to_owned())
}

/// Process that opens the connections through a forwarder.
#[derive(Clone, Debug)]
pub enum Dialer {
    /// The process of this name.
    Known(String),
    /// One of these routers; the first frame of the connection identifies it.
    Peer(Vec<String>),
}

/// Starts a forwarder to the process `name`, which listens on `target`, and returns the address of
/// the forwarder.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn forward(
    links: &Links,
    dialer: Dialer,
    name: &str,
    target: SocketAddr,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (links, name) = (links.clone(), name.to_owned());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let links = links.clone();
            let (dialer, name) = (dialer.clone(), name.clone());
            tokio::spawn(
                async move { forward_connection(links, dialer, name, stream, target).await },
            );
        }
    });
    Ok(address)
}

/// Forwards one connection until one side closes it or its link is cut.
async fn forward_connection(
    links: Links,
    dialer: Dialer,
    name: String,
    stream: TcpStream,
    target: SocketAddr,
) -> io::Result<()> {
    let server = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_dialer, mut to_dialer) = stream.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let dialer = match dialer {
        Dialer::Known(dialer) => dialer,
        Dialer::Peer(peers) => {
            let handshake = handshake::identify_dialer(
                &mut from_dialer,
                &mut to_dialer,
                &mut from_server,
                &mut to_server,
                &peers,
            );
            let (dialer, pending_bytes) = handshake.await?;
            let mut control = LinkControl::new(&links, &dialer, &name, Direction::ToServer);
            control.wait_until_writable().await?;
            to_server.write_all(&pending_bytes).await?;
            dialer
        }
    };
    let control = |direction| LinkControl::new(&links, &dialer, &name, direction);
    let to_server_copy = copy_bytes(from_dialer, to_server, control(Direction::ToServer));
    let to_dialer_copy = copy_bytes(from_server, to_dialer, control(Direction::ToDialer));
    tokio::select! {
        result = to_server_copy => result,
        result = to_dialer_copy => result,
    }
}

/// Delays or stops bytes in one direction of a connection according to the state of its link.
struct LinkControl {
    states: watch::Receiver<States>,
    link_key: (String, String),
    direction: Direction,
}

impl LinkControl {
    fn new(links: &Links, one: &str, other: &str, direction: Direction) -> LinkControl {
        LinkControl {
            states: links.0.subscribe(),
            link_key: link_key(one, other),
            direction,
        }
    }

    fn state(&mut self) -> LinkState {
        let states = self.states.borrow_and_update();
        states.get(&self.link_key).copied().unwrap_or_default()
    }

    /// Waits until bytes may be read. Fails if the link is cut.
    async fn wait_until_readable(&mut self) -> io::Result<()> {
        match self.state() {
            LinkState::Delayed(_) => Ok(()),
            _ => self.wait_until_writable().await,
        }
    }

    /// Waits until bytes that have been read may be forwarded. Fails if the link is cut.
    async fn wait_until_writable(&mut self) -> io::Result<()> {
        loop {
            match self.state() {
                LinkState::Open => return Ok(()),
                LinkState::Cut => return Err(io::ErrorKind::ConnectionReset.into()),
                LinkState::HeldBack if self.direction == Direction::ToServer => return Ok(()),
                LinkState::Held | LinkState::HeldBack => self.state_changed().await,
                LinkState::Delayed(delay) => {
                    time::sleep(time::Duration::from_millis(delay.0)).await;
                    return Ok(());
                }
            }
        }
    }

    /// Waits until the state of any link changes.
    async fn state_changed(&mut self) {
        if self.states.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut control: LinkControl,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        control.wait_until_readable().await?;
        let len = tokio::select! {
            len = from.read(&mut buf) => len?,
            () = control.state_changed() => continue,
        };
        if len == 0 {
            return Ok(());
        }
        control.wait_until_writable().await?;
        to.write_all(&buf[..len]).await?;
    }
}
