//! Functions to read requests and to create replies.

use std::io;

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use serde::{Serialize, de::DeserializeOwned};

/// Header with the identifier of the attempt.
pub(crate) const ATTEMPT_HEADER: &str = "toucanchute-attempt";
/// Header of a reply that states the outcome of its attempt.
const OUTCOME_HEADER: &str = "toucanchute-outcome";
/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;
pub(crate) type Reply = Response<Body>;

/// Closes the connection without a complete reply.
#[derive(Debug)]
pub(crate) struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for Abort {}

/// Returns a reply with `body` as JSON.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    full(status, "application/json", body.into())
}

/// Returns a reply with `message` as the JSON member `error`.
pub(crate) fn error(status: StatusCode, message: &str) -> Reply {
    json(status, &serde_json::json!({ "error": message }))
}

/// Returns a refusal that names its attempt and states that the attempt did not run.
pub(crate) fn not_run(status: StatusCode, message: &str, attempt: &str) -> Reply {
    let mut reply = error(status, message);
    let headers = reply.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    if let Ok(attempt) = attempt.parse() {
        headers.insert(ATTEMPT_HEADER, attempt);
    }
    reply
}

/// Returns a reply whose body is sent at once.
pub(crate) fn full(status: StatusCode, content_type: &str, body: Bytes) -> Reply {
    let body = Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync();
    reply(status, content_type, body)
}

/// Returns a reply whose body is streamed. An error closes the connection.
pub(crate) fn streamed(
    content_type: &str,
    chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Reply {
    use futures_util::StreamExt as _;
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    reply(
        StatusCode::OK,
        content_type,
        StreamBody::new(frames).boxed_unsync(),
    )
}

fn reply(status: StatusCode, content_type: &str, body: Body) -> Reply {
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

/// Reads the complete body of a request.
pub(crate) async fn read_body(req: Request<Incoming>) -> Result<Bytes, Abort> {
    let body = http_body_util::Limited::new(req.into_body(), MAX_BODY_BYTES);
    let collected = body.collect().await.map_err(|_| Abort)?;
    Ok(collected.to_bytes())
}

/// Parses a JSON body; an empty body is treated as `{}`.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Reply>> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body)
        .map_err(|e| Box::new(error(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// Returns the value of a request header; empty if there is none.
pub(crate) fn header_text(req: &Request<Incoming>, name: &str) -> String {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
