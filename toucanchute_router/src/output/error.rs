use std::{io, net::SocketAddr, process::ExitCode};

use snafu::Snafu;
use toucanchute_log::InstallError;
use toucanchute_settings::SettingsError;

/// Exit code for settings that are refused; nothing was started.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a process that could not start or had to give up.
const EXIT_FAILURE: u8 = 1;

/// Why a router's process ends other than by request.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum RunError {
    /// The settings are refused.
    #[snafu(display("{source}"))]
    Settings {
        /// All faults, with their places.
        source: SettingsError,
    },
    /// The event log cannot be installed.
    #[snafu(display("{source}"))]
    Log {
        /// Cause.
        source: InstallError,
    },
    /// The runtime cannot be started.
    #[snafu(display("cannot start the runtime: {source}"))]
    Runtime {
        /// Cause.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}; is another process using it?"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("cannot send metrics: {source}; check [metrics] statsd"))]
    Metrics {
        /// Cause.
        source: cadence::MetricError,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot handle signals: {source}"))]
    Signal {
        /// Cause.
        source: io::Error,
    },
}

impl RunError {
    /// Returns the process's exit code: 2 for refused settings, 1 otherwise.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        match self {
            RunError::Settings { .. } => ExitCode::from(EXIT_SETTINGS),
            _ => ExitCode::from(EXIT_FAILURE),
        }
    }
}
