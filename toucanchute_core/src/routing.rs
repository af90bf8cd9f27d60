//! Chooses backend servers for requests and refuses work that cannot start in time.
//!
//! Each router has one [`Dispatcher`], a state machine that takes [`Event`]s and returns
//! [`Action`]s.

mod action;
mod attempts;
mod availability;
mod believed_load;
mod cache;
mod choose;
mod cold;
mod configure;
mod dispatch;
mod dispatcher;
mod evacuation;
mod event;
mod fault;
mod health;
mod hedge;
mod limit;
mod loads;
mod notices;
mod pool;
mod queue;
mod rate_limit;
mod region;
mod replica;
mod retry;
mod software;
mod suspects;
#[cfg(test)]
mod tests;
mod unanswered;

pub use action::{Action, BackendState, RefusalReason};
pub use cold::ColdCause;
pub use dispatcher::Dispatcher;
pub use event::{
    AttemptReport, BackendNotice, CacheChange, CacheEvent, CrashKind, Event, FleetRouter,
    FleetView, RouterState, RoutingRequest, Target,
};
pub use region::RegionNeed;
pub use software::SoftwareNeed;
pub use suspects::{part_digest, request_digest};
