use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Times of the tokens of some streams, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct Times {
    /// From the request to its first token.
    pub(crate) first: Vec<u64>,
    /// From one token to the next.
    pub(crate) between: Vec<u64>,
    /// Number of tokens.
    pub(crate) tokens: u64,
    /// Number of requests that got no token.
    pub(crate) refused: u64,
}

impl Times {
    /// Adds the times of `other`.
    pub(crate) fn merge(&mut self, other: Times) {
        self.first.extend(other.first);
        self.between.extend(other.between);
        self.tokens += other.tokens;
        self.refused += other.refused;
    }
}

/// Returns the value below which a share of `times` lies; sorts them.
pub(crate) fn quantile(times: &mut [u64], share: f64) -> u64 {
    times.sort_unstable();
    let place = (times.len() as f64 * share) as usize;
    times
        .get(place.min(times.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}

/// One connection to an edge or to a model engine.
pub(crate) struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    /// Connects to `address`.
    pub(crate) async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.expect("a connection");
        stream.set_nodelay(true).expect("no delay");
        let (sender, conn) = http1::handshake(TokioIo::new(stream))
            .await
            .expect("a handshake");
        tokio::spawn(conn);
        Caller { sender }
    }

    /// Streams one completion; `attempt` is what a model engine asks for.
    pub(crate) async fn stream(&mut self, attempt: u64, max_tokens: u64) -> Times {
        let body = format!(
            r#"{{"model":"m","stream":true,"max_tokens":{max_tokens},"prompt":"prompt {attempt}"}}"#
        );
        let req = Request::post("/v1/completions")
            .header("host", "bench")
            .header("authorization", "Bearer bench-secret")
            .header("toucanchute-attempt", format!("0000000000000002-{attempt}"))
            .body(Full::from(body))
            .expect("a request");
        let mut last = Instant::now();
        self.sender.ready().await.expect("a connection");
        let mut body = self
            .sender
            .send_request(req)
            .await
            .expect("an answer")
            .into_body();
        let mut times = Times::default();
        while let Some(frame) = body.frame().await {
            let data = frame
                .expect("a whole answer")
                .into_data()
                .unwrap_or_default();
            let tokens = count_tokens(&data);
            if tokens == 0 {
                continue;
            }
            let now = Instant::now();
            let span = now.duration_since(last).as_micros() as u64;
            if times.tokens == 0 {
                times.first.push(span);
            } else {
                times.between.push(span);
            }
            times.tokens += tokens;
            last = now;
        }
        times.refused = u64::from(times.tokens == 0);
        times
    }
}

/// Counts the chunks that carry a token: all but the last one.
fn count_tokens(data: &[u8]) -> u64 {
    let mark = b"\"finish_reason\":null";
    data.windows(mark.len())
        .filter(|window| window == mark)
        .count() as u64
}
