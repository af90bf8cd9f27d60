//! Scenarios that start the real processes on loopback, hurt them and compare what was observed.
//!
//! A scenario is a file of directives for the `datadriven` library, each followed by the facts that
//! it is expected to print; [`Runner::run`] lists the directives. Facts hold no times: a directive
//! that waits polls until a generous bound.

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
pub use process::{Process, Signal};
pub use runner::Runner;
