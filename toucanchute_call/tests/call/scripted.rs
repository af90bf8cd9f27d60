use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// A fake router that sends the scripted replies in order, one to each request, and closes the
/// connection after each. Requests for the address list are answered without a scripted reply.
pub(crate) struct Router {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    addresses: Vec<SocketAddr>,
    replies: Vec<String>,
    requests: Vec<String>,
}

impl Router {
    pub(crate) fn start(replies: &[&str]) -> Router {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State {
            addresses: vec![address],
            replies: replies.iter().rev().map(ToString::to_string).collect(),
            requests: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming() {
                serve(stream.unwrap(), &shared);
            }
        });
        Router { address, state }
    }

    pub(crate) fn advertise(&self, addresses: &[SocketAddr]) {
        self.state.lock().unwrap().addresses = addresses.to_vec();
    }

    /// Returns the heads and bodies of all requests except those for the address list.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.state.lock().unwrap().requests.clone()
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let Some(req) = read(&stream) else { return };
    let reply = {
        let mut state = state.lock().unwrap();
        if req.starts_with("GET /v1/addresses") {
            let list = serde_json::json!({"addresses": state.addresses, "max_age_ms": 60_000});
            ok("application/json", &list.to_string())
        } else {
            state.requests.push(req);
            state.replies.pop().unwrap_or_default()
        }
    };
    let _ = stream.write_all(reply.as_bytes());
}

fn read(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut req = String::new();
    while !req.ends_with("\r\n\r\n") {
        if reader.read_line(&mut req).ok()? == 0 {
            return None;
        }
    }
    let lower = req.to_ascii_lowercase();
    let len = lower.split_once("content-length: ").map(|(_, rest)| rest);
    let len = len.and_then(|rest| rest.lines().next()?.parse().ok());
    let mut body = vec![0; len.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    req.push_str(str::from_utf8(&body).ok()?);
    Some(req)
}

// Replies

pub(crate) fn ok(kind: &str, body: &str) -> String {
    reply("200 OK", kind, "toucanchute-request: 4be1\r\n", body)
}

pub(crate) fn problem(status: &str, headers: &str, body: &str) -> String {
    reply(status, "application/problem+json", headers, body)
}

/// Returns a chunked response that is cut off after `events`, without the terminating chunk of the
/// transfer coding.
pub(crate) fn cut_stream(events: &str) -> String {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    format!(
        "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
        events.len()
    )
}

pub(crate) fn whole_answer(text: &str) -> String {
    let answer = serde_json::json!({
        "choices": [{"message": {"content": text}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 2, "completion_tokens": 3},
    });
    ok("application/json", &answer.to_string())
}

fn reply(status: &str, kind: &str, headers: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: {kind}\r\nconnection: close\r\n\
         content-length: {len}\r\n{headers}\r\n{body}"
    )
}
