use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};

use crate::{
    answer::{Answer, Outcome, Problem, Verdict, check_answer},
    http_client::send,
};

/// Timeout of one attempt at a request.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(90);

/// Operation that a request performs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Operation {
    /// A streamed chat completion.
    Completion { prompt: String, max_tokens: u64 },
    /// A call of a service that is not a model engine.
    ServiceCall { service: String, price: u64 },
}

/// A request with its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) key: String,
    pub(crate) operation: Operation,
}

impl Request {
    /// Sends the request once. The number of tokens received so far is published to
    /// `tokens_received`.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        token: &str,
        tokens_received: &watch::Sender<u64>,
    ) -> Outcome {
        let outcome = timeout(
            ATTEMPT_TIMEOUT,
            self.send_without_timeout(address, token, tokens_received),
        )
        .await;
        match outcome {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(cause)) => Outcome::Interrupted(cause),
            Err(_) => Outcome::Interrupted("request timed out".to_owned()),
        }
    }

    async fn send_without_timeout(
        &self,
        address: SocketAddr,
        token: &str,
        tokens_received: &watch::Sender<u64>,
    ) -> Result<Outcome, String> {
        let (path, body) = self.path_and_body();
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
            ("idempotency-key", self.key.as_str()),
        ];
        let body = Bytes::from(body.to_string());
        let res = send(address, Method::POST, &path, &headers, body).await?;
        if is_problem(&res) {
            return read_problem(res).await;
        }
        match &self.operation {
            Operation::Completion { prompt, .. } => read_stream(res, prompt, tokens_received).await,
            Operation::ServiceCall { price, .. } => read_service(res, *price).await,
        }
    }

    fn path_and_body(&self) -> (String, Value) {
        match &self.operation {
            Operation::Completion { prompt, max_tokens } => {
                let body = json!({
                    "model": "assistant",
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": max_tokens,
                    "stream": true,
                });
                ("/v1/chat/completions".to_owned(), body)
            }
            Operation::ServiceCall { service, .. } => {
                let path = format!("/v1/services/{service}/calls");
                (path, json!({ "for": self.key }))
            }
        }
    }
}

fn is_problem(res: &Response<Incoming>) -> bool {
    let content_type = res.headers().get(header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"application/problem+json"))
}

async fn read_problem(res: Response<Incoming>) -> Result<Outcome, String> {
    let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
    let problem: Problem = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    Ok(Outcome::Refused(problem))
}

async fn read_service(res: Response<Incoming>, price: u64) -> Result<Outcome, String> {
    let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
    let answer: Value = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    let verdict = match answer["run"].as_u64() {
        Some(1) => Verdict::Correct,
        Some(_) => Verdict::Rerun,
        None => Verdict::Foreign,
    };
    Ok(Outcome::Answered(Answer {
        verdict,
        expected_bill: price,
    }))
}

async fn read_stream(
    res: Response<Incoming>,
    prompt: &str,
    tokens_received: &watch::Sender<u64>,
) -> Result<Outcome, String> {
    let mut stream = StreamedAnswer::default();
    let mut body = res.into_body();
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let data = frame
            .map_err(|e| e.to_string())?
            .into_data()
            .unwrap_or_default();
        buf.extend_from_slice(&data);
        while let Some(end) = buf.iter().position(|&b| b == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            stream.read_line(String::from_utf8_lossy(&line).trim_end());
            tokens_received.send_replace(stream.tokens_received);
        }
    }
    stream.finish(prompt)
}

/// The received part of a streamed answer.
#[derive(Debug, Default)]
struct StreamedAnswer {
    text: String,
    /// Number of chunks with text; each holds one token.
    tokens_received: u64,
    completion_tokens: u64,
    total_tokens: u64,
    /// Whether an error event has started, whose data is a problem document.
    is_error_event: bool,
    problem: Option<Problem>,
    done: bool,
}

impl StreamedAnswer {
    fn read_line(&mut self, line: &str) {
        self.is_error_event |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
        } else if self.is_error_event {
            self.problem = serde_json::from_str(data).ok();
        } else {
            self.read_chunk(&serde_json::from_str(data).unwrap_or_default());
        }
    }

    fn read_chunk(&mut self, chunk: &Value) {
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        let text = text.unwrap_or_default();
        self.text.push_str(text);
        self.tokens_received += u64::from(!text.is_empty());
        let usage = &chunk["usage"];
        let count = |name| usage[name].as_u64();
        self.completion_tokens = count("completion_tokens").unwrap_or(self.completion_tokens);
        self.total_tokens = count("total_tokens").unwrap_or(self.total_tokens);
    }

    fn finish(self, prompt: &str) -> Result<Outcome, String> {
        if let Some(problem) = self.problem {
            return Ok(Outcome::Refused(problem));
        }
        if !self.done {
            return Err("the stream ended without `[DONE]`".to_owned());
        }
        Ok(Outcome::Answered(Answer {
            verdict: check_answer(prompt, &self.text, self.completion_tokens),
            expected_bill: self.total_tokens,
        }))
    }
}
