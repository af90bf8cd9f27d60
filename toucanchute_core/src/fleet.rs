//! Fleet membership, distribution of the configuration, withdrawal of backend servers and graceful
//! shutdown, as one router sees them.
//!
//! Each router runs one [`Fleet`] state machine. Routers ping a few linked peers and attach gossip
//! to these messages, so that the cost for one router hardly depends on the size of the fleet.

mod action;
mod drain;
mod evacuations;
mod event;
mod fault;
mod hosts;
mod leave;
mod links;
mod load_rumors;
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
