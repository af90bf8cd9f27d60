use snafu::Snafu;

use crate::Fault;

/// Files that were refused, with every fault found.
#[derive(Debug, Snafu)]
#[snafu(display("{}", join_faults(faults)))]
pub struct SettingsError {
    /// At least one fault, in the order of files and lines.
    pub faults: Vec<Fault>,
}

/// A configuration that does not match its head.
#[derive(Debug, Snafu)]
#[non_exhaustive]
#[snafu(visibility(pub(crate)))]
pub enum AssembleError {
    /// A chunk is missing or does not match its digest.
    #[snafu(display("chunk {digest} is missing or damaged"))]
    Chunk {
        /// Digest in the head.
        digest: String,
    },
    /// The chunks together do not match the head's digest.
    #[snafu(display("configuration has digest {found}, its head says {expected}"))]
    DigestMismatch {
        /// Digest in the head.
        expected: String,
        /// Digest of the chunks together.
        found: String,
    },
    /// The chunks are no configuration that this version can read.
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
