//! Operators' command line: checks and applies configuration files, queries routers and tops up
//! budgets.

mod apply;
mod cli;
mod commands;
mod current;
mod diff;
mod error;
mod http;
mod output;
mod routers;

pub use apply::{Accepted, ApplyError, apply};
pub use cli::main;
pub use current::Current;
pub use diff::{Change, diff};
