use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{ConnectionCounts, ConnectionEnd, ConnectionState};

/// Follows the state of one connection and counts its end when dropped.
#[derive(Debug)]
pub(crate) struct ConnectionTracker {
    counts: Arc<ConnectionCounts>,
    tracked: Mutex<Tracked>,
}

#[derive(Debug)]
struct Tracked {
    state: ConnectionState,
    /// When the connection last became unused or idle.
    quiet_since: Instant,
    /// The response body has been handed over in full, but not yet flushed.
    response_ended: bool,
    /// The last response carries `Connection: close`.
    announced_close: bool,
    /// The last response was sent before the body of its request had arrived.
    unread_body: bool,
    /// The caller closed or reset the connection.
    closed_by_caller: bool,
    /// Bytes of the caller arrived after the router had closed the connection.
    crossed: bool,
}

impl ConnectionTracker {
    /// Starts to follow a connection that has been accepted.
    pub(crate) fn new(counts: Arc<ConnectionCounts>) -> ConnectionTracker {
        counts.add_open(ConnectionState::Unused);
        let tracked = Tracked {
            state: ConnectionState::Unused,
            quiet_since: Instant::now(),
            response_ended: false,
            announced_close: false,
            unread_body: false,
            closed_by_caller: false,
            crossed: false,
        };
        ConnectionTracker {
            counts,
            tracked: Mutex::new(tracked),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tracked> {
        self.tracked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change_state(&self, tracked: &mut Tracked, state: ConnectionState) {
        self.counts.remove_open(tracked.state);
        self.counts.add_open(state);
        tracked.state = state;
    }

    /// Records that bytes were written to the caller.
    pub(super) fn bytes_written(&self, len: usize) {
        self.counts.add_bytes(len);
    }

    /// Records that bytes of the caller were read.
    pub(super) fn bytes_read(&self, len: usize) {
        self.counts.add_bytes(len);
        let mut tracked = self.lock();
        if matches!(
            tracked.state,
            ConnectionState::Unused | ConnectionState::Idle
        ) {
            self.change_state(&mut tracked, ConnectionState::Receiving);
        }
    }

    /// Returns for how long nothing has happened on the connection; `None` while a request is being
    /// received or answered.
    pub(super) fn quiet_time(&self) -> Option<Duration> {
        let tracked = self.lock();
        match tracked.state {
            ConnectionState::Unused | ConnectionState::Idle => Some(tracked.quiet_since.elapsed()),
            ConnectionState::Receiving | ConnectionState::InProgress => None,
        }
    }

    pub(super) fn is_closed_by_caller(&self) -> bool {
        self.lock().closed_by_caller
    }

    /// Records that the caller closed or reset the connection.
    pub(super) fn caller_closed(&self) {
        self.lock().closed_by_caller = true;
    }

    /// Records that bytes of the caller arrived after the router had closed the connection.
    pub(super) fn crossed(&self) {
        self.lock().crossed = true;
    }

    /// Records that the head of a request was read.
    pub(crate) fn request_started(&self) {
        let mut tracked = self.lock();
        tracked.response_ended = false;
        tracked.announced_close = false;
        tracked.unread_body = false;
        self.change_state(&mut tracked, ConnectionState::InProgress);
    }

    /// Records that the response to the request in progress carries `Connection: close`.
    pub(crate) fn announced_close(&self) {
        self.lock().announced_close = true;
    }

    /// Records that the response to the request in progress is sent before its body has arrived.
    pub(super) fn left_body_unread(&self) {
        self.lock().unread_body = true;
    }

    pub(super) fn has_unread_body(&self) -> bool {
        self.lock().unread_body
    }

    /// Records that the whole response was handed over to be written.
    pub(super) fn response_ended(&self) {
        self.lock().response_ended = true;
    }

    /// Records that everything that was handed over has been written.
    pub(super) fn flushed(&self) {
        let mut tracked = self.lock();
        if tracked.state == ConnectionState::InProgress && tracked.response_ended {
            tracked.quiet_since = Instant::now();
            self.change_state(&mut tracked, ConnectionState::Idle);
        }
    }
}

impl Tracked {
    fn end(&self) -> ConnectionEnd {
        let busy = matches!(
            self.state,
            ConnectionState::Receiving | ConnectionState::InProgress
        );
        match (busy, self.closed_by_caller) {
            (true, true) => ConnectionEnd::CallerLeft,
            (true, false) => ConnectionEnd::Cut,
            (false, _) if self.announced_close => ConnectionEnd::AnsweredWithClose,
            (false, true) => ConnectionEnd::ClosedByCaller,
            (false, false) if self.crossed => ConnectionEnd::Crossed,
            (false, false) => ConnectionEnd::Quiet,
        }
    }
}

impl Drop for ConnectionTracker {
    fn drop(&mut self) {
        let tracked = self.lock();
        let (state, end) = (tracked.state, tracked.end());
        drop(tracked);
        self.counts.remove_open(state);
        self.counts.add_ended(end);
    }
}
