use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::{sync::watch, time::timeout};

use crate::{
    answer::{Answer, Ended, Refused, Verdict, judge},
    http_client::send,
};

/// Longest time of one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(90);

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// A streamed chat completion.
    Completion { prompt: String, max_tokens: u64 },
    /// A call of a plain service.
    Service { service: String, price: u64 },
}

/// A request under a key of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) key: String,
    pub(crate) work: Work,
}

impl Request {
    /// Sends the request once; the number of tokens that came is told as it rises.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        token: &str,
        came: &watch::Sender<u64>,
    ) -> Ended {
        let ended = timeout(TRY_TIMEOUT, self.try_send(address, token, came)).await;
        match ended {
            Ok(Ok(ended)) => ended,
            Ok(Err(cause)) => Ended::Broken(cause),
            Err(_) => Ended::Broken("no answer in time".to_owned()),
        }
    }

    async fn try_send(
        &self,
        address: SocketAddr,
        token: &str,
        came: &watch::Sender<u64>,
    ) -> Result<Ended, String> {
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
        match &self.work {
            Work::Completion { prompt, .. } => read_stream(res, prompt, came).await,
            Work::Service { price, .. } => read_service(res, *price).await,
        }
    }

    fn path_and_body(&self) -> (String, Value) {
        match &self.work {
            Work::Completion { prompt, max_tokens } => {
                let body = json!({
                    "model": "assistant",
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": max_tokens,
                    "stream": true,
                });
                ("/v1/chat/completions".to_owned(), body)
            }
            Work::Service { service, .. } => {
                let path = format!("/v1/services/{service}/calls");
                (path, json!({ "for": self.key }))
            }
        }
    }
}

fn is_problem(res: &Response<Incoming>) -> bool {
    let kind = res.headers().get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"application/problem+json"))
}

async fn read_problem(res: Response<Incoming>) -> Result<Ended, String> {
    let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
    let refused: Refused = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    Ok(Ended::Refused(refused))
}

async fn read_service(res: Response<Incoming>, price: u64) -> Result<Ended, String> {
    let body = res.into_body().collect().await.map_err(|e| e.to_string())?;
    let answer: Value = serde_json::from_slice(&body.to_bytes()).map_err(|e| e.to_string())?;
    let verdict = match answer["run"].as_u64() {
        Some(1) => Verdict::Own,
        Some(_) => Verdict::Rerun,
        None => Verdict::Foreign,
    };
    Ok(Ended::Answered(Answer {
        verdict,
        tokens: price,
    }))
}

async fn read_stream(
    res: Response<Incoming>,
    prompt: &str,
    came: &watch::Sender<u64>,
) -> Result<Ended, String> {
    let mut stream = Stream::default();
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
            came.send_replace(stream.came);
        }
    }
    stream.end(prompt)
}

/// A streamed answer as far as it came.
#[derive(Debug, Default)]
struct Stream {
    text: String,
    /// Chunks with text.
    came: u64,
    completion_tokens: u64,
    total_tokens: u64,
    /// Whether the next data line is a problem document.
    error: bool,
    refused: Option<Refused>,
    done: bool,
}

impl Stream {
    fn read_line(&mut self, line: &str) {
        self.error |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
        } else if self.error {
            self.refused = serde_json::from_str(data).ok();
        } else {
            self.read_chunk(&serde_json::from_str(data).unwrap_or_default());
        }
    }

    fn read_chunk(&mut self, chunk: &Value) {
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        let text = text.unwrap_or_default();
        self.text.push_str(text);
        self.came += u64::from(!text.is_empty());
        let usage = &chunk["usage"];
        let count = |name| usage[name].as_u64();
        self.completion_tokens = count("completion_tokens").unwrap_or(self.completion_tokens);
        self.total_tokens = count("total_tokens").unwrap_or(self.total_tokens);
    }

    fn end(self, prompt: &str) -> Result<Ended, String> {
        if let Some(refused) = self.refused {
            return Ok(Ended::Refused(refused));
        }
        if !self.done {
            return Err("the stream has no end mark".to_owned());
        }
        Ok(Ended::Answered(Answer {
            verdict: judge(prompt, &self.text, self.completion_tokens),
            tokens: self.total_tokens,
        }))
    }
}
