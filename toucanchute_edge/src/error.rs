use http::Method;
use snafu::Snafu;

/// An invalid request of a caller. It did not run.
///
/// The error text states what the caller has to change.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub(crate) enum RequestError {
    /// No route has this path.
    #[snafu(display("there is nothing at this path; see /v1/completions and /v1/services/NAME"))]
    UnknownPath,
    /// The path is known, but does not accept the method.
    #[snafu(display("this path takes {allowed} only"))]
    MethodNotAllowed {
        /// The method that the path accepts.
        allowed: Method,
    },
    /// The bearer token is missing, or belongs to no customer and not to the operators.
    #[snafu(display("the token is missing or wrong; send \"Authorization: Bearer TOKEN\""))]
    Unauthorized,
    /// The headers of the request are too large.
    #[snafu(display("the headers hold {size} bytes; send at most {limit}"))]
    HeadersTooLarge {
        /// Bytes received.
        size: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// A header has an invalid value.
    #[snafu(display("the header {name} is malformed; send {expected}"))]
    BadHeader {
        /// Name of the header.
        name: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The idempotency key has expired.
    #[snafu(display("the key expired before the request came; use a new key"))]
    KeyExpired,
    /// The request body is too large.
    #[snafu(display("the body is larger than {limit} bytes; send a smaller one"))]
    BodyTooLarge {
        /// Bytes allowed.
        limit: u64,
    },
    /// The request body did not arrive within the timeout.
    #[snafu(display("the body took longer than {limit_ms} ms; send it faster"))]
    BodyTimeout {
        /// Milliseconds allowed.
        limit_ms: u64,
    },
    /// The connection failed while the request body was read.
    #[snafu(display("the body broke off: {source}"))]
    BodyBroken {
        /// Cause.
        source: hyper::Error,
    },
    /// The request body is not valid JSON, or not of the expected type.
    #[snafu(display("the body is not a valid request: {source}"))]
    BadJson {
        /// Parser error, with line and column.
        source: serde_json::Error,
    },
    /// A field of the request body is missing or has an invalid value.
    #[snafu(display("the field \"{field}\" is missing or wrong; send {expected}"))]
    BadField {
        /// Name of the field.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// The requested model is not configured.
    #[snafu(display("there is no model \"{name}\"; ask the operators for the models' names"))]
    UnknownModel {
        /// Requested name.
        name: String,
    },
    /// The requested plain service is not configured.
    #[snafu(display("there is no service \"{name}\"; ask the operators for the services' names"))]
    UnknownService {
        /// Requested name.
        name: String,
    },
    /// The backend server rejected the request as invalid.
    #[snafu(display("the backend server rejected the request ({status}): {detail}"))]
    Rejected {
        /// Status of the rejection.
        status: u16,
        /// First bytes of the rejection's body.
        detail: String,
    },
}
