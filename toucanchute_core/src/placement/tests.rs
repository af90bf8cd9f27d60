//! Tests of the placement of callers, each named for the load or failure that it plays.

mod directory;
mod host_load;
mod link_budget;
