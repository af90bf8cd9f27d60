use std::{convert::Infallible, sync::Arc};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::{mpsc, oneshot};
use toucanchute_log::{CLOCK_HEADER, HybridTimestamp};
use toucanchute_proto::{Millis, RequestKey};

use crate::{
    body::AnswerBody,
    caller::{self, CallerRequest},
    completion::{self, CompletionKind},
    config_index::{ConfigIndex, CustomerKey, parse_sha256, sha256},
    control::{Control, Refusal, RefusalReason},
    edge::EdgeState,
    error::RequestError,
    problem::Problem,
    reply::Reply,
    route::Route,
    run_record::RunRecord,
    service::{self, ServiceCall},
    settings::{duration, now},
};

/// Header with the request's key in hexadecimal digits, in every response to a customer.
const REQUEST_KEY_HEADER: &str = "toucanchute-request";
/// A caller's clock stamp that is further ahead of this host's clock is ignored.
const MAX_CLOCK_LEAD: Millis = Millis(60_000);

/// Number of bits of a stamp below its milliseconds.
const STAMP_COUNTER_BITS: u32 = 16;

/// Handles the requests of one connection.
pub(crate) struct Handler<C> {
    shared: Arc<EdgeState<C>>,
    /// Held by every connection and request; the edge waits at shutdown until all are dropped.
    running_guard: mpsc::Sender<Infallible>,
}

impl<C> Clone for Handler<C> {
    fn clone(&self) -> Handler<C> {
        Handler {
            shared: Arc::clone(&self.shared),
            running_guard: self.running_guard.clone(),
        }
    }
}

impl<C: Control> Handler<C> {
    /// Creates a handler; every request in progress holds a clone of `running_guard`.
    pub(crate) fn new(
        shared: Arc<EdgeState<C>>,
        running_guard: mpsc::Sender<Infallible>,
    ) -> Handler<C> {
        Handler {
            shared,
            running_guard,
        }
    }

    /// Returns the state that all requests share.
    pub(crate) fn edge(&self) -> &EdgeState<C> {
        &self.shared
    }

    /// Handles one request.
    pub(crate) async fn handle(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        observe_clock(&head.headers);
        match self.answer(&head, body).await {
            Ok(res) => res,
            Err(err) => {
                let path = head.uri.path();
                log::info!(path = path, error:% = err; "request-rejected");
                // `answer` fails only before the request's task has started.
                let problem = Problem::from_error(&err, &RunRecord::new());
                caller::adjust_outcome_by_headers(problem, &head.headers).into_response()
            }
        }
    }

    async fn answer(
        &self,
        head: &Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, RequestError> {
        self.check_header_size(&head.headers)?;
        let route = Route::parse(&head.method, head.uri.path())?;
        if route.needs_config()
            && let Some(refusal) = self.starting()
        {
            let problem = Problem::from_refusal(&refusal, &RunRecord::new());
            log::info!(path = head.uri.path(), error = problem.detail; "request-rejected");
            let problem = caller::adjust_outcome_by_headers(problem, &head.headers);
            return Ok(problem.into_response());
        }
        match route {
            Route::Addresses => Ok(self.addresses()),
            Route::Health => Ok(json(StatusCode::OK, &serde_json::json!({"status": "ok"}))),
            Route::Ready => Ok(self.ready()),
            Route::ChatCompletion => self.run_completion(CompletionKind::Chat, head, body).await,
            Route::TextCompletion => self.run_completion(CompletionKind::Text, head, body).await,
            Route::Service { name, path } => self.call_service(name, path, head, body).await,
            Route::Admin => self.admin(head, body).await,
        }
    }

    // Checks

    /// Returns the refusal of a router that has no configuration yet, against which it could check
    /// tokens and names.
    fn starting(&self) -> Option<Refusal> {
        let refusal = self.shared.control.unready()?;
        (refusal.reason == RefusalReason::Starting).then_some(refusal)
    }

    fn check_header_size(&self, headers: &HeaderMap) -> Result<(), RequestError> {
        let limit = self.shared.settings.max_header_bytes;
        let size = headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        if size > limit {
            return Err(RequestError::HeadersTooLarge { size, limit });
        }
        Ok(())
    }

    fn authenticate(index: &ConfigIndex, headers: &HeaderMap) -> Result<CustomerKey, RequestError> {
        caller::bearer_token(headers)
            .and_then(|token| index.authenticate(token))
            .ok_or(RequestError::Unauthorized)
    }

    async fn read_body(&self, body: Incoming, limit: u64) -> Result<Bytes, RequestError> {
        let timeout = self.shared.settings.body_timeout;
        tokio::time::timeout(duration(timeout), read_limited(body, limit))
            .await
            .map_err(|_| RequestError::BodyTimeout {
                limit_ms: timeout.0,
            })?
    }

    // Requests served by this router

    fn addresses(&self) -> Response<AnswerBody> {
        let list = self.shared.control.addresses();
        let document = serde_json::json!({
            "addresses": list.addresses,
            "max_age_ms": list.max_age.0,
        });
        json(StatusCode::OK, &document)
    }

    fn ready(&self) -> Response<AnswerBody> {
        match self.shared.control.unready() {
            None => json(StatusCode::OK, &serde_json::json!({"status": "ready"})),
            Some(refusal) => Problem::from_refusal(&refusal, &RunRecord::new()).into_response(),
        }
    }

    async fn admin(
        &self,
        head: &Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, RequestError> {
        let expected = parse_sha256(&self.shared.settings.operator_token_sha256);
        let presented = caller::bearer_token(&head.headers).map(sha256);
        if expected.is_none() || presented != expected {
            return Err(RequestError::Unauthorized);
        }
        let limit = self.shared.index().config().routing.max_body_bytes;
        let body = self.read_body(body, limit).await?;
        let control = Arc::clone(&self.shared.control);
        let (method, path) = (head.method.clone(), head.uri.path().to_owned());
        let running_guard = self.running_guard.clone();
        let answer = tokio::spawn(async move {
            let answer = control.admin(method, path, body).await;
            drop(running_guard);
            answer
        });
        Ok(match answer.await {
            Ok((status, document)) => json(status, &document),
            Err(_) => internal_error(),
        })
    }

    // Requests relayed to backend servers

    async fn run_completion(
        &self,
        kind: CompletionKind,
        head: &Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, RequestError> {
        let caller = self.read_request(kind.path(), head, body).await?;
        let req = completion::CompletionRequest::parse(kind, &caller)?;
        let key = caller.key;
        let (tx, rx) = oneshot::channel();
        let reply = Reply::new(tx, duration(self.shared.settings.caller_timeout));
        let shared = Arc::clone(&self.shared);
        let running_guard = self.running_guard.clone();
        tokio::spawn(async move {
            completion::run(&shared, &caller, req, reply).await;
            drop(running_guard);
        });
        Ok(with_request_key(
            rx.await.unwrap_or_else(|_| internal_error()),
            key,
        ))
    }

    async fn call_service(
        &self,
        name: &str,
        path: &str,
        head: &Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, RequestError> {
        let target = head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let target = format!("{} {target}", head.method);
        let caller = self.read_request(&target, head, body).await?;
        let call = ServiceCall::new(name, path, head, &caller)?;
        let key = caller.key;
        let (tx, rx) = oneshot::channel();
        let reply = Reply::new(tx, duration(self.shared.settings.caller_timeout));
        let shared = Arc::clone(&self.shared);
        let running_guard = self.running_guard.clone();
        tokio::spawn(async move {
            service::run(&shared, &caller, &call, reply).await;
            drop(running_guard);
        });
        Ok(with_request_key(
            rx.await.unwrap_or_else(|_| internal_error()),
            key,
        ))
    }

    async fn read_request(
        &self,
        target: &str,
        head: &Parts,
        body: Incoming,
    ) -> Result<CallerRequest, RequestError> {
        let index = self.shared.index();
        let customer = Self::authenticate(&index, &head.headers)?;
        let limit = index.config().routing.max_body_bytes;
        let body = self.read_body(body, limit).await?;
        CallerRequest::new(index, customer, target, &head.headers, body, now())
    }
}

/// Advances the event log's clock to the caller's stamp, unless that is too far ahead.
fn observe_clock(headers: &HeaderMap) {
    let stamp = headers.get(CLOCK_HEADER).and_then(|v| v.to_str().ok());
    let Some(stamp) = stamp.and_then(|text| text.parse::<HybridTimestamp>().ok()) else {
        return;
    };
    let latest = now() + MAX_CLOCK_LEAD;
    if stamp <= HybridTimestamp(latest.0 << STAMP_COUNTER_BITS) {
        toucanchute_log::observe(stamp);
    }
}

async fn read_limited(mut body: Incoming, limit: u64) -> Result<Bytes, RequestError> {
    if body.size_hint().lower() > limit {
        return Err(RequestError::BodyTooLarge { limit });
    }
    let mut out = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| RequestError::BodyBroken { source })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (out.len() + data.len()) as u64 > limit {
            return Err(RequestError::BodyTooLarge { limit });
        }
        out.extend_from_slice(&data);
    }
    Ok(out.freeze())
}

fn json(status: StatusCode, document: &serde_json::Value) -> Response<AnswerBody> {
    let body = Bytes::from(document.to_string());
    let mut res = Response::new(AnswerBody::Whole(Some(body)));
    *res.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

fn internal_error() -> Response<AnswerBody> {
    let mut problem = Problem::unknown_outcome("the router failed while the request ran");
    problem.status = StatusCode::INTERNAL_SERVER_ERROR;
    problem.into_response()
}

fn with_request_key(mut res: Response<AnswerBody>, key: RequestKey) -> Response<AnswerBody> {
    if let Ok(value) = HeaderValue::try_from(key.to_string()) {
        res.headers_mut().insert(REQUEST_KEY_HEADER, value);
    }
    res
}
