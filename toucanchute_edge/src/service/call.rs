use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, Response, header, request::Parts};
use http_body_util::Full;
use toucanchute_proto::{Millis, RequestKey};

use crate::{
    backend::{self, ATTEMPT_HEADER, BackendError},
    body::AnswerBody,
    caller::{self, CallerRequest},
    control::{Assignment, ServiceAnswer},
    error::RequestError,
    passthrough::is_promise,
    problem::Problem,
};

/// Request headers that are forwarded unchanged to a plain service.
const FORWARDED_HEADERS: [HeaderName; 3] = [
    header::CONTENT_TYPE,
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
];

/// A call to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    /// Name of the service.
    pub(crate) service: String,
    /// Whether the call may run more than once.
    pub(crate) idempotent: bool,
    /// Price of the call, in tokens.
    pub(crate) price: u64,
    /// Longest duration of one attempt.
    pub(crate) timeout: Millis,
    method: Method,
    /// Path and query of the request to the service.
    target: String,
    headers: HeaderMap,
    key: RequestKey,
    body: Bytes,
}

impl ServiceCall {
    /// Creates a call to `path` at the service `name`.
    ///
    /// # Errors
    ///
    /// Fails if the service is not configured.
    pub(crate) fn new(
        name: &str,
        path: &str,
        head: &Parts,
        caller: &CallerRequest,
    ) -> Result<ServiceCall, RequestError> {
        let service = caller.index.service(name);
        let service = service.ok_or_else(|| RequestError::UnknownService {
            name: name.to_owned(),
        })?;
        let query = head.uri.query().map(|query| format!("?{query}"));
        let forwarded = head
            .headers
            .iter()
            .filter(|(k, _)| FORWARDED_HEADERS.contains(k));
        Ok(ServiceCall {
            service: name.to_owned(),
            idempotent: service.idempotent,
            price: service.price_tokens,
            timeout: Millis(service.timeout_ms),
            method: head.method.clone(),
            target: format!("{path}{}", query.unwrap_or_default()),
            headers: forwarded.map(|(k, v)| (k.clone(), v.clone())).collect(),
            key: caller.key,
            body: caller.body.clone(),
        })
    }

    /// Returns the request for one attempt.
    pub(crate) fn to_request(
        &self,
        assignment: &Assignment,
    ) -> Result<Request<Full<Bytes>>, BackendError> {
        let malformed = |err: http::Error| BackendError::Malformed {
            detail: err.to_string(),
        };
        let uri = backend::backend_uri(assignment.address, &self.target).map_err(malformed)?;
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .header(ATTEMPT_HEADER, assignment.attempt.to_string())
            .header(caller::IDEMPOTENCY_KEY_HEADER, self.key.to_string())
            .body(Full::new(self.body.clone()))
            .map_err(malformed)?;
        req.headers_mut().extend(self.headers.clone());
        Ok(req)
    }
}

impl ServiceAnswer {
    /// Returns the answer in the form that is recorded: unchanged if its body has at most `limit`
    /// bytes, else its status and a JSON document with the size of the body.
    pub(crate) fn to_record(&self, limit: usize) -> ServiceAnswer {
        if self.body.len() <= limit {
            return self.clone();
        }
        let document = serde_json::json!({"recorded": "status", "answer_bytes": self.body.len()});
        ServiceAnswer {
            status: self.status,
            content_type: "application/json".to_owned(),
            body: document.to_string().into(),
        }
    }

    /// Returns the answer as a response to the caller.
    ///
    /// # Errors
    ///
    /// Fails if the status promises that the call did not run.
    pub(crate) fn into_response(self) -> Result<Response<AnswerBody>, Problem> {
        let mut res = Response::new(AnswerBody::Whole(Some(self.body)));
        if let Ok(status) = http::StatusCode::from_u16(self.status) {
            if is_promise(status) {
                let detail = format!("the answer has status {status}, and the call may have run");
                return Err(Problem::unknown_outcome(detail));
            }
            *res.status_mut() = status;
        }
        if let Ok(kind) = http::HeaderValue::try_from(self.content_type)
            && !kind.is_empty()
        {
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
        }
        Ok(res)
    }
}
