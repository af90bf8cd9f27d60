use http::Method;
use snafu::Snafu;

/// A caller's request that is refused for what it says. It did not run.
///
/// The text tells the caller what to change.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub(crate) enum RequestError {
    /// The path leads nowhere.
    #[snafu(display("there is nothing at this path; see /v1/completions and /v1/services/NAME"))]
    UnknownPath,
    /// The path takes another method.
    #[snafu(display("this path takes {allowed} only"))]
    MethodNotAllowed {
        /// The method that the path takes.
        allowed: Method,
    },
    /// There is no token, or none that a customer or the operators have.
    #[snafu(display("the token is missing or wrong; send \"Authorization: Bearer TOKEN\""))]
    Unauthorized,
    /// The head of the request is too large.
    #[snafu(display("the headers hold {size} bytes; send at most {limit}"))]
    HeadersTooLarge {
        /// Bytes received.
        size: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// A header has a value that cannot be used.
    #[snafu(display("the header {name} is malformed; send {expected}"))]
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// What it should hold.
        expected: &'static str,
    },
    /// The key's expiry has passed.
    #[snafu(display("the key expired before the request came; use a new key"))]
    KeyExpired,
    /// The body is too large.
    #[snafu(display("the body is larger than {limit} bytes; send a smaller one"))]
    BodyTooLarge {
        /// Bytes allowed.
        limit: u64,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body took longer than {limit_ms} ms; send it faster"))]
    BodyTimeout {
        /// Milliseconds allowed.
        limit_ms: u64,
    },
    /// The body broke off.
    #[snafu(display("the body broke off: {source}"))]
    BodyBroken {
        /// Cause.
        source: hyper::Error,
    },
    /// The body is not the JSON document that is expected.
    #[snafu(display("the body is not a valid request: {source}"))]
    BadJson {
        /// Cause, with line and column.
        source: serde_json::Error,
    },
    /// A field has a value that cannot be used.
    #[snafu(display("the field \"{field}\" is missing or wrong; send {expected}"))]
    BadField {
        /// Name of the field.
        field: &'static str,
        /// What it should hold.
        expected: &'static str,
    },
    /// No such model is configured.
    #[snafu(display("there is no model \"{name}\"; ask the operators for the models' names"))]
    UnknownModel {
        /// Name asked for.
        name: String,
    },
    /// No such plain service is configured.
    #[snafu(display("there is no service \"{name}\"; ask the operators for the services' names"))]
    UnknownService {
        /// Name asked for.
        name: String,
    },
    /// The backend server says that the request is wrong.
    #[snafu(display("the backend server rejected the request ({status}): {detail}"))]
    Rejected {
        /// Status of its answer.
        status: u16,
        /// Head of its answer.
        detail: String,
    },
}
