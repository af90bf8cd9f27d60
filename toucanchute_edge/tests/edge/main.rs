//! Tests of the HTTP edge with stand-in backend servers and an in-memory control.

mod bad_input;
mod churn;
mod completions;
#[path = "../passthrough/full_queue.rs"]
mod full_queue;
mod outcome_walk;
mod outcomes;
#[path = "../passthrough/raw_backend.rs"]
mod raw_backend;
mod services;
mod shutdown;
mod support;
mod test_control;
