use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, header};
use toucanchute_proto::{BudgetId, Digest, Millis, RequestKey, config::Customer};

use crate::{
    config_index::{ConfigIndex, CustomerKey},
    control::RequestOutcome,
    error::RequestError,
    problem::{KEY_REUSED, Problem},
};

/// Request header with the caller's idempotency key.
pub(crate) const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Request header with the time at which the idempotency key expires, in milliseconds since the
/// Unix epoch.
pub(crate) const IDEMPOTENCY_EXPIRES_HEADER: HeaderName =
    HeaderName::from_static("idempotency-expires");
/// Request header with the longest time until the answer begins, in milliseconds.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("toucanchute-deadline-ms");
/// Request header with the number of times that the request was already sent under its idempotency
/// key.
pub(crate) const RETRY_HEADER: HeaderName = HeaderName::from_static("toucanchute-retry");
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// A caller's request after authentication and parsing of its headers.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    /// Look-up tables of the configuration in force when the request arrived.
    pub(crate) index: Arc<ConfigIndex>,
    /// The customer's position in `index`.
    pub(crate) customer: CustomerKey,
    /// Key derived from customer and idempotency key; random if the caller sent none.
    pub(crate) key: RequestKey,
    /// Digest of request target and body.
    pub(crate) digest: Digest,
    /// Time at which the key expires, since the Unix epoch.
    pub(crate) expires: Millis,
    /// Time by which the answer must have begun, since the Unix epoch.
    pub(crate) deadline: Millis,
    /// Whether the caller set the deadline, and set it earlier than the configuration does.
    pub(crate) has_own_deadline: bool,
    /// Whether the request may already have been sent under its key, to any router.
    pub(crate) may_be_retry: bool,
    /// Whole request body.
    pub(crate) body: Bytes,
}

impl CallerRequest {
    /// Parses the key, expiry and deadline headers of a request that arrived at `now`.
    ///
    /// # Errors
    ///
    /// Fails if one of these headers is malformed or the key has expired.
    pub(crate) fn new(
        index: Arc<ConfigIndex>,
        customer: CustomerKey,
        target: &str,
        headers: &HeaderMap,
        body: Bytes,
        now: Millis,
    ) -> Result<CallerRequest, RequestError> {
        let routing = &index.config().routing;
        let key = parse_key(&index.customer(customer).name, headers)?;
        let expires = parse_expires(headers, now, Millis(routing.key_window_ms))?;
        let own = parse_millis(headers, &DEADLINE_HEADER)?;
        let longest = Millis(routing.answer_timeout_ms);
        let span = own.unwrap_or(longest).min(longest);
        Ok(CallerRequest {
            may_be_retry: may_be_retry(headers)?,
            key,
            expires,
            customer,
            deadline: now + span,
            has_own_deadline: own.is_some_and(|own| own < longest),
            digest: Digest::new(target, &body),
            index,
            body,
        })
    }

    /// Changes the outcome of `problem` from not run to unknown if the request may have been sent
    /// before: that earlier request may have run at another router, so this router cannot state
    /// that the request did not run. A reused key is excepted, as it belongs to another request.
    pub(crate) fn adjust_outcome(&self, problem: Problem) -> Problem {
        adjust_outcome(problem, self.may_be_retry)
    }

    /// Returns whether a deadline set by the caller has passed. Such a timeout is no failure of the
    /// backend server.
    pub(crate) fn own_deadline_passed(&self, now: Millis) -> bool {
        self.has_own_deadline && now >= self.deadline
    }

    /// Returns how long a whole answer may take: until a deadline set by the caller, else
    /// `longest`.
    pub(crate) fn whole_answer_timeout(&self, now: Millis, longest: Millis) -> Millis {
        if self.has_own_deadline {
            self.deadline.since(now)
        } else {
            longest
        }
    }

    /// Returns the customer's entry in the configuration.
    pub(crate) fn customer(&self) -> &Customer {
        self.index.customer(self.customer)
    }

    /// Returns the budget that the customer draws from.
    pub(crate) fn budget(&self) -> BudgetId {
        self.index.budget(self.customer)
    }
}

/// Changes the outcome of `problem` as [`CallerRequest::adjust_outcome`] does, for a request of which
/// only the headers are known.
pub(crate) fn adjust_outcome_by_headers(problem: Problem, headers: &HeaderMap) -> Problem {
    // No router runs a request whose key is malformed.
    let has_sound_key = parse_key("", headers).is_ok();
    adjust_outcome(
        problem,
        has_sound_key && may_be_retry(headers).unwrap_or(true),
    )
}

fn adjust_outcome(mut problem: Problem, may_be_retry: bool) -> Problem {
    if may_be_retry
        && matches!(problem.outcome, RequestOutcome::NotRun(_))
        && problem.reason != KEY_REUSED
    {
        problem.outcome = RequestOutcome::Unknown;
    }
    problem
}

/// Returns the bearer token of a request.
pub(crate) fn bearer_token(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, token) = value.split_at_checked("Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then_some(token)
}

fn parse_key(customer: &str, headers: &HeaderMap) -> Result<RequestKey, RequestError> {
    let bad = RequestError::BadHeader {
        name: "Idempotency-Key",
        expected: "one value of 1 to 256 bytes",
    };
    let mut values = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(value) = values.next() else {
        return Ok(RequestKey(rand::random()));
    };
    if values.next().is_some() || !(1..=MAX_KEY_BYTES).contains(&value.len()) {
        return Err(bad);
    }
    Ok(RequestKey::new(customer, value.as_bytes()))
}

fn may_be_retry(headers: &HeaderMap) -> Result<bool, RequestError> {
    if !headers.contains_key(IDEMPOTENCY_KEY_HEADER) {
        return Ok(false);
    }
    let bad = RequestError::BadHeader {
        name: "toucanchute-retry",
        expected: "the number of earlier sendings under this key",
    };
    let Some(value) = headers.get(RETRY_HEADER) else {
        return Ok(true);
    };
    let count: u64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(bad)?;
    Ok(count > 0)
}

fn parse_expires(headers: &HeaderMap, now: Millis, window: Millis) -> Result<Millis, RequestError> {
    let latest = now + window;
    let expires = parse_millis(headers, &IDEMPOTENCY_EXPIRES_HEADER)?.unwrap_or(latest);
    if expires <= now {
        return Err(RequestError::KeyExpired);
    }
    if expires > latest {
        return Err(RequestError::BadHeader {
            name: "Idempotency-Expires",
            expected: "a time within the window in which keys are remembered",
        });
    }
    Ok(expires)
}

fn parse_millis(headers: &HeaderMap, name: &HeaderName) -> Result<Option<Millis>, RequestError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let bad = RequestError::BadHeader {
        name: if *name == IDEMPOTENCY_EXPIRES_HEADER {
            "Idempotency-Expires"
        } else {
            "toucanchute-deadline-ms"
        },
        expected: "a whole number of milliseconds",
    };
    text.parse().map(|ms| Some(Millis(ms))).map_err(|_| bad)
}

#[cfg(test)]
mod tests;
