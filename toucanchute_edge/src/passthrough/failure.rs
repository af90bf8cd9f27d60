use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use toucanchute_proto::Millis;

use super::ResponseBody;
use crate::control::{Refusal, RefusalReason};

/// A request that ends without an answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// What is wrong.
    pub kind: FailureKind,
    /// The reason in a few words, for logs and the caller.
    pub reason: &'static str,
    /// When to come back, where that helps.
    pub retry_after: Option<Millis>,
}

/// What is wrong with a request, or with the system. Only [`FailureKind::Failed`] and
/// [`FailureKind::TimedOut`] may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FailureKind {
    /// The head makes no sense.
    BadRequest,
    /// No route fits host and path.
    NoRoute,
    /// The token is missing or unknown.
    Unauthorized,
    /// The customer's budget does not cover the request.
    BudgetExhausted,
    /// The body is too large.
    TooLarge,
    /// It did not run and may be sent again.
    NotRun,
    /// It may have run.
    Failed,
    /// Its time is over; it may have run.
    TimedOut,
}

impl FailureKind {
    /// Returns the status that tells it.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            FailureKind::BadRequest => StatusCode::BAD_REQUEST,
            FailureKind::NoRoute => StatusCode::NOT_FOUND,
            FailureKind::Unauthorized => StatusCode::UNAUTHORIZED,
            FailureKind::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            FailureKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            FailureKind::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            FailureKind::Failed => StatusCode::BAD_GATEWAY,
            FailureKind::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl Failure {
    /// Creates a failure without a time to come back.
    #[must_use]
    pub fn new(kind: FailureKind, reason: &'static str) -> Failure {
        Failure {
            kind,
            reason,
            retry_after: None,
        }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn retry_after(mut self, after: Option<Millis>) -> Failure {
        self.retry_after = after;
        self
    }

    /// Returns the answer to the caller.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let body = format!("{{\"reason\":\"{}\"}}", self.reason);
        let mut res = Response::new(ResponseBody::full(Bytes::from(body)));
        *res.status_mut() = self.kind.status();
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let after = self.retry_after.map(seconds);
        if let Some(Ok(after)) = after.map(HeaderValue::try_from) {
            headers.insert(header::RETRY_AFTER, after);
        }
        res
    }
}

/// A request that was refused before it was sent anywhere.
impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Failure {
        let reason = match refusal.reason {
            RefusalReason::Overloaded => "overloaded",
            RefusalReason::NoBackend => "no-backend",
            RefusalReason::Resting => "backends-resting",
            RefusalReason::RetriesExhausted => "retries-exhausted",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::StaleView => "stale-view",
            RefusalReason::Draining => "draining",
            RefusalReason::Starting => "starting",
            _ => "unavailable",
        };
        Failure::new(FailureKind::NotRun, reason).retry_after(refusal.retry_after)
    }
}

/// Writes a span as seconds with a fraction.
fn seconds(span: Millis) -> String {
    format!("{}.{:03}", span.0 / 1_000, span.0 % 1_000)
}
