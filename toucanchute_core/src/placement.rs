//! Placement of callers on hosts: which hosts a list of addresses names, in which share of the lists a host
//! asks to be named, and what its link carries.
//!
//! None of it does I/O. [`choose_hosts`] answers one lookup, [`HostLoad`] and [`LinkBudget`] are state
//! machines of one host.

mod capacity;
mod directory;
mod host_load;
mod link_budget;
#[cfg(test)]
mod tests;

/// Share of the lists of addresses, in eighths, that name a host which is not relieved: all of them.
pub const FULL_SHARE: u8 = 8;

pub use capacity::HostCapacity;
pub use directory::{CallerDomain, PlacedHost, can_relieve, choose_hosts};
pub use host_load::{HostLoad, HostUse};
pub use link_budget::{LinkBudget, LinkRequest};
