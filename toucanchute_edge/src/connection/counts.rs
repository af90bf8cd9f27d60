use std::sync::atomic::{AtomicU64, Ordering};

use super::{ConnectionEnd, ConnectionState};

/// Number of callers' connections that are open, by state, and that have ended, by their end.
///
/// ```
/// use toucanchute_edge::{ConnectionCounts, ConnectionState};
///
/// assert_eq!(ConnectionCounts::default().open(ConnectionState::Idle), 0);
/// ```
#[derive(Debug, Default)]
pub struct ConnectionCounts {
    open: [AtomicU64; ConnectionState::ALL.len()],
    ended: [AtomicU64; ConnectionEnd::ALL.len()],
    /// Bytes read from and written to callers.
    bytes: AtomicU64,
}

impl ConnectionCounts {
    /// Returns the number of open connections in a state.
    #[must_use]
    pub fn open(&self, state: ConnectionState) -> u64 {
        self.open[state as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of connections that ended in this way since the process started.
    #[must_use]
    pub fn ended(&self, end: ConnectionEnd) -> u64 {
        self.ended[end as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read from and written to callers since the process started.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(super) fn add_bytes(&self, len: usize) {
        self.bytes.fetch_add(len as u64, Ordering::Relaxed);
    }

    pub(super) fn add_open(&self, state: ConnectionState) {
        self.open[state as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn remove_open(&self, state: ConnectionState) {
        self.open[state as usize].fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn add_ended(&self, end: ConnectionEnd) {
        self.ended[end as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Logs the open connections when a planned stop begins to close them.
    pub(crate) fn log_stop_begin(&self) {
        log::info!(
            unused = self.open(ConnectionState::Unused),
            receiving = self.open(ConnectionState::Receiving),
            in_progress = self.open(ConnectionState::InProgress),
            idle = self.open(ConnectionState::Idle);
            "connections-at-stop"
        );
    }

    /// Logs how all connections since the start of the process ended, and which are still open.
    pub fn log_process_end(&self) {
        log::info!(
            closed_by_caller = self.ended(ConnectionEnd::ClosedByCaller),
            caller_left = self.ended(ConnectionEnd::CallerLeft),
            answered_with_close = self.ended(ConnectionEnd::AnsweredWithClose),
            quiet = self.ended(ConnectionEnd::Quiet),
            crossed = self.ended(ConnectionEnd::Crossed),
            cut = self.ended(ConnectionEnd::Cut);
            "connections-ended"
        );
        let receiving = self.open(ConnectionState::Receiving);
        let in_progress = self.open(ConnectionState::InProgress);
        if receiving + in_progress > 0 {
            log::warn!(receiving = receiving, in_progress = in_progress; "connections-cut");
        }
    }
}
