//! Connections of callers: what happens on each of them, and how they end.

mod counts;
mod state;
mod stream;
mod tracked_body;
mod tracker;

pub use counts::ConnectionCounts;
pub use state::{ConnectionEnd, ConnectionState};
pub(crate) use stream::{CallerStream, has_unread_bytes};
pub(crate) use tracked_body::TrackedBody;
pub(crate) use tracker::ConnectionTracker;
