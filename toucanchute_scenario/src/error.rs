use std::{io, path::PathBuf};

use snafu::Snafu;

/// Error that stops a scenario.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ScenarioError {
    /// A binary of the workspace is missing.
    #[snafu(display(
        "binary {} not found; run `cargo build --workspace --bins` first",
        path.display()
    ))]
    NoBinary {
        /// Expected path of the binary.
        path: PathBuf,
    },

    /// A process could not be started or signalled.
    #[snafu(display("cannot {action} {name}: {source}"))]
    Process {
        /// Operation that failed.
        action: &'static str,
        /// Name of the process.
        name: String,
        /// Cause.
        source: io::Error,
    },

    /// A command failed.
    #[snafu(display("{name} failed with exit code {code:?}: {output}"))]
    Command {
        /// Name of the program.
        name: String,
        /// Exit code; `None` if a signal ended the command.
        code: Option<i32>,
        /// Error output of the command.
        output: String,
    },

    /// An operation on a file, a socket or the runtime failed.
    #[snafu(display("cannot {action}: {source}"))]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// Cause.
        source: io::Error,
    },

    /// A condition was not met before the timeout.
    #[snafu(display(
        "timed out after {seconds} s waiting for {condition}; last observed: {observed}"
    ))]
    TimedOut {
        /// Condition that was waited for.
        condition: String,
        /// Timeout, in seconds.
        seconds: u64,
        /// State that was observed last.
        observed: String,
    },

    /// The scenario names something that does not exist.
    #[snafu(display("no {kind} called `{name}`"))]
    Unknown {
        /// Kind of the object.
        kind: &'static str,
        /// Name of the object in the scenario.
        name: String,
    },

    /// An argument of a directive is missing or invalid.
    #[snafu(display("invalid argument: {message}"))]
    InvalidArgument {
        /// Cause.
        message: String,
    },

    /// A request to a process failed.
    #[snafu(display("request to {target} failed: {message}"))]
    Request {
        /// Address and path of the request.
        target: String,
        /// Cause.
        message: String,
    },

    /// An earlier directive failed.
    #[snafu(display("an earlier directive failed: {cause}"))]
    EarlierFailure {
        /// Error of that directive.
        cause: String,
    },
}
