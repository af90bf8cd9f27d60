//! Spending of prepaid totals whose answers reach callers before they are billed.
//!
//! Each budget is an account: a record in the store and, at any time, one router that spends from
//! it, its owner. Routers ask the owner for the worst case of each request and tell it afterwards
//! what was not used. Two bounds keep a lost owner from being spent twice:
//!
//! - The record is a checkpoint of what is spent, with a ramp: tokens that may be spent at once and in
//!   each second after it. The owner stays below the ramp, which carries it on while the store is
//!   away.
//! - Below the ramp, the owner spends no further than a mark that enough witnesses have acknowledged.
//!   A router that takes the account over claims it in the store, fences the witnesses and goes on
//!   from the highest mark. Where too many have ended, as routers that run on their hosts now show,
//!   it goes on from what the ramp allows by now. Where they cannot be reached, the owner may be
//!   alive: it goes on from all that the record allows, and only if the record rests.
//!
//! [`PrepaidAccounts`] decides, its caller does: it is told events and answers with actions.

mod account;
mod action;
mod bounds;
mod candidates;
mod event;
mod fault;
mod fencing;
mod handover;
mod local_requests;
mod machine;
mod marks;
mod owner;
mod proof;
mod ramp;
mod rate;
mod record;
mod takeover;
mod witness;

pub use action::{AccountEvent, Action, CloseCause, Refusal, RefusalReason};
pub use event::{CallId, Event, Peer};
pub use fault::Fault;
pub use machine::{PrepaidAccounts, Settings};
pub use proof::TakeoverBasis;
pub use ramp::ClockSpread;
