//! Tests of settings and configuration files, a module for each feature.

mod edges;
mod files;
mod folder;
mod gateway;
mod packed;
mod router;
