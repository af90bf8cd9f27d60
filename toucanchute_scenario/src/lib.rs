//! Scenarios that start the real processes on loopback, inject faults and check the results.
//!
//! A scenario is a file of directives for the `datadriven` library, each followed by its expected
//! output; [`Runner::run`] lists the directives. The output contains no times: a directive that
//! waits for a condition polls it, with a generous timeout.

mod answer;
mod audit;
mod caller;
mod cluster;
mod error;
mod http_client;
mod link;
mod load;
mod ports;
mod process;
mod runner;

pub use error::ScenarioError;
pub use link::{Dialer, LinkState, Links, forward};
pub use ports::free_address;
pub use process::{Process, Signal, signal_all};
pub use runner::Runner;
