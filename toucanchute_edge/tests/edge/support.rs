//! Starts an edge with its backend servers, and sends requests to them.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};
use toucanchute_edge::{Edge, EdgeSettings};
use toucanchute_fakes::{Engine, EngineOptions, Service, ServiceOptions, answer_token};
use toucanchute_proto::Millis;

use crate::test_control::{TOKEN_SHA256, TestControl};

/// Field of a request's head that names its attempt.
pub(crate) const ATTEMPT_FIELD: &str = "toucanchute-attempt";
/// Limit on the connections of callers.
pub(crate) const MAX_CONNECTIONS: usize = 16;
/// Prompt of most completions.
pub(crate) const PROMPT: &str = "why does the \"gate\" stick?";

/// Where a backend server that a test plays by hand is reached.
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
}

impl Backend {
    pub(crate) fn absent(address: SocketAddr) -> Backend {
        Backend { address }
    }
}

/// A running edge with a client for it.
pub(crate) struct TestEdge {
    pub(crate) address: SocketAddr,
    pub(crate) control: Arc<TestControl>,
    pub(crate) server_task: JoinHandle<()>,
    pub(crate) shutdown: oneshot::Sender<()>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestEdge {
    pub(crate) async fn start(control: TestControl) -> TestEdge {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let control = Arc::new(control);
        let settings = EdgeSettings {
            header_timeout: Millis(1_000),
            body_timeout: Millis(1_000),
            token_timeout: Millis(1_000),
            max_header_bytes: 2048,
            max_connections: MAX_CONNECTIONS,
            operator_token_sha256: TOKEN_SHA256.to_owned(),
            ..EdgeSettings::default()
        };
        let edge = Edge::new(Arc::clone(&control), settings);
        let (shutdown, shutdown_requested) = oneshot::channel();
        let server_task = tokio::spawn(async move {
            edge.serve(listener, async { drop(shutdown_requested.await) })
                .await;
        });
        TestEdge {
            address,
            control,
            server_task,
            shutdown,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Response<Incoming> {
        let key = key.map(|key| ("idempotency-key", key));
        self.post_with(path, key.as_slice(), body).await
    }

    pub(crate) async fn post_with(
        &self,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Response<Incoming> {
        let mut req = Request::post(format!("http://{}{path}", self.address))
            .header("authorization", "Bearer secret");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body.to_string())).unwrap();
        self.client.request(req).await.unwrap()
    }

    /// Requests a completion of [`PROMPT`].
    pub(crate) async fn complete(&self, stream: bool) -> Response<Incoming> {
        let body = json!({"model": "m", "stream": stream, "max_tokens": 200,
            "messages": [{"role": "user", "content": PROMPT}]});
        self.post("/v1/chat/completions", None, &body).await
    }
}

/// Starts one model engine for each fault; an empty fault is none.
pub(crate) async fn start_engines(faults: &[Value]) -> Vec<Engine> {
    let mut out = Vec::new();
    for fault in faults {
        let options = EngineOptions {
            first_token_ms: 1,
            token_ms: 1,
            answer_tokens: 8,
            ..EngineOptions::default()
        };
        let engine = Engine::bind("127.0.0.1:0".parse().unwrap(), options).await;
        let engine = engine.unwrap();
        send_request(engine.address(), "POST", "/fault", fault).await;
        out.push(engine);
    }
    out
}

/// Starts one plain service for each fault; an empty fault is none.
pub(crate) async fn start_services(faults: &[Value]) -> Vec<Service> {
    let mut out = Vec::new();
    for fault in faults {
        let options = ServiceOptions::default();
        let service = Service::bind("127.0.0.1:0".parse().unwrap(), options).await;
        let service = service.unwrap();
        send_request(service.address(), "POST", "/fault", fault).await;
        out.push(service);
    }
    out
}

/// Sends a request to a stand-in backend server; retries until a crashed one accepts connections
/// again.
pub(crate) async fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &Value,
) -> Value {
    let client = Client::builder(TokioExecutor::new()).build_http();
    loop {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::<Bytes>::from(body.to_string()))
            .unwrap();
        match client.request(req).await {
            Ok(res) => return read_json(res).await,
            Err(err) => assert!(err.is_connect(), "{err:?}"),
        }
    }
}

pub(crate) async fn read_json(res: Response<Incoming>) -> Value {
    let body = res.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Returns the text of the first `tokens` tokens of the answer to [`PROMPT`].
pub(crate) fn answer_text(tokens: u64) -> String {
    answer_text_for(PROMPT, tokens)
}

/// Returns the text of the first `tokens` tokens of the answer to `prompt`.
pub(crate) fn answer_text_for(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|i| answer_token(prompt, i)).collect()
}

/// The content of a stream as received by its caller.
#[derive(Debug, Default)]
pub(crate) struct ReceivedStream {
    pub(crate) text: String,
    pub(crate) tokens: u64,
    pub(crate) ids: Vec<String>,
    pub(crate) done: bool,
    pub(crate) finished: bool,
    pub(crate) error: Option<Value>,
}

impl ReceivedStream {
    /// Reads a stream to its end, or until `enough` returns true.
    pub(crate) async fn read(
        body: &mut Incoming,
        enough: impl Fn(&ReceivedStream) -> bool,
    ) -> ReceivedStream {
        let mut stream = ReceivedStream::default();
        let mut buf = String::new();
        while !enough(&stream) {
            let Some(frame) = body.frame().await else {
                break;
            };
            let data = frame.unwrap().into_data().unwrap();
            buf.push_str(std::str::from_utf8(&data).unwrap());
            while let Some((event, rest)) = buf.split_once("\n\n") {
                stream.add_event(event);
                buf = rest.to_owned();
            }
        }
        stream
    }

    fn add_event(&mut self, event: &str) {
        if event == "data: [DONE]" {
            self.done = true;
            return;
        }
        if let Some(error) = event.strip_prefix("event: error\ndata: ") {
            self.error = Some(serde_json::from_str(error).unwrap());
            return;
        }
        let chunk: Value = serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap();
        let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap();
        assert_eq!(chunk["offset"], self.tokens);
        self.tokens += u64::from(!text.is_empty());
        self.text.push_str(text);
        self.finished |= !chunk["choices"][0]["finish_reason"].is_null();
        self.ids.push(chunk["id"].as_str().unwrap().to_owned());
    }
}
