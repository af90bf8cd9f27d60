use std::{io, net::SocketAddr, process::ExitCode};

use snafu::Snafu;
use toucanchute_log::InstallError;
use toucanchute_settings::SettingsError;

/// Exit code for invalid settings; nothing was started.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a process that could not start or failed while it was running.
const EXIT_FAILURE: u8 = 1;

/// Error that ends the process of a router or gateway.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum RunError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// All faults of the settings file, with their positions.
        source: SettingsError,
    },
    /// The logger cannot be installed.
    #[snafu(display("{source}"))]
    Log {
        /// Cause.
        source: InstallError,
    },
    /// The Tokio runtime cannot be started.
    #[snafu(display("cannot start the Tokio runtime: {source}"))]
    Runtime {
        /// Cause.
        source: io::Error,
    },
    /// The process cannot listen on an address.
    #[snafu(display("cannot listen on {address}: {source}; is another process using it?"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The metrics client cannot be created.
    #[snafu(display("cannot create the metrics client: {source}; check [metrics] statsd"))]
    Metrics {
        /// Cause.
        source: cadence::MetricError,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot install a signal handler: {source}"))]
    Signal {
        /// Cause.
        source: io::Error,
    },
}

impl RunError {
    /// Returns the exit code of the process: 2 for invalid settings, 1 otherwise.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            RunError::Settings { .. } => ExitCode::from(EXIT_SETTINGS),
            _ => ExitCode::from(EXIT_FAILURE),
        }
    }
}
