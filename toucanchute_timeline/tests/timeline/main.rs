//! Tests of the time line, a module for each feature.

mod edges;
mod lines;
mod order;
