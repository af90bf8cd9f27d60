//! Pass-through proxy: forwards requests unchanged to services, chosen by host and path prefix.
//!
//! A [`Gateway`] serves callers: it finds the route of a request, obtains tokens and a backend
//! server from a [`RouteControl`], sends the request and relays the response. A [`Dialect`] reads
//! and writes the headers of a deployment.

mod body;
mod control;
mod dialect;
mod event_splitter;
mod failure;
mod framing;
mod gateway;
mod guards;
mod handler;
mod headers;
mod observed_ends;
mod pace;
mod planned_stop;
mod pool;
mod proxied_request;
mod relay;
mod relayable_head;
mod request_info;
mod request_tokens;
mod response_record;
mod shared_parts;
mod table;

pub use body::ResponseBody;
pub use control::{
    RequestEnd, RouteControl, TokenRefusal, TokenRefusalReason, TokenRequest, TokenReservation,
};
pub use dialect::{BackendLoad, Dialect, ForwardInfo, RateLimitHeader, ResponseInfo};
pub use failure::{Failure, FailureKind};
pub use gateway::Gateway;
pub use headers::strip_connection_headers;
pub use planned_stop::PlannedStop;
pub(crate) use pool::SendError;
pub use request_info::{PromptPart, RequestInfo, TokenBound};
pub use response_record::{AttemptMatch, ResponseRecord, is_promise};
use shared_parts::SharedParts;
