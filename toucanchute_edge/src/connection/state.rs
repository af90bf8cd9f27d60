/// What happens on an open connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Accepted; no bytes have arrived.
    Unused,
    /// Part of a request's head has arrived.
    Receiving,
    /// A request is in progress, or its response is not fully written.
    InProgress,
    /// All responses are written and no bytes of another request have arrived.
    Idle,
}

impl ConnectionState {
    /// All states, in the order of their values.
    pub const ALL: [ConnectionState; 4] = [
        ConnectionState::Unused,
        ConnectionState::Receiving,
        ConnectionState::InProgress,
        ConnectionState::Idle,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ConnectionState::Unused => "unused",
            ConnectionState::Receiving => "receiving",
            ConnectionState::InProgress => "in_progress",
            ConnectionState::Idle => "idle",
        }
    }
}

/// How a connection of a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The caller closed or reset it while no request was in progress.
    ClosedByCaller,
    /// The caller closed or reset it before the response was fully written.
    CallerLeft,
    /// Closed after a response with `Connection: close`.
    AnsweredWithClose,
    /// Closed by the router while nothing happened on it.
    Quiet,
    /// Closed by the router while nothing happened on it; bytes of a request arrived afterwards.
    Crossed,
    /// Ended by the router while a request was being received or answered, also because a backend
    /// server broke its response off or the request could not be read.
    Cut,
}

impl ConnectionEnd {
    /// All ends, in the order of their values.
    pub const ALL: [ConnectionEnd; 6] = [
        ConnectionEnd::ClosedByCaller,
        ConnectionEnd::CallerLeft,
        ConnectionEnd::AnsweredWithClose,
        ConnectionEnd::Quiet,
        ConnectionEnd::Crossed,
        ConnectionEnd::Cut,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::ClosedByCaller => "closed_by_caller",
            ConnectionEnd::CallerLeft => "caller_left",
            ConnectionEnd::AnsweredWithClose => "answered_with_close",
            ConnectionEnd::Quiet => "quiet",
            ConnectionEnd::Crossed => "crossed",
            ConnectionEnd::Cut => "cut",
        }
    }
}
