//! Tests of the dispatcher.

mod affinity;
mod fairness;
mod fuzz;
mod notices;
mod oracle;
mod parts;
mod policy;
mod rate_limit;
mod retries;
mod simulation;
mod steps;
