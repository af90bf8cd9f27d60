//! Tests of the dispatcher.

mod affinity;
mod evacuation;
mod fairness;
mod fuzz;
mod harness;
mod notices;
mod oracle;
mod parts;
mod policy;
mod rate_limit;
mod region;
mod retries;
mod server_loads;
mod silence;
mod simulation;
mod software;
mod steps;
