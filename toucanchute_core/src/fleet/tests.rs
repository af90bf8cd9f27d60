//! Tests of the fleet's machines.

mod configs;
mod found;
mod fuzz;
mod oracle;
mod outage;
mod reading;
mod scenario;
mod steps;
mod world;
