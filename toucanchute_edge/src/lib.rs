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
mod problem;
mod reply;
mod route;
mod service;
mod settings;
mod sse;
#[cfg(test)]
mod tests;

pub use control::{
    AddressList, AssignRequest, Assignment, Control, CrashKind, IntentRequest, Intention, Outcome,
    Recorded, Refusal, RefusalReason, Report, Reservation, ReserveRequest, ServiceAnswer,
    Settlement, Target,
};
pub use edge::Edge;
pub use settings::EdgeSettings;
