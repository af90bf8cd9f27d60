//! The decisions of toucanchute as state machines without I/O, clock or global random source.
//!
//! A machine takes `(now: Millis, event)` and pushes actions into a vector that its caller passes
//! in. The same events give the same actions.

pub mod discovery;
pub mod fleet;
mod hash;
pub mod ledger;
pub mod money;
pub mod prepaid;
pub mod routing;
