//! State machines that make the decisions of toucanchute, without I/O, clocks or a global random
//! source.
//!
//! A machine takes `(now: Millis, event)` and appends actions to a vector passed in by the caller.
//! The same sequence of events always produces the same actions.

pub mod discovery;
pub mod fleet;
mod hash;
pub mod ledger;
pub mod money;
pub mod origins;
pub mod placement;
pub mod prepaid;
pub mod routing;
