//! Links between routers: one duplex WebSocket connection a pair, opened by either side.
//!
//! A link may lose, duplicate and reorder messages over its reconnects; the state machines on both
//! sides retry.

mod activity;
mod clocks;
mod connection;
mod error;
mod frame;
mod handshake;
mod mesh;
mod pending;
mod traffic;

pub(crate) use frame::Frame;
pub(crate) use handshake::LinkIdentity;
pub(crate) use mesh::{LinkEvent, Mesh, Peer};
pub(crate) use traffic::LinkCounts;
