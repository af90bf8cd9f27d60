//! Spending of prepaid totals whose answers reach callers before they are billed.
//!
//! Each budget is an account: a record in the store and, at any time, one router that spends from
//! it, its owner. Routers ask the owner for the worst case of each request and tell it afterwards
//! what was not used. Two bounds keep a lost owner from being spent twice:
//!
//! - The record's `drawn` is never exceeded. The owner raises it ahead of need, so that it can go on
//!   while the store is away.
//! - Below `drawn`, the owner spends no further than a mark that enough witnesses have acknowledged.
//!   A router that takes the account over claims it in the store, fences the witnesses and goes on
//!   from the highest mark; if too many are gone, from `drawn`.
//!
//! [`Prepaid`] decides, its caller does: it is told events and answers with actions.

mod account;
mod action;
mod desk;
mod draw;
mod event;
mod fault;
mod leave;
mod machine;
mod marks;
mod owner;
mod rate;
mod record;
mod takeover;
mod witness;

pub use action::{Action, CloseCause, Note, Refusal, RefusalReason};
pub use event::{CallId, Event, Peer, Usage};
pub use fault::Fault;
pub use machine::{Prepaid, Settings};
