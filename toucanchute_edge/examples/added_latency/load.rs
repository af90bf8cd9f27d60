use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Arrival times of the tokens of one or more streams, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct TokenTimes {
    /// From the request to its first token.
    pub(crate) first: Vec<u64>,
    /// From one token to the next.
    pub(crate) between: Vec<u64>,
    /// Number of tokens.
    pub(crate) tokens: u64,
    /// Number of requests that received no token.
    pub(crate) refused: u64,
}

impl TokenTimes {
    /// Adds the times and counts of `other`.
    pub(crate) fn merge(&mut self, other: TokenTimes) {
        self.first.extend(other.first);
        self.between.extend(other.between);
        self.tokens += other.tokens;
        self.refused += other.refused;
    }
}

/// Sorts `times` and returns the quantile at `share`, from 0 to 1.
pub(crate) fn quantile(times: &mut [u64], share: f64) -> u64 {
    times.sort_unstable();
    let index = (times.len() as f64 * share) as usize;
    times
        .get(index.min(times.len().saturating_sub(1)))
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

    /// Streams one completion. `attempt` is sent in the header that model engines require.
    pub(crate) async fn stream(&mut self, attempt: u64, max_tokens: u64) -> TokenTimes {
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
        let mut times = TokenTimes::default();
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
    let pattern = b"\"finish_reason\":null";
    data.windows(pattern.len())
        .filter(|window| window == pattern)
        .count() as u64
}
