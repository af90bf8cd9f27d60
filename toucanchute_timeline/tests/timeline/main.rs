//! Tests of the timeline, with a module for each feature.

mod arbitrary_input;
mod lines;
mod order;
