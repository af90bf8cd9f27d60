//! Tests of the `toucanctl` binary, a module for each group of commands.

mod apply;
mod binary;
mod files;
mod routers;
