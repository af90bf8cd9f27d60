//! Connections of callers: how they are accepted and served, what happens on each of them, and how
//! they end.

mod close;
mod counts;
mod listen;
mod state;
mod stream;
mod tracked_body;
mod tracker;

pub(crate) use close::UnreadBody;
pub use counts::ConnectionCounts;
pub use listen::{CallerListener, ConnectionLimits, Responder};
pub use state::{ConnectionEnd, ConnectionState};
use stream::{CallerStream, has_unread_bytes};
use tracked_body::TrackedBody;
use tracker::ConnectionTracker;
