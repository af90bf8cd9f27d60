//! Tests of the fleet's machines.

mod fuzz;
mod oracle;
mod scenario;
mod steps;
mod world;
