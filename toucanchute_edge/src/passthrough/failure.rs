use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use toucanchute_proto::Millis;

use super::{ResponseBody, TokenRefusal, TokenRefusalReason};
use crate::{
    control::{Refusal, RefusalReason},
    run_record::{NotRun, RunRecord},
};

/// Why a request ends without a response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Kind of the failure, which determines the HTTP status.
    pub kind: FailureKind,
    /// The reason in a few words, for the log and for the response to the caller.
    pub reason: &'static str,
    /// Time after which a retry may succeed, where that helps.
    pub retry_after: Option<Millis>,
}

/// Kind of a [`Failure`]. A request may have run only if it ends with [`FailureKind::Failed`] or
/// [`FailureKind::TimedOut`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum FailureKind {
    /// The request is malformed or its body broke off.
    BadRequest,
    /// No route matches host and path.
    NoRoute,
    /// The token is missing or unknown.
    Unauthorized,
    /// The customer's budget does not cover the request.
    BudgetExhausted,
    /// The body is too large.
    TooLarge,
    /// The request did not run, as the proof shows, and may be sent again.
    NotRun(NotRun),
    /// The request failed and may have run.
    Failed,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

impl FailureKind {
    /// Returns the HTTP status for the caller.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            FailureKind::BadRequest => StatusCode::BAD_REQUEST,
            FailureKind::NoRoute => StatusCode::NOT_FOUND,
            FailureKind::Unauthorized => StatusCode::UNAUTHORIZED,
            FailureKind::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            FailureKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            FailureKind::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            FailureKind::Failed => StatusCode::BAD_GATEWAY,
            FailureKind::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl Failure {
    /// Creates a failure without a retry time.
    #[must_use]
    pub fn new(kind: FailureKind, reason: &'static str) -> Failure {
        Failure {
            kind,
            reason,
            retry_after: None,
        }
    }

    /// Creates the failure of a request that is not served: of kind [`FailureKind::NotRun`] if the
    /// record proves that, else [`FailureKind::Failed`] without a retry time.
    #[must_use]
    pub fn unserved(
        record: &RunRecord,
        reason: &'static str,
        retry_after: Option<Millis>,
    ) -> Failure {
        match record.not_run() {
            Some(proof) => {
                Failure::new(FailureKind::NotRun(proof), reason).retry_after(retry_after)
            }
            None => Failure::new(FailureKind::Failed, reason),
        }
    }

    /// Creates the failure of a request that the router refuses to send to a backend server.
    pub(super) fn from_refusal(record: &RunRecord, refusal: &Refusal) -> Failure {
        Failure::unserved(record, refusal_reason(refusal.reason), refusal.retry_after)
    }

    /// Creates the failure of a request for which no tokens were reserved.
    pub(super) fn from_token_refusal(record: &RunRecord, refusal: TokenRefusal) -> Failure {
        let reason = refusal.reason.name();
        match refusal.reason {
            TokenRefusalReason::Exhausted => Failure::new(FailureKind::BudgetExhausted, reason),
            _ => Failure::unserved(record, reason, refusal.retry_after),
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, after: Option<Millis>) -> Failure {
        self.retry_after = after;
        self
    }

    /// Returns the response to the caller: the reason as JSON, and the retry time if there is one.
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

/// Returns the name of a refusal's reason in logs, metrics and responses.
fn refusal_reason(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::NoBackend => "no-backend",
        RefusalReason::Evacuated => "domains-evacuated",
        RefusalReason::OutsideRegions => "no-backend-in-region",
        RefusalReason::Resting => "backends-resting",
        RefusalReason::RateLimited => "backends-rate-limited",
        RefusalReason::WarmingUp => "backends-warming",
        RefusalReason::RetriesExhausted => "retries-exhausted",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::HostBusy => "host-busy",
        RefusalReason::StaleView => "stale-view",
        RefusalReason::Draining => "draining",
        RefusalReason::Starting => "starting",
        _ => "unavailable",
    }
}

/// Formats a duration as seconds with three decimals.
fn seconds(span: Millis) -> String {
    format!("{}.{:03}", span.0 / 1_000, span.0 % 1_000)
}
