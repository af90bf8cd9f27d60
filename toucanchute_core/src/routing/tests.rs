//! Tests of the dispatcher.

mod affinity;
mod fairness;
mod fuzz;
mod notices;
mod oracle;
mod policy;
mod retries;
mod simulation;
mod steps;
