//! Tests of the dispatcher.

mod affinity;
mod fairness;
mod fuzz;
mod oracle;
mod policy;
mod retries;
mod steps;
mod words;
mod world;
