//! HTTP edge of a router: the callers' side and the backend servers' side.
//!
//! The edge parses requests, relays them to backend servers and sends the responses; every decision
//! is made by a [`Control`]. An [`Edge`] serves one listener for callers and pools the connections
//! to backend servers.

mod attempt;
mod backend;
mod body;
mod caller;
mod completion;
mod config_index;
mod connection;
mod control;
mod edge;
mod error;
mod handler;
pub mod passthrough;
mod problem;
mod reply;
mod route;
mod run_record;
mod service;
mod settings;
mod sse;
#[cfg(test)]
mod tests;

pub use connection::{
    CallerListener, ConnectionCounts, ConnectionEnd, ConnectionLimits, ConnectionState, Responder,
};
pub use control::{
    AddressList, AssignRequest, Assignment, CallOutcome, Control, IntentDecision, IntentRequest,
    Refusal, RefusalOutcome, RefusalReason, RequestOutcome, Reservation, ReserveRequest,
    ServiceAnswer, Settlement,
};
pub use edge::Edge;
pub use run_record::{NotRun, RunRecord};
pub use settings::EdgeSettings;
pub use toucanchute_core::routing::{AttemptReport, BackendNotice, CrashKind, Target};
