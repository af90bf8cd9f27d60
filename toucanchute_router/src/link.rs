//! Links between routers. Each pair of routers has one duplex WebSocket connection, which either
//! side may open.
//!
//! Messages may be lost, duplicated or reordered when a link is opened again. The state machines on
//! both sides retry.

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
