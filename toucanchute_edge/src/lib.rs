//! HTTP edge of a router: the callers' side and the backend servers' side.
//!
//! The edge parses, relays and answers; every decision is asked of a [`Control`].

mod control;

pub use control::{
    AddressList, AssignRequest, Assignment, Control, CrashKind, IntentRequest, Intention, Outcome,
    Refusal, RefusalReason, Report, Reservation, ReserveRequest, ServiceAnswer, Settlement, Target,
};
