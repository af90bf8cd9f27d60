//! Requests that are passed through to services unchanged, by host and path prefix.
//!
//! A [`Gateway`] serves callers: it finds the route, asks a [`RouteControl`] for tokens and a backend
//! server, sends the request and relays the answer. A [`Dialect`] says how a deployment writes what
//! the gateway has to know into heads.

mod body;
mod control;
mod dialect;
mod event_splitter;
mod failure;
mod gateway;
mod guards;
mod handler;
mod headers;
mod pool;
mod proxied_request;
mod relay;
mod request_info;
mod table;

pub use body::ResponseBody;
pub use control::{RequestEnd, RouteControl, TokenRequest, TokenReservation};
pub use dialect::{BackendLoad, Dialect, ForwardInfo, ResponseInfo};
pub use failure::{Failure, FailureKind};
pub use gateway::Gateway;
pub use headers::strip_connection_headers;
pub use request_info::{PromptPart, RequestInfo, TokenBound};
