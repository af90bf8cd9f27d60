//! HTTP edge of a router: the callers' side and the backend servers' side.
//!
//! The edge parses, relays and answers; every decision is asked of a [`Control`]. An [`Edge`] serves
//! one listener of the callers' side and keeps the connections to backend servers.

mod attempt;
mod backend;
mod body;
mod caller;
mod completion;
mod config_index;
mod control;
mod edge;
mod error;
mod handler;
pub mod passthrough;
mod problem;
mod reply;
mod route;
mod service;
mod settings;
mod sse;
#[cfg(test)]
mod tests;

pub use control::{
    AddressList, AssignRequest, Assignment, CallOutcome, Control, IntentDecision, IntentRequest,
    Refusal, RefusalReason, RequestOutcome, Reservation, ReserveRequest, ServiceAnswer, Settlement,
};
pub use edge::Edge;
pub use settings::EdgeSettings;
pub use toucanchute_core::routing::{AttemptReport, BackendNotice, CrashKind, Target};
