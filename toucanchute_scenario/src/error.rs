use std::{io, path::PathBuf};

use snafu::Snafu;

/// A scenario that cannot go on.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum ScenarioError {
    /// A binary is missing.
    #[snafu(display(
        "no binary {}; run `cargo build --workspace --bins` first",
        path.display()
    ))]
    NoBinary {
        /// Where it was looked for.
        path: PathBuf,
    },

    /// A process could not be started or signalled.
    #[snafu(display("cannot {action} {name}: {source}"))]
    Process {
        /// What was tried.
        action: &'static str,
        /// Name of the process.
        name: String,
        /// Cause.
        source: io::Error,
    },

    /// A command ended without success.
    #[snafu(display("{name} ended with {code:?}: {output}"))]
    Command {
        /// Name of the program.
        name: String,
        /// Exit code, if it was not killed.
        code: Option<i32>,
        /// What it wrote.
        output: String,
    },

    /// A file or socket of the harness failed.
    #[snafu(display("cannot {action}: {source}"))]
    Io {
        /// What was tried.
        action: &'static str,
        /// Cause.
        source: io::Error,
    },

    /// A condition did not come true in time.
    #[snafu(display("{condition} did not come true within {seconds} s; last seen: {observed}"))]
    TimedOut {
        /// The condition.
        condition: String,
        /// Bound in seconds.
        seconds: u64,
        /// What was seen last.
        observed: String,
    },

    /// The scenario names something that does not exist.
    #[snafu(display("no {kind} called `{name}`"))]
    Unknown {
        /// Kind of thing.
        kind: &'static str,
        /// Name in the scenario.
        name: String,
    },

    /// An argument of a directive is missing or wrong.
    #[snafu(display("argument: {message}"))]
    InvalidArgument {
        /// What is wrong.
        message: String,
    },

    /// A request of the harness failed.
    #[snafu(display("request to {target}: {message}"))]
    Request {
        /// Address and path.
        target: String,
        /// Cause.
        message: String,
    },

    /// An earlier directive failed.
    #[snafu(display("an earlier directive failed: {cause}"))]
    EarlierFailure {
        /// Why it failed.
        cause: String,
    },
}
