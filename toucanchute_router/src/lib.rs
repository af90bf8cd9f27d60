//! The process of an entry host. It runs the state machines of `toucanchute_core` and connects them
//! to callers, backend servers, other routers and the platform.

mod actor;
mod admin;
mod cli;
mod clock;
mod control;
mod engine_poller;
mod gateway;
mod http_client;
mod keyvalue;
mod link;
mod metrics;
mod output;
mod run;
mod server;
mod view;

pub use cli::command;
pub use output::RunError;
pub use run::run;
