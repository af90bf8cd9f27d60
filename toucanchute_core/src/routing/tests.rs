//! Tests of the dispatcher.

mod fairness;
mod fuzz;
mod oracle;
mod policy;
mod steps;
mod world;
