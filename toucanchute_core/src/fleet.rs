//! Membership, configuration, withdrawals and graceful leave of one router.
//!
//! [`Fleet`] is the machine; a router has one. Members ping a few linked peers and gossip changes
//! along, so that a router's cost hardly depends on the size of the fleet.

mod action;
mod drain;
mod event;
mod fault;
mod hosts;
mod leave;
mod links;
mod machine;
mod members;
mod messages;
pub mod orders;
mod publish;
mod registration_sync;
mod registrations;
mod rumors;
mod store_reads;
#[cfg(test)]
mod tests;
mod view;

pub use action::{Action, MemberView, NotReady};
pub use event::{Event, HostEntry, HostRole, HostState};
pub use machine::{Fleet, RouterIdentity};
pub use store_reads::StoreReadMode;
