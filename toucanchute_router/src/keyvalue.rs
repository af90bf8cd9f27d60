//! Access to the platform's key-value service: reads the configuration and the host list, holds
//! leases on orders and executes the ledger's requests.

mod config;
mod lease;
mod ledger;
mod platform_reader;

pub(crate) use lease::LeaseStore;
pub(crate) use ledger::LedgerStore;
pub(crate) use platform_reader::{PlatformReader, PlatformReaderParts};
