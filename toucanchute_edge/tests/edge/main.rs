//! Tests of the HTTP edge against stand-in backend servers and a control in memory.

mod bad_input;
mod churn;
mod completions;
mod services;
mod support;
mod test_control;
