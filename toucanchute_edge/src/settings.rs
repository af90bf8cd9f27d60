use std::time::Duration;

use toucanchute_proto::Millis;

/// Limits and timeouts of the HTTP edge; all times in milliseconds, all sizes in bytes.
///
/// ```
/// use toucanchute_edge::EdgeSettings;
///
/// let settings = EdgeSettings { max_attempts: 2, ..EdgeSettings::default() };
/// assert_eq!(settings.max_attempts, 2);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EdgeSettings {
    /// Longest time a caller may take to send the head of a request.
    pub header_timeout: Millis,
    /// Longest time a caller may take to send the body of a request.
    pub body_timeout: Millis,
    /// Longest time a caller may leave a streamed answer unread before it is treated as
    /// disconnected.
    pub caller_timeout: Millis,
    /// Longest time to connect to a backend server.
    pub connect_timeout: Millis,
    /// Longest time between two tokens of a model engine.
    pub token_timeout: Millis,
    /// Longest time that a model engine may take for a whole answer.
    pub answer_timeout: Millis,
    /// Largest head of a request.
    pub max_header_bytes: usize,
    /// Largest response body of a backend server that is read whole.
    pub max_answer_bytes: usize,
    /// Largest response body of a plain service that is recorded under the request's key.
    pub max_recorded_bytes: usize,
    /// Most backend servers tried for one request.
    pub max_attempts: u32,
    /// Most concurrent connections of callers; further ones wait until they are accepted.
    pub max_connections: usize,
    /// Most idle connections that are kept open to one backend server.
    pub max_idle_connections: usize,
    /// SHA-256 of the operators' bearer token, in hexadecimal digits; if it is empty,
    /// `/v1/admin/` rejects every request.
    pub operator_token_sha256: String,
}

impl Default for EdgeSettings {
    fn default() -> EdgeSettings {
        EdgeSettings {
            header_timeout: Millis(10_000),
            body_timeout: Millis(30_000),
            caller_timeout: Millis(60_000),
            connect_timeout: Millis(1_000),
            token_timeout: Millis(10_000),
            answer_timeout: Millis(300_000),
            max_header_bytes: 16 * 1024,
            max_answer_bytes: 4 * 1024 * 1024,
            max_recorded_bytes: 64 * 1024,
            max_attempts: 4,
            max_connections: 4_096,
            max_idle_connections: 64,
            operator_token_sha256: String::new(),
        }
    }
}

/// Converts milliseconds to a [`Duration`].
pub(crate) fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}

/// Returns the time since the Unix epoch by a clock that does not jump when the
/// time of day is set.
pub(crate) fn now() -> Millis {
    Millis(toucanchute_log::steady_clock_ms())
}
