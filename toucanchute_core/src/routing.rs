//! Chooses backend servers for requests and refuses work that cannot start in time.
//!
//! [`Dispatcher`] is the machine; a router has one.

mod action;
mod dispatcher;
mod event;

pub use action::{Action, RefusalReason};
pub use dispatcher::Dispatcher;
pub use event::{Assign, CacheChange, CacheEvent, CrashKind, Event, Report, Target};
