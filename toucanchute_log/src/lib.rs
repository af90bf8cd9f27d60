//! Event log of a process: one line of key=value pairs for each event, with a hybrid logical
//! timestamp so that `toucanchute-timeline` can order the events of all processes.
//!
//! Events are logged with the macros of the `log` crate. The message is the name of the event:
//!
//! ```
//! use toucanchute_log::LogBuilder;
//!
//! LogBuilder::new("router").host("bilbao-1").install().unwrap();
//! log::info!(request = "r-1", tokens = 12; "request-settled");
//! ```

mod builder;
mod clock;
mod line;
mod queue;
mod rate_limiter;

pub use builder::{InstallError, LogBuilder};
pub use clock::{
    CLOCK_HEADER, HybridClock, HybridTimestamp, now, observe, steady_clock_ms, wall_clock_ms,
};
pub use line::{KeyValues, quote};
pub use queue::{dropped_lines, flush};
