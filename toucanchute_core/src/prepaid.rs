//! Spends prepaid budgets, where answers reach callers before they are billed.
//!
//! Each budget has an account: a record in the store and, at any time, one router that spends from
//! it, its owner. Routers request the tokens of each request from the owner, in parts if it probably
//! uses much less than it may, deliver no more than they were granted, and report afterwards what was
//! not used. When an owner is lost, another router takes its account over. Two
//! bounds keep it from spending tokens again that the lost owner has spent:
//!
//! - The record is a checkpoint of what is spent, with a ramp: tokens that may be spent at once and
//!   in each second after it. The owner stays below the ramp, which lets it go on while the store
//!   is unavailable.
//! - Below the ramp, the owner spends no further than a mark that enough witnesses have
//!   acknowledged. A router that takes the account over writes a claim to the store, fences the
//!   witnesses, so that they refuse marks of the previous owner, and continues from the highest
//!   mark. If too many witnesses have ended, which is shown by other routers that now run on their
//!   hosts, it continues from what the ramp allows by now. If they cannot be reached, the owner may
//!   be alive: it continues from all that the record allows, and only if the record has not changed
//!   for a while.
//!
//! [`PrepaidAccounts`] makes the decisions as a state machine. Its caller feeds it events and
//! carries out the actions that it returns.

mod account;
mod action;
mod bounds;
mod candidates;
mod event;
mod fault;
mod fencing;
mod handover;
mod known_owners;
mod local_requests;
mod machine;
mod marks;
mod owner;
mod proof;
mod ramp;
mod rate;
mod record;
mod refunds;
mod renewal;
mod reservations;
mod takeover;
mod witness;

pub use action::{AccountEvent, Action, CloseCause, Refusal, RefusalReason};
pub use event::{CallId, Event, Peer, TokenDemand};
pub use fault::Fault;
pub use machine::{PrepaidAccounts, Settings};
pub use proof::TakeoverBasis;
pub use ramp::ClockSpread;
