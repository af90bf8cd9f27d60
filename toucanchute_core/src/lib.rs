//! Every decision of toucanchute, as state machines without I/O.
//!
//! A machine takes `(now: Millis, event)` and pushes actions into a vector that its caller passes
//! in. The same events give the same actions.

pub mod ledger;
pub mod money;
