//! INI settings of processes and the operators' configuration files.
//!
//! The whole file is checked before an error is returned: [`SettingsError`] lists every [`Fault`]
//! with its location.

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
