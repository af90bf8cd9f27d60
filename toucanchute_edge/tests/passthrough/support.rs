//! Test setup: a gateway, a control that assigns scripted backend servers, and a caller.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderName, HeaderValue, request, response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};
use toucanchute_core::origins::{StreamId, StreamOrigin};
use toucanchute_edge::{
    AssignRequest, Assignment, AttemptReport, BackendNotice, CrashKind, Refusal, RefusalOutcome,
    RefusalReason,
    passthrough::{
        Dialect, ForwardInfo, Gateway, PlannedStop, PromptPart, RateLimitHeader, RequestEnd,
        RequestInfo, ResponseInfo, ResponseRecord, RouteControl, TokenBound, TokenRefusal,
        TokenRefusalReason, TokenRequest, TokenReservation, strip_connection_headers,
    },
};
use toucanchute_proto::{AttemptId, Incarnation, Millis, RequestRate, config::Config, fleet::Load};

use crate::raw_backend::read_request;

/// Field of a request's head that names its attempt.
pub(crate) const ATTEMPT_FIELD: &str = "x-attempt";
/// Time limit for one exchange in these tests.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Behaviour of a scripted backend server on each connection.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Answers each request with these bytes and keeps the connection open.
    Answer(String),
    /// Answers with these bytes and closes the connection.
    AnswerAndClose(String),
    /// Answers one request with these bytes, stops listening and closes the connection.
    AnswerAndEnd(String),
    /// Reads the request and resets the connection.
    Reset,
    /// Reads the request and sends nothing.
    Silence,
    /// Answers each request with the next of these texts.
    InTurn(Vec<String>),
    /// Answers with `head` and then sends `piece` again and again, with `pause` in between, without
    /// end.
    Endless {
        head: String,
        piece: String,
        pause: Duration,
    },
}

/// A scripted backend server that records the requests it received.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    pub(crate) requests: Arc<Mutex<Vec<String>>>,
    /// Number of bytes of endless responses that were sent.
    bytes_sent: Arc<AtomicUsize>,
}

impl Backend {
    pub(crate) async fn start(script: Script) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let bytes_sent: Arc<AtomicUsize> = Arc::default();
        let (received, bytes_counter) = (Arc::clone(&requests), Arc::clone(&bytes_sent));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (received, bytes_counter) = (Arc::clone(&received), Arc::clone(&bytes_counter));
                let serving = serve(stream, script.clone(), received, bytes_counter);
                if matches!(script, Script::AnswerAndEnd(_)) {
                    drop(listener);
                    return serving.await;
                }
                tokio::spawn(serving);
            }
        });
        Backend {
            address,
            requests,
            bytes_sent,
        }
    }

    /// Returns a backend server at an address where nothing was started.
    pub(crate) fn absent(address: SocketAddr) -> Backend {
        Backend {
            address,
            requests: Arc::default(),
            bytes_sent: Arc::default(),
        }
    }

    pub(crate) fn bytes_sent(&self) -> usize {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    pub(crate) fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    pub(crate) fn request(&self, i: usize) -> String {
        self.requests.lock().unwrap()[i].clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Script,
    received: Arc<Mutex<Vec<String>>>,
    bytes_sent: Arc<AtomicUsize>,
) {
    while let Some(req) = read_request(&mut stream).await {
        let nth = {
            let mut received = received.lock().unwrap();
            received.push(req);
            received.len() - 1
        };
        match &script {
            Script::Answer(answer) => stream.write_all(answer.as_bytes()).await.unwrap(),
            Script::AnswerAndClose(answer) | Script::AnswerAndEnd(answer) => {
                stream.write_all(answer.as_bytes()).await.unwrap();
                return;
            }
            Script::Reset => {
                #[allow(deprecated)]
                stream.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            Script::Silence => tokio::time::sleep(EXCHANGE_TIMEOUT).await,
            Script::InTurn(answers) => {
                stream.write_all(answers[nth].as_bytes()).await.unwrap();
            }
            Script::Endless { head, piece, pause } => {
                // Ends when the router closes the connection.
                let mut data = head.as_bytes();
                while stream.write_all(data).await.is_ok() {
                    bytes_sent.fetch_add(data.len(), Ordering::Relaxed);
                    tokio::time::sleep(*pause).await;
                    data = piece.as_bytes();
                }
                return;
            }
        }
    }
}

// Control

#[derive(Debug)]
pub(crate) struct ScriptedControl {
    config: Arc<Config>,
    backends: Vec<SocketAddr>,
    /// Tokens that may still be reserved.
    pub(crate) tokens: Mutex<u64>,
    /// Tokens that each settled request used.
    pub(crate) used: Mutex<Vec<u64>>,
    pub(crate) reports: Mutex<Vec<AttemptReport>>,
    pub(crate) notices: Mutex<Vec<BackendNotice>>,
    next: AtomicU64,
    /// Number of attempts that have not ended, and the largest that it was.
    open_attempts: Mutex<(usize, usize)>,
    /// The planned stop, once a test begins one.
    pub(crate) stop: watch::Sender<Option<PlannedStop>>,
    stop_rx: watch::Receiver<Option<PlannedStop>>,
    /// What began the streams that callers may take up.
    streams: Mutex<HashMap<StreamId, StreamOrigin>>,
    /// Time that each assignment of a backend server takes.
    pub(crate) assign_time: Mutex<Duration>,
}

impl RouteControl for ScriptedControl {
    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    fn unready(&self) -> Option<Refusal> {
        let until = self.stop.borrow().map(|s| s.accepts_until);
        let refuses = until.is_some_and(|until| Instant::now() >= until);
        refuses.then(PlannedStop::refusal)
    }

    fn planned_stop(&self) -> &watch::Receiver<Option<PlannedStop>> {
        &self.stop_rx
    }

    async fn reserve(&self, req: TokenRequest) -> Result<TokenReservation, TokenRefusal> {
        let mut tokens = self.tokens.lock().unwrap();
        if *tokens < req.tokens {
            return Err(TokenRefusal {
                reason: TokenRefusalReason::Exhausted,
                retry_after: None,
            });
        }
        *tokens -= req.tokens;
        Ok(TokenReservation {
            id: 1,
            tokens: req.tokens,
            owner: Incarnation(1),
        })
    }

    fn settle(&self, reservation: TokenReservation, used: u64) {
        *self.tokens.lock().unwrap() += reservation.tokens - used;
        self.used.lock().unwrap().push(used);
    }

    async fn assign(&self, req: AssignRequest) -> Result<Assignment, Refusal> {
        let assign_time = *self.assign_time.lock().unwrap();
        if !assign_time.is_zero() {
            tokio::time::sleep(assign_time).await;
        }
        let name = |i: usize| format!("b{i}");
        let free = (0..self.backends.len()).find(|&i| !req.exclude.contains(&name(i)));
        let Some(i) = free else {
            return Err(Refusal {
                reason: RefusalReason::NoBackend,
                outcome: RefusalOutcome::NothingSent,
                retry_after: Some(Millis(250)),
                elsewhere: None,
            });
        };
        let attempt = self.next.fetch_add(1, Ordering::Relaxed);
        let mut open = self.open_attempts.lock().unwrap();
        open.0 += 1;
        open.1 = open.1.max(open.0);
        drop(open);
        Ok(Assignment {
            attempt: AttemptId(Incarnation(1), attempt),
            backend: name(i),
            address: self.backends[i],
            rate_limited: false,
            software: None,
        })
    }

    fn report(&self, _attempt: AttemptId, report: AttemptReport) {
        let is_end = !matches!(
            report,
            AttemptReport::FirstToken | AttemptReport::Silent | AttemptReport::Resumed
        );
        self.open_attempts.lock().unwrap().0 -= usize::from(is_end);
        self.reports.lock().unwrap().push(report);
    }

    fn report_load(&self, _load: Load) {}

    fn report_notice(&self, _backend: &str, notice: BackendNotice) {
        self.notices.lock().unwrap().push(notice);
    }

    fn record_stream(&self, stream: StreamId, origin: StreamOrigin, _keep: Millis) {
        self.streams.lock().unwrap().insert(stream, origin);
    }

    async fn find_origin(&self, stream: StreamId, _service: &str) -> Option<StreamOrigin> {
        self.streams.lock().unwrap().get(&stream).cloned()
    }

    fn record_response(&self, _response: &ResponseRecord) {}

    fn record_end(&self, _end: &RequestEnd<'_>) {}
}

impl ScriptedControl {
    /// Creates a control with one route of `kind`, to whose JSON `extra` is added, and one public
    /// route.
    pub(crate) fn new(kind: &str, extra: &str, backends: &[&Backend]) -> ScriptedControl {
        let (stop, stop_rx) = watch::channel(None);
        ScriptedControl {
            config: Arc::new(config(kind, extra)),
            backends: backends.iter().map(|b| b.address).collect(),
            tokens: Mutex::new(1_000),
            used: Mutex::default(),
            reports: Mutex::default(),
            notices: Mutex::default(),
            next: AtomicU64::new(0),
            open_attempts: Mutex::default(),
            stop,
            stop_rx,
            streams: Mutex::default(),
            assign_time: Mutex::default(),
        }
    }

    /// Returns the largest number of attempts that were open at once.
    pub(crate) fn most_open_attempts(&self) -> usize {
        self.open_attempts.lock().unwrap().1
    }

    /// Returns how often an attempt was reported in this way.
    pub(crate) fn report_count(&self, report: AttemptReport) -> usize {
        let reports = self.reports.lock().unwrap();
        reports.iter().filter(|r| **r == report).count()
    }

    /// Whether an attempt was reported to have crashed in this way.
    pub(crate) fn crashed(&self, kind: CrashKind) -> bool {
        self.reports
            .lock()
            .unwrap()
            .contains(&AttemptReport::Crashed { kind })
    }
}

// Dialect

/// Dialect with header names of these tests.
pub(crate) struct TestDialect;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses parts of a prompt, as `ID:TOKENS` separated by commas, with hexadecimal identifiers.
fn parse_prompt(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.split_once(':').unwrap();
        PromptPart {
            id: u64::from_str_radix(id, 16).unwrap(),
            tokens: tokens.parse().unwrap(),
        }
    });
    parts.collect()
}

impl Dialect for TestDialect {
    fn read_request(&self, head: &request::Parts) -> RequestInfo {
        let headers = &head.headers;
        let tokens = header_text(headers, "x-tokens").and_then(|t| t.split_once('+'));
        RequestInfo {
            attempt: header_text(headers, "x-attempt").map(str::to_owned),
            credential: header_text(headers, "x-key").map(|k| k.to_owned().into()),
            timeout: header_text(headers, "x-patience")
                .and_then(|p| p.parse().ok())
                .map(Millis),
            tokens: tokens.map(|(prompt, output)| TokenBound {
                prompt: prompt.parse().unwrap(),
                output: output.parse().unwrap(),
            }),
            prompt: header_text(headers, "x-prompt")
                .map(parse_prompt)
                .unwrap_or_default(),
            output_estimate: None,
            resume_after: header_text(headers, "x-after").and_then(|id| id.parse().ok()),
            resumes: header_text(headers, "x-resumes").map(|a| a.to_owned().into()),
        }
    }

    fn forward_headers(&self, head: &request::Parts, forward: &ForwardInfo<'_>) -> HeaderMap {
        let mut headers = head.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove("x-key");
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).unwrap();
            headers.insert(HeaderName::from_static(name), value);
        };
        set("x-backend", forward.backend.to_owned());
        set("x-customer", forward.customer.unwrap_or("-").to_owned());
        if let Some(id) = forward.resume_after {
            set("x-resume-after", id.to_string());
        }
        headers
    }

    fn read_response(&self, head: &response::Parts) -> ResponseInfo {
        let headers = &head.headers;
        let attempts = headers.get_all("x-attempt").iter();
        let attempts: Vec<&str> = attempts.map(|a| a.to_str().unwrap()).collect();
        ResponseInfo {
            attempt: (!attempts.is_empty()).then(|| attempts.join(",")),
            sealed: headers.contains_key("x-seal"),
            not_run: headers.contains_key("x-not-run"),
            misdirected: head.status == 421,
            encoded: headers.contains_key("content-encoding"),
            leaving: headers.contains_key("x-leaving"),
            retry_after: header_text(headers, "x-rest").map(|ms| Millis(ms.parse().unwrap())),
            cold: None,
            rate_limit: header_text(headers, "x-limit")
                .and_then(|rate| RequestRate::from_per_second(rate.parse().unwrap()))
                .map_or(RateLimitHeader::Absent, RateLimitHeader::Limit),
            load: None,
            keep_alive: None,
            closes_connection: header_text(headers, "connection") == Some("close"),
        }
    }
}

// Gateway

/// Returns a configuration with one route of `kind`, to whose JSON `extra` is added, and one public
/// route.
pub(crate) fn config(kind: &str, extra: &str) -> Config {
    let config = format!(
        r#"{{"version":1,"site":"s","routing":{{"queue_limit":64}},"ledger":{{}},
        "services":[{{"name":"svc","pool":"svc"}}],
        "pools":[{{"name":"svc","kind":"service","max_concurrency":4,"tokens_per_event":10}}],
        "budgets":[{{"name":"north","prepaid":1000}}],
        "customers":[{{"name":"north","budget":"north","token_sha256":"{SECRET_SHA256}"}}],
        "callers":{{"max_body_bytes":2000}},
        "routes":[{{"name":"r","host":"svc.example","prefix":"/a/","kind":"{kind}",
          "targets":[{{"service":"svc"}}],"timeout_ms":3000{extra}}},
         {{"name":"open","host":"svc.example","prefix":"/a/open/","kind":"idempotent",
          "public":true,"targets":[{{"service":"svc"}}]}}]}}"#
    );
    serde_json::from_str(&config).unwrap()
}

/// A gateway and its control, which records reports and settled tokens.
pub(crate) struct TestGateway {
    address: SocketAddr,
    pub(crate) control: Arc<ScriptedControl>,
}

impl TestGateway {
    /// Starts a gateway with one route of `kind`, to whose JSON `extra` is added, and one public
    /// route.
    pub(crate) async fn start(kind: &str, extra: &str, backends: &[&Backend]) -> TestGateway {
        let control = Arc::new(ScriptedControl::new(kind, extra, backends));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let gateway = Gateway::new(Arc::clone(&control), TestDialect, Arc::default(), 100);
        tokio::spawn(async move { gateway.serve(listener, std::future::pending()).await });
        TestGateway { address, control }
    }

    /// Sends a request and reads the response until the connection ends.
    pub(crate) async fn send(&self, head: &str, body: &str) -> String {
        self.send_as("a1", head, body).await
    }

    /// Does the same as `send`, with `attempt` as the identifier of the attempt.
    pub(crate) async fn send_as(&self, attempt: &str, head: &str, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let len = body.len();
        let req = format!(
            "{head} HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: {attempt}\r\nX-Key: secret\r\n\
            Connection: close\r\nContent-Length: {len}\r\n\r\n{body}"
        );
        stream.write_all(req.as_bytes()).await.unwrap();
        read_all(stream).await
    }

    /// Sends bytes as they are and reads the response until the connection ends.
    pub(crate) async fn send_raw(&self, bytes: &str) -> String {
        read_all(self.connect(bytes).await).await
    }

    /// Sends bytes as they are and returns the connection, from which the response can be read.
    pub(crate) async fn connect(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        stream
    }

    /// Waits until a request is settled and returns the tokens that each settled request used.
    pub(crate) async fn tokens_used(&self) -> Vec<u64> {
        for _ in 0..100 {
            let used = self.control.used.lock().unwrap().clone();
            if !used.is_empty() {
                return used;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Vec::new()
    }
}

/// SHA-256 of `secret`.
const SECRET_SHA256: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

pub(crate) async fn read_all(mut stream: TcpStream) -> String {
    let mut buf = Vec::new();
    let read = tokio::time::timeout(EXCHANGE_TIMEOUT, stream.read_to_end(&mut buf)).await;
    // A reset ends the response like a close. The bytes received before it count.
    drop(read.expect("the answer has no end"));
    String::from_utf8_lossy(&buf).into_owned()
}

/// Returns a complete response with `headers` and a `Content-Length`.
pub(crate) fn full_response(status: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\nX-Attempt: a1\r\n{headers}Content-Length: {len}\r\n\r\n{body}")
}

/// Returns the head of a chunked event stream.
pub(crate) fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\
    Transfer-Encoding: chunked\r\n\r\n"
        .to_owned()
}

/// Returns `data` as one chunk.
pub(crate) fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Returns an event with an identifier.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

/// Returns the identifiers of the events in a response, in order.
pub(crate) fn event_ids(res: &str) -> Vec<u64> {
    let lines = res.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

/// The last chunk, which ends a chunked stream.
pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";
