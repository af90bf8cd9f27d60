use http::StatusCode;

/// Whose attempt a backend server's response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptMatch {
    /// The caller's name of the attempt that the request was sent with. A connection carries each name
    /// once, so the response is to this request.
    Own,
    /// Another attempt: the response is late, or was sent twice.
    Other,
    /// None.
    Absent,
}

impl AttemptMatch {
    /// Compares the attempt that a response names with the one that was sent. A request without an
    /// attempt is never matched.
    ///
    /// ```
    /// use toucanchute_edge::passthrough::AttemptMatch;
    ///
    /// assert_eq!(AttemptMatch::new(Some("a"), Some("a")), AttemptMatch::Own);
    /// assert_eq!(AttemptMatch::new(Some("a"), Some("b")), AttemptMatch::Other);
    /// assert_eq!(AttemptMatch::new(None, None), AttemptMatch::Absent);
    /// ```
    #[must_use]
    pub fn new(sent: Option<&str>, named: Option<&str>) -> AttemptMatch {
        match named {
            None => AttemptMatch::Absent,
            Some(_) if named == sent => AttemptMatch::Own,
            Some(_) => AttemptMatch::Other,
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            AttemptMatch::Own => "own",
            AttemptMatch::Other => "other",
            AttemptMatch::Absent => "none",
        }
    }
}

/// What the head of a backend server's response states about the request that was sent, for the log
/// and for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseRecord {
    /// Status of the response.
    pub status: StatusCode,
    /// Whose attempt the response names.
    pub attempt: AttemptMatch,
    /// Whether the response states that the request did not run.
    pub not_run: bool,
    /// Whether an earlier request was sent over the connection, or may have been.
    pub reused: bool,
}

impl ResponseRecord {
    /// Whether the response belongs to the attempt and states that the request did not run. A success
    /// that states it contradicts itself and proves nothing.
    #[must_use]
    pub fn is_proven_refusal(&self) -> bool {
        let states_not_run = self.not_run || self.status == StatusCode::MISDIRECTED_REQUEST;
        states_not_run && self.attempt == AttemptMatch::Own && !self.status.is_success()
    }

    /// Whether the response promises without proof that the request did not run: its status is a
    /// promise, or it states that another attempt did not run.
    #[must_use]
    pub fn is_unproven_promise(&self) -> bool {
        let refuses_other = self.not_run && self.attempt == AttemptMatch::Other;
        (refuses_other || is_promise(self.status)) && !self.is_proven_refusal()
    }
}

/// Whether a status promises a caller that its request did not run and never will.
#[must_use]
pub fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
