#![allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    unused_qualifications,
    unreachable_pub
)]

pub mod api;
pub mod config;
pub mod fleet;
pub mod ledger;
pub mod money;
pub mod peer;
pub mod permits;
pub mod prepaid;
pub mod settings;
pub mod streams;
