//! Allocation of ports for processes whose addresses must be known before they start.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port that is allocated. All allocated ports are below those that the system assigns to
/// outgoing connections.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that are allocated before the sequence starts again.
const PORT_COUNT: u16 = 12_000;
/// Number of ports that one test process is expected to need.
const PORTS_PER_PROCESS: u32 = 500;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address on which no process listens. The port is not reserved.
#[must_use]
pub fn free_address() -> SocketAddr {
    let start = (process::id() * PORTS_PER_PROCESS % u32::from(PORT_COUNT)) as u16;
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
