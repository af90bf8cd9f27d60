//! Test setup: a gateway, a control that assigns scripted backend servers, and a caller.

mod control;
mod dialect;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use toucanchute_edge::passthrough::Gateway;
use toucanchute_proto::config::Config;

pub(crate) use control::ScriptedControl;
pub(crate) use dialect::TestDialect;

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
