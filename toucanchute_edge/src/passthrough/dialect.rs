use std::time::Duration;

use http::{HeaderMap, request, response};
use toucanchute_proto::{Millis, RequestRate};

use super::RequestInfo;

/// Reads and writes the HTTP headers that are specific to a deployment.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestInfo;

    /// Returns the headers of a request to a backend server: those of the caller, except the ones
    /// that only the system may set, and those for `forward`.
    fn forward_headers(&self, head: &request::Parts, forward: &ForwardInfo<'_>) -> HeaderMap;

    /// Reads the head of a backend server's response.
    fn read_response(&self, head: &response::Parts) -> ResponseInfo;
}

/// Information that the gateway sends to a backend server with a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardInfo<'a> {
    /// Name of the backend server. Another one that has taken over its address must not run the
    /// request.
    pub backend: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// Time left for the response.
    pub time_left: Millis,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Identifier of the last event of this stream that was relayed.
    pub resume_after: Option<u64>,
}

/// Information from the head of a backend server's response, apart from its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The caller's identifier of the attempt that the response belongs to.
    pub attempt: Option<String>,
    /// Whether it has a seal, which proves that a backend server made the response.
    pub sealed: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether the address belongs to another backend server than the intended one.
    pub misdirected: bool,
    /// Whether the body has a content encoding, which no caller requests.
    pub encoded: bool,
    /// Whether the backend server announces that it is leaving.
    pub leaving: bool,
    /// Time for which the backend server wants no requests from this router.
    pub retry_after: Option<Millis>,
    /// Time for which the backend server stays cold.
    pub cold: Option<Millis>,
    /// What it states about the requests that the backend server takes from all routers together.
    pub rate_limit: RateLimitHeader,
    /// Load of the backend server.
    pub load: Option<BackendLoad>,
    /// Time for which the backend server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server closes the connection after this response.
    pub closes_connection: bool,
}

/// What a backend server's response states about its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateLimitHeader {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit that cannot be read, so that nothing is known about it.
    Invalid,
    /// It takes at most this many requests from all routers together.
    Limit(RequestRate),
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// Time that work takes on its machine at the moment, in percent of the usual time; `None` if it states
    /// none.
    pub pace_percent: Option<u32>,
}
