//! INI settings of processes and the operators' configuration files.
//!
//! A file is checked as a whole: the error lists every [`Fault`] with its location, not just the first.

mod document;
mod error;
mod fault;
mod folder;
mod format;
mod gateway;
mod packed;
mod process;
mod reader;
mod router;
mod suggest;

pub use error::{AssembleError, SettingsError};
pub use fault::{Fault, FaultKind, Location};
pub use folder::load_folder;
pub use gateway::load_gateway;
pub use packed::{ConfigChunk, HEAD_KEY, MAX_CHUNK_BYTES, PackedConfig, assemble, chunk_key};
pub use router::load_router;
