//! Tests of the reference caller and the load tool, a module for each feature.

mod answers;
mod load;
mod retries;
mod scripted;
