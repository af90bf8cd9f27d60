//! Tests of the time line, a module for each feature.

mod arbitrary_input;
mod lines;
mod order;
