//! TCP forwarders between processes, whose links can be cut, held and healed.

mod introduction;

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

/// Bytes forwarded at once.
const BUFFER_BYTES: usize = 16 << 10;

/// State of the link between two processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Open,
    /// Connections are closed and new ones fail.
    Cut,
    /// Connections stay and nothing passes.
    Held,
    /// Connections stay and nothing passes to the one that opened them.
    HeldBack,
    /// Bytes pass after this time, each piece by itself.
    Delayed(Millis),
}

/// Which way bytes go on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToDialer,
}

type States = BTreeMap<(String, String), LinkState>;

/// States of all links, by the names of their ends.
#[derive(Clone, Debug)]
pub struct Links(Arc<watch::Sender<States>>);

impl Default for Links {
    fn default() -> Links {
        Links::new()
    }
}

impl Links {
    /// Creates links that are all open.
    #[must_use]
    pub fn new() -> Links {
        Links(Arc::new(watch::Sender::new(States::new())))
    }

    /// Sets the state of the link between two processes, whichever end opened it.
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

/// Who opens the connections through a forwarder.
#[derive(Clone, Debug)]
pub enum Dialer {
    /// One process.
    Known(String),
    /// One of these routers; the introduction on the link says which.
    Peer(Vec<String>),
}

/// Starts a forwarder to `target`, which is called `name`, and returns its address.
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

/// Forwards one connection until an end closes it or its link is cut.
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
            let handshake = introduction::identify_dialer(
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

/// Lets bytes of one link pass while it is open.
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

    /// Waits until bytes may be read; fails if the link is cut.
    async fn wait_until_readable(&mut self) -> io::Result<()> {
        match self.state() {
            LinkState::Delayed(_) => Ok(()),
            _ => self.wait_until_writable().await,
        }
    }

    /// Waits until bytes may pass; fails if the link is cut.
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

    /// Waits for the state of any link to change.
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
