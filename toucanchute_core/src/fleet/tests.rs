//! Tests of the fleet's machines.

mod configs;
mod evacuations;
mod found;
mod fuzz;
mod hints;
mod list_shares;
mod loads;
mod oracle;
mod outage;
mod peers;
mod scenario;
mod standings;
mod steps;
mod store_reads;
mod world;
