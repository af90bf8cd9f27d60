use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use toucanchute_proto::api::{Outcome, Problem};

use crate::{
    answer::{Completion, Usage},
    request::{Request, Work},
    sse::SseReader,
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Header that holds the request's key in the form that event logs show.
const REQUEST_HEADER: &str = "toucanchute-request";

/// Header that sets the time within which the answer has to begin, in milliseconds.
const DEADLINE_HEADER: &str = "toucanchute-deadline-ms";

/// Header that states how many earlier tries under the key may have run.
const RETRY_HEADER: &str = "toucanchute-retry";

/// HTTP client with the connection pool of a caller.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Result of one try.
#[derive(Debug)]
pub(crate) enum TryResult {
    /// The whole answer was received.
    Complete(ReceivedAnswer),
    /// A router refused the request or reported that it failed.
    Problem {
        problem: Box<Problem>,
        retry_after: Option<Duration>,
    },
    /// The connection failed, or the answer timed out, was malformed or cut off.
    Broken { cause: String },
}

impl TryResult {
    /// Returns whether a router reported that the request did not run, neither by this try nor by
    /// an earlier one.
    pub(crate) fn is_not_run(&self) -> bool {
        match self {
            TryResult::Problem { problem, .. } => problem.outcome == Some(Outcome::NotRun),
            TryResult::Complete(_) | TryResult::Broken { .. } => false,
        }
    }
}

/// Whole answer received by one try.
#[derive(Debug, Default)]
pub(crate) struct ReceivedAnswer {
    pub(crate) status: u16,
    pub(crate) logged_key: String,
    pub(crate) text: String,
    pub(crate) usage: Usage,
    /// When each token was received; if the answer is not streamed, when its body was complete.
    pub(crate) arrivals: Vec<Instant>,
}

/// Creates the HTTP client of a caller.
pub(crate) fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a GET request for `path` and returns the status and body.
pub(crate) async fn get(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
) -> Result<(StatusCode, Bytes), String> {
    let mut req = http::Request::builder()
        .method(Method::GET)
        .uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        req = req.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let req = req.body(Full::default()).map_err(|e| e.to_string())?;
    let res = client.request(req).await.map_err(|e| error_chain(&e))?;
    let status = res.status();
    let body = res
        .into_body()
        .collect()
        .await
        .map_err(|e| error_chain(&e))?;
    Ok((status, body.to_bytes()))
}

/// One try of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTry<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) token: &'a str,
    pub(crate) key: &'a str,
    pub(crate) req: &'a Request,
    /// Number of earlier tries by this caller that may have run.
    pub(crate) earlier_tries: u32,
}

/// Sends a request once and reads its answer; passes each piece of text to `on_text` as it arrives.
pub(crate) async fn send_once(
    client: &HttpClient,
    attempt: RequestTry<'_>,
    on_text: &mut (dyn FnMut(&str) + Send),
) -> TryResult {
    match send_request(client, attempt).await {
        Err(cause) => TryResult::Broken { cause },
        Ok(res) if is_problem(&res) => read_problem(res).await,
        Ok(res) => match &attempt.req.work {
            Work::Completion { stream: true, .. } => read_stream(res, on_text).await,
            work => read_whole(work, res, on_text).await,
        },
    }
}

async fn send_request(
    client: &HttpClient,
    attempt: RequestTry<'_>,
) -> Result<Response<Incoming>, String> {
    let RequestTry {
        address,
        token,
        key,
        req,
        earlier_tries,
    } = attempt;
    let mut builder = http::Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", req.path()))
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json")
        .header("idempotency-key", key);
    if let Some(ms) = req.deadline_ms {
        builder = builder.header(DEADLINE_HEADER, ms);
    }
    if req.fresh_key {
        builder = builder.header(RETRY_HEADER, earlier_tries);
    }
    let http_req = builder.body(Full::new(req.body()));
    let http_req = http_req.map_err(|e| e.to_string())?;
    client.request(http_req).await.map_err(|e| error_chain(&e))
}

// Answers

async fn read_whole(
    work: &Work,
    res: Response<Incoming>,
    on_text: &mut (dyn FnMut(&str) + Send),
) -> TryResult {
    let mut received = ReceivedAnswer::new(&res);
    let body = match res.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            return TryResult::Broken {
                cause: error_chain(&e),
            };
        }
    };
    received.arrivals.push(Instant::now());
    if let Work::Service { .. } = work {
        received.text = String::from_utf8_lossy(&body).into_owned();
    } else {
        match serde_json::from_slice::<Completion>(&body) {
            Ok(answer) if answer.is_finished() => {
                answer.text().clone_into(&mut received.text);
                received.usage = answer.usage.unwrap_or_default();
            }
            Ok(_) => return broken("the completion has no finish_reason"),
            Err(e) => return broken(&e.to_string()),
        }
    }
    on_text(&received.text);
    TryResult::Complete(received)
}

async fn read_stream(res: Response<Incoming>, on_text: &mut (dyn FnMut(&str) + Send)) -> TryResult {
    let mut received = ReceivedAnswer::new(&res);
    let mut body = res.into_body();
    let mut reader = SseReader::default();
    let mut finished = false;
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(e) => {
                return TryResult::Broken {
                    cause: error_chain(&e),
                };
            }
        };
        reader.push(&data);
        while let Some(event) = reader.next_event() {
            if event.name == "error" {
                return problem_result(&event.data, &HeaderMap::new(), StatusCode::BAD_GATEWAY);
            }
            if event.data == b"[DONE]" && finished {
                return TryResult::Complete(received);
            }
            match serde_json::from_slice::<Completion>(&event.data) {
                Ok(chunk) => {
                    finished |= chunk.is_finished();
                    received.add_chunk(&chunk, on_text);
                }
                Err(e) => return broken(&e.to_string()),
            }
        }
    }
    broken("the stream ended before [DONE]")
}

impl ReceivedAnswer {
    fn new(res: &Response<Incoming>) -> ReceivedAnswer {
        let logged_key = res.headers().get(REQUEST_HEADER);
        let logged_key = logged_key.and_then(|v| v.to_str().ok()).unwrap_or_default();
        ReceivedAnswer {
            status: res.status().as_u16(),
            logged_key: logged_key.to_owned(),
            ..ReceivedAnswer::default()
        }
    }

    fn add_chunk(&mut self, chunk: &Completion, on_text: &mut (dyn FnMut(&str) + Send)) {
        if let Some(usage) = chunk.usage {
            self.usage = usage;
        }
        if !chunk.text().is_empty() {
            self.arrivals.push(Instant::now());
            self.text.push_str(chunk.text());
            on_text(chunk.text());
        }
    }
}

// Problems

fn is_problem(res: &Response<Incoming>) -> bool {
    let kind = res.headers().get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"application/problem+json"))
}

async fn read_problem(res: Response<Incoming>) -> TryResult {
    let (head, body) = res.into_parts();
    match body.collect().await {
        Ok(body) => problem_result(&body.to_bytes(), &head.headers, head.status),
        Err(e) => TryResult::Broken {
            cause: error_chain(&e),
        },
    }
}

fn problem_result(body: &[u8], headers: &HeaderMap, status: StatusCode) -> TryResult {
    let mut problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    problem.status = status.as_u16();
    TryResult::Problem {
        problem: Box::new(problem),
        retry_after: headers.get(header::RETRY_AFTER).and_then(parse_retry_after),
    }
}

fn parse_retry_after(value: &HeaderValue) -> Option<Duration> {
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

fn broken(cause: &str) -> TryResult {
    TryResult::Broken {
        cause: cause.to_owned(),
    }
}

/// Returns the text of an error followed by the texts of its sources.
fn error_chain(err: &(dyn std::error::Error + 'static)) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
