//! Accounting of one router: grants, reservations and bills, and the router's part in writing the
//! ledger's shards.
//!
//! [`Money`] is a state machine without I/O. It handles events and returns actions, which its
//! caller carries out.

mod action;
mod admin;
mod budget_state;
mod calls;
mod event;
mod machine;
mod outbox;
mod reclaim;
mod reserve;
mod results;
mod settings;
mod settle;
mod status;
mod transfer;
mod witness;
mod writer;

pub use action::{Action, Billing, RefusalReason};
pub use event::{CallId, Event, Peer, PeerState};
pub use machine::Money;
pub use settings::Settings;
pub use status::{GRANT_RETURN_WAIT_MS, Status};
