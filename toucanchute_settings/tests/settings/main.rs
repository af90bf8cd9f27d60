//! Tests of settings and configuration files, with one module for each feature.

mod edges;
mod files;
mod folder;
mod gateway;
mod packed;
mod router;
