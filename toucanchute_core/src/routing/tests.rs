//! Tests of the dispatcher.

mod affinity;
mod fairness;
mod fuzz;
mod oracle;
mod policy;
mod steps;
mod words;
mod world;
