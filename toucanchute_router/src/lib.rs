//! The process of an entry host: callers' side, backend servers' side, links to other routers and
//! the platform's client, around the state machines of `toucanchute_core`.

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
