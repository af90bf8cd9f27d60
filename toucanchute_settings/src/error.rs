use snafu::Snafu;

use crate::Fault;

/// Error of invalid settings or configuration files.
#[derive(Debug, Snafu)]
#[snafu(display("{}", join_faults(faults)))]
pub struct SettingsError {
    /// All faults found, at least one, sorted by file and line.
    pub faults: Vec<Fault>,
}

/// Error of assembling a configuration from its head and chunks.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum AssembleError {
    /// A chunk is missing or does not match its digest.
    #[snafu(display("chunk {digest} is missing or damaged"))]
    Chunk {
        /// Digest of the chunk, as listed in the head.
        digest: String,
    },
    /// The digest of the concatenated chunks differs from the head's digest.
    #[snafu(display("configuration has digest {found}, its head requires {expected}"))]
    DigestMismatch {
        /// Digest in the head.
        expected: String,
        /// Digest of the concatenated chunks.
        found: String,
    },
    /// The chunks do not contain a configuration that this version can parse.
    #[snafu(display("configuration {digest} cannot be read: {source}"))]
    Content {
        /// Digest in the head.
        digest: String,
        /// Cause reported by the JSON reader.
        source: serde_json::Error,
    },
}

fn join_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
