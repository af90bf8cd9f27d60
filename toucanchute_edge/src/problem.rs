use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use toucanchute_proto::Millis;

use crate::{
    body::AnswerBody,
    control::{Refusal, RefusalOutcome, RefusalReason, RequestOutcome},
    error::RequestError,
    run_record::RunRecord,
};

/// Reason of a refused request whose key was used for another request.
pub(crate) const KEY_REUSED: &str = "key-reused";

/// Time after which the caller may retry a request that failed at every backend server tried.
const EXHAUSTED_RETRY_AFTER: Millis = Millis(1_000);

/// An error response to a caller, as a problem document of RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Problem {
    /// HTTP status.
    pub(crate) status: StatusCode,
    /// Stable name of the reason, in kebab-case.
    pub(crate) reason: &'static str,
    /// Description of the error and of what the caller can do about it.
    pub(crate) detail: String,
    /// Outcome of the request.
    pub(crate) outcome: RequestOutcome,
    /// Whether sending the same request again may succeed.
    pub(crate) retryable: bool,
    /// Time after which to send the request again.
    pub(crate) retry_after: Option<Millis>,
    /// Address of a router that is more likely to serve the request.
    pub(crate) elsewhere: Option<SocketAddr>,
}

#[derive(Serialize)]
struct ProblemDocument<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    reason: &'a str,
    outcome: &'a str,
    retryable: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    elsewhere: Option<SocketAddr>,
}

impl Problem {
    /// Creates the problem of a request that may have run and will not be run again.
    pub(crate) fn unknown_outcome(detail: impl Into<String>) -> Problem {
        Problem {
            status: StatusCode::BAD_GATEWAY,
            reason: "outcome-unknown",
            detail: detail.into(),
            outcome: RequestOutcome::Unknown,
            retryable: false,
            retry_after: None,
            elsewhere: None,
        }
    }

    /// Creates the problem of a request that failed at one or more backend servers.
    pub(crate) fn backend_failed(detail: impl Into<String>, outcome: RequestOutcome) -> Problem {
        Problem {
            status: StatusCode::BAD_GATEWAY,
            reason: "backend-failed",
            detail: detail.into(),
            outcome,
            retryable: true,
            retry_after: None,
            elsewhere: None,
        }
    }

    /// Creates the problem of a request whose deadline passed before the answer began.
    pub(crate) fn deadline_passed(record: &RunRecord) -> Problem {
        Problem {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "deadline-passed",
            ..Problem::backend_failed(
                "the deadline passed before the answer began",
                RequestOutcome::from_record(record),
            )
        }
    }

    /// Creates the problem of a request that failed at as many backend servers as may be tried.
    pub(crate) fn attempts_exhausted(record: &RunRecord) -> Problem {
        Problem {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(EXHAUSTED_RETRY_AFTER),
            ..Problem::backend_failed(
                "every backend server tried refused or failed",
                RequestOutcome::from_record(record),
            )
        }
    }

    /// Creates the problem of a request whose reservation does not cover the prompt and one token.
    pub(crate) fn budget_exhausted(record: &RunRecord) -> Problem {
        let refusal = Refusal {
            reason: RefusalReason::BudgetExhausted,
            outcome: RefusalOutcome::NothingSent,
            retry_after: None,
            elsewhere: None,
        };
        Problem::from_refusal(&refusal, record)
    }

    /// Creates the problem of a request that the control refused, and whose attempts until then are
    /// in `record`.
    pub(crate) fn from_refusal(refusal: &Refusal, record: &RunRecord) -> Problem {
        let (status, reason, retryable, detail) = describe_refusal(refusal.reason);
        let outcome = match refusal.outcome {
            RefusalOutcome::NothingSent => RequestOutcome::from_record(record),
            RefusalOutcome::Failed => RequestOutcome::Failed,
            RefusalOutcome::Unknown => RequestOutcome::Unknown,
        };
        Problem {
            status,
            reason,
            detail: detail.to_owned(),
            outcome,
            retryable,
            retry_after: refusal.retry_after,
            elsewhere: refusal.elsewhere,
        }
    }

    /// Creates the problem of a request with an error, whose attempts until then are in `record`.
    pub(crate) fn from_error(err: &RequestError, record: &RunRecord) -> Problem {
        let (status, reason) = classify_error(err);
        Problem {
            status,
            reason,
            detail: err.to_string(),
            outcome: RequestOutcome::from_record(record),
            retryable: matches!(status, StatusCode::REQUEST_TIMEOUT),
            retry_after: None,
            elsewhere: None,
        }
    }

    /// Returns the problem document as JSON in one line.
    pub(crate) fn to_json(&self) -> Bytes {
        let document = ProblemDocument {
            r#type: format!("urn:toucanchute:problem:{}", self.reason),
            title: self.reason.replace('-', " "),
            status: self.status.as_u16(),
            detail: &self.detail,
            reason: self.reason,
            outcome: self.outcome.name(),
            retryable: self.retryable,
            retry_after_ms: self.retry_after.map(|span| span.0),
            elsewhere: self.elsewhere,
        };
        serde_json::to_vec(&document).unwrap_or_default().into()
    }

    /// Returns the problem document as an `error` event, for a stream that has already begun.
    pub(crate) fn to_event(&self) -> Bytes {
        let json = self.to_json();
        [b"event: error\ndata: ", json.as_ref(), b"\n\n"]
            .concat()
            .into()
    }

    /// Returns a response whose body is the problem document.
    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let mut res = Response::new(AnswerBody::Whole(Some(self.to_json())));
        *res.status_mut() = self.status;
        let headers = res.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, kind);
        if let Some(span) = self.retry_after {
            let seconds = span.0.div_ceil(1_000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        res
    }
}

impl RequestOutcome {
    /// Returns the outcome of a request that is not sent again by this router: not run if its record
    /// proves that. A call that may run only once needs [`RequestOutcome::Unknown`] in place of
    /// [`RequestOutcome::Failed`].
    pub(crate) fn from_record(record: &RunRecord) -> RequestOutcome {
        record
            .not_run()
            .map_or(RequestOutcome::Failed, RequestOutcome::NotRun)
    }

    /// Returns the name that is sent to callers.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            RequestOutcome::NotRun(_) => "not-run",
            RequestOutcome::Failed => "failed",
            RequestOutcome::Unknown => "unknown",
        }
    }
}

fn classify_error(err: &RequestError) -> (StatusCode, &'static str) {
    match err {
        RequestError::UnknownPath => (StatusCode::NOT_FOUND, "unknown-path"),
        RequestError::MethodNotAllowed { .. } => {
            (StatusCode::METHOD_NOT_ALLOWED, "method-not-allowed")
        }
        RequestError::Unauthorized => (StatusCode::UNAUTHORIZED, "unauthorized"),
        RequestError::HeadersTooLarge { .. } => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers-too-large",
        ),
        RequestError::BadHeader { .. } => (StatusCode::BAD_REQUEST, "bad-header"),
        RequestError::KeyExpired => (StatusCode::GONE, "key-expired"),
        RequestError::BodyTooLarge { .. } => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
        RequestError::BodyTimeout { .. } => (StatusCode::REQUEST_TIMEOUT, "body-timeout"),
        RequestError::BodyBroken { .. } => (StatusCode::BAD_REQUEST, "body-broken"),
        RequestError::BadJson { .. } => (StatusCode::BAD_REQUEST, "bad-json"),
        RequestError::BadField { .. } => (StatusCode::BAD_REQUEST, "bad-field"),
        RequestError::UnknownModel { .. } => (StatusCode::NOT_FOUND, "unknown-model"),
        RequestError::UnknownService { .. } => (StatusCode::NOT_FOUND, "unknown-service"),
        RequestError::Rejected { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "rejected"),
    }
}

fn describe_refusal(reason: RefusalReason) -> (StatusCode, &'static str, bool, &'static str) {
    match reason {
        RefusalReason::BudgetExhausted => (
            StatusCode::PAYMENT_REQUIRED,
            "budget-exhausted",
            false,
            "the budget has not enough tokens left; ask the operators for a top-up",
        ),
        RefusalReason::GrantUnavailable => (
            StatusCode::TOO_MANY_REQUESTS,
            "grant-unavailable",
            true,
            "tokens could not be granted in time; try again, or another address",
        ),
        RefusalReason::Overloaded => (
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded",
            true,
            "the work cannot start in time; try again later",
        ),
        RefusalReason::NoBackend => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no-backend",
            true,
            "no backend server is fit to serve the request; try again later",
        ),
        RefusalReason::Evacuated => (
            StatusCode::SERVICE_UNAVAILABLE,
            "domains-evacuated",
            true,
            "the failure domains of all backend servers for the request are evacuated; try again later",
        ),
        RefusalReason::OutsideRegions => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no-backend-in-region",
            true,
            "no backend server is in a region in which the request may run; try again later",
        ),
        RefusalReason::Resting => (
            StatusCode::SERVICE_UNAVAILABLE,
            "backends-resting",
            true,
            "all backend servers that could serve the request asked for rest; try again later",
        ),
        RefusalReason::RateLimited => (
            StatusCode::SERVICE_UNAVAILABLE,
            "backends-rate-limited",
            true,
            "all backend servers that could serve the request are at their rate limits; try again later",
        ),
        RefusalReason::WarmingUp => (
            StatusCode::SERVICE_UNAVAILABLE,
            "backends-warming",
            true,
            "the backend servers that could serve the request are warming up; try again later",
        ),
        RefusalReason::HostBusy => (
            StatusCode::SERVICE_UNAVAILABLE,
            "host-busy",
            true,
            "the link of the router's host is full; try again later or at another router",
        ),
        RefusalReason::RetriesExhausted => (
            StatusCode::SERVICE_UNAVAILABLE,
            "retries-exhausted",
            true,
            "backend servers failed and the retry budget is used up; try again later",
        ),
        RefusalReason::Quarantined => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "quarantined",
            false,
            "this request crashed backend servers before; change it",
        ),
        RefusalReason::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            KEY_REUSED,
            false,
            "the key was used for another request; use a new key",
        ),
        RefusalReason::KeyExpired => (
            StatusCode::GONE,
            "key-expired",
            false,
            "the key has expired; use a new key",
        ),
        RefusalReason::InProgress => (
            StatusCode::CONFLICT,
            "in-progress",
            true,
            "a call under this key is still running; ask again later",
        ),
        RefusalReason::UnknownOutcome => (
            StatusCode::CONFLICT,
            "outcome-unknown",
            false,
            "the call under this key may have run and will not be run again",
        ),
        RefusalReason::TooManyReruns => (
            StatusCode::TOO_MANY_REQUESTS,
            "too-many-reruns",
            false,
            "the key was billed and run again too often; use a new key",
        ),
        RefusalReason::LedgerUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "ledger-unavailable",
            true,
            "the ledger could not be reached; try again later",
        ),
        RefusalReason::GrantReclaimed => (
            StatusCode::SERVICE_UNAVAILABLE,
            "grant-reclaimed",
            true,
            "the tokens were reclaimed before the bill was committed; try again",
        ),
        RefusalReason::StaleView => (
            StatusCode::SERVICE_UNAVAILABLE,
            "stale-view",
            true,
            "this router is cut off; use another address",
        ),
        RefusalReason::Draining => (
            StatusCode::SERVICE_UNAVAILABLE,
            "draining",
            true,
            "this router is leaving; use another address",
        ),
        RefusalReason::Starting => (
            StatusCode::SERVICE_UNAVAILABLE,
            "starting",
            true,
            "this router has no configuration yet; use another address",
        ),
    }
}
