use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::output::{RunError, SignalSnafu};

/// Signals that a gateway obeys. One that comes before they are awaited is not lost.
#[derive(Debug)]
pub(super) struct Signals {
    /// Asks for a planned stop.
    pub(super) terminate: Signal,
    /// Asks for a planned stop, from a terminal.
    pub(super) interrupt: Signal,
    /// Tells that the settings have changed.
    pub(super) hangup: Signal,
}

impl Signals {
    /// Keeps the signals from ending the process; needs a runtime.
    pub(super) fn install() -> Result<Signals, RunError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).context(SignalSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(SignalSnafu)?,
            hangup: signal(SignalKind::hangup()).context(SignalSnafu)?,
        })
    }
}
