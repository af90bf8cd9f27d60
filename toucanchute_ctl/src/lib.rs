//! Operators' command line: checks and applies configuration files, asks routers for statements and
//! tops budgets up.

mod cli;
mod commands;
mod diff;
mod error;
mod http;
mod output;
mod routers;

pub use cli::main;
pub use diff::{Change, diff};
