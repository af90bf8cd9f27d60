use std::time::Duration;

use http::{HeaderMap, request, response};
use toucanchute_proto::Millis;

use super::RequestInfo;

/// How a deployment writes into heads what the gateway reads and sets.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> RequestInfo;

    /// Returns the headers of a request to a backend server: the caller's, without those that only
    /// the system may set, and what `forward` says.
    fn forward_headers(&self, head: &request::Parts, forward: &ForwardInfo<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer.
    fn read_response(&self, head: &response::Parts) -> ResponseInfo;
}

/// What the gateway tells a backend server along with a request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardInfo<'a> {
    /// Name of the backend server; another one at its address must not run the request.
    pub backend: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// Time left for the answer.
    pub time_left: Millis,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Identifier of the last event of this stream that was relayed.
    pub resume_after: Option<u64>,
}

/// What the head of a backend server's answer says, apart from its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The attempt that it answers.
    pub attempt: Option<String>,
    /// Whether it bears the backend server's seal.
    pub sealed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// Whether another backend server than the one expected has the address.
    pub misdirected: bool,
    /// Whether the body is encoded, which no caller asked for.
    pub encoded: bool,
    /// Whether the backend server says that it leaves.
    pub leaving: bool,
    /// Time for which the backend server wants no request of this router.
    pub retry_after: Option<Millis>,
    /// Load of the backend server.
    pub load: Option<BackendLoad>,
    /// How long it keeps an idle connection.
    pub keep_alive: Option<Duration>,
    /// Whether it closes the connection.
    pub closes_connection: bool,
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendLoad {
    /// Requests being worked on.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
}
