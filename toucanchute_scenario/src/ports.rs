//! Ports for processes that have to know them beforehand.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// First port handed out; all are below those that the system gives to outgoing connections.
const FIRST: u16 = 20_000;
/// Number of ports handed out before they start again.
const SPAN: u16 = 12_000;
/// Ports that one test process is expected to take.
const PER_PROCESS: u32 = 500;

static TAKEN: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address that nothing listens at.
#[must_use]
pub fn free_address() -> SocketAddr {
    let start = (process::id() * PER_PROCESS % u32::from(SPAN)) as u16;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + start.wrapping_add(taken) % SPAN;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
