use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::output::{RunError, SignalSnafu};

/// Signals that a gateway handles. A signal that arrives before it is awaited is not lost.
#[derive(Debug)]
pub(super) struct Signals {
    /// Requests a planned stop.
    pub(super) terminate: Signal,
    /// Requests a planned stop from a terminal.
    pub(super) interrupt: Signal,
    /// Requests that the settings file is read again.
    pub(super) hangup: Signal,
}

impl Signals {
    /// Installs handlers, so that the signals no longer end the process. Must be called within a
    /// Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler cannot be installed.
    pub(super) fn install() -> Result<Signals, RunError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).context(SignalSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalSnafu)?,
            hangup: signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }
}
