//! Tests of the HTTP edge with stand-in backend servers and an in-memory control.

mod bad_input;
mod churn;
mod completions;
mod services;
mod shutdown;
mod support;
mod test_control;
