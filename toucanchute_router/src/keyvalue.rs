//! Reads the platform's configuration head and host list, and carries out the ledger's calls.

mod config;
mod lease;
mod ledger;
mod platform_reader;

pub(crate) use lease::LeaseStore;
pub(crate) use ledger::LedgerStore;
pub(crate) use platform_reader::{PlatformReader, PlatformReaderParts};
