//! Reads the platform's configuration head and host list, and carries out the ledger's calls.

mod config;
mod ledger;
mod watch;

pub(crate) use ledger::LedgerStore;
pub(crate) use watch::{PlatformParts, PlatformWatch};
