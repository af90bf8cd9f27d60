//! Backend servers that write bytes by hand, request by request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::support::{ATTEMPT_FIELD, Backend};

/// Text of a [`Step::Write`] that stands for the attempt of the request that was read last.
pub(crate) const OWN: &str = "{own}";
/// Text of a [`Step::Write`] that stands for the attempt of the request that was read before it.
pub(crate) const EARLIER: &str = "{earlier}";

/// Time for which a server looks for bytes before it closes a connection.
const ARRIVAL_TIME: Duration = Duration::from_millis(1);

/// What a server does with a request; the steps are carried out in turn.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Reads a whole request and records it as run.
    Run,
    /// Reads this many bytes of a request.
    Read(usize),
    /// Reads a whole request.
    ReadRequest,
    /// Writes these bytes, with [`OWN`] and [`EARLIER`] replaced.
    Write(String),
    /// Waits.
    Pause(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Closes the sending half and goes on reading.
    ShutDownWrite,
}

/// A server that carries out the same steps on each of its connections, the first time with the
/// steps of the first list, and so on. The last list is repeated.
pub(crate) struct RawBackend {
    pub(crate) backend: Backend,
    /// Bytes that were received, a text for each connection.
    received: Arc<Mutex<Vec<String>>>,
    /// Requests that ran.
    runs: Arc<Mutex<Vec<String>>>,
}

impl RawBackend {
    /// Starts a server; `connections` holds the steps of its first connection, its second, and so
    /// on.
    pub(crate) async fn start(connections: Vec<Vec<Step>>) -> RawBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let server = RawBackend {
            backend: Backend::absent(address),
            received: Arc::clone(&received),
            runs: Arc::clone(&runs),
        };
        tokio::spawn(async move {
            let mut accepted = 0;
            while let Ok((stream, _)) = listener.accept().await {
                let steps = connections[accepted.min(connections.len() - 1)].clone();
                received.lock().unwrap().push(String::new());
                let connection = RawConnection {
                    stream,
                    number: accepted,
                    attempts: Vec::new(),
                    received: Arc::clone(&received),
                    runs: Arc::clone(&runs),
                };
                tokio::spawn(connection.serve(steps));
                accepted += 1;
            }
        });
        server
    }

    /// Returns the identifiers of the attempts that ran.
    pub(crate) fn attempts_run(&self) -> Vec<String> {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .map(|r| attempt_of(r))
            .collect()
    }

    /// Returns the number of requests of which the first bytes were received, also if the server did not
    /// read them before it closed the connection.
    pub(crate) fn requests_begun(&self) -> usize {
        let received = self.received.lock().unwrap();
        let begun = |connection: &String| connection.matches("POST /").count();
        received.iter().map(begun).sum()
    }

    /// Returns the number of connections that were accepted.
    pub(crate) fn connection_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// Returns the identifier of a request's attempt.
fn attempt_of(req: &str) -> String {
    let fields = req.lines().filter_map(|l| l.split_once(": "));
    let mut attempts = fields.filter_map(|(name, value)| (name == ATTEMPT_FIELD).then_some(value));
    attempts.next().unwrap_or_default().to_owned()
}

struct RawConnection {
    stream: TcpStream,
    number: usize,
    /// Attempts of the requests that were read, the last one first.
    attempts: Vec<String>,
    received: Arc<Mutex<Vec<String>>>,
    runs: Arc<Mutex<Vec<String>>>,
}

impl RawConnection {
    async fn serve(mut self, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Run => {
                    let Some(req) = self.read_request().await else {
                        return;
                    };
                    self.runs.lock().unwrap().push(req);
                }
                Step::ReadRequest => {
                    self.read_request().await;
                }
                Step::Read(bytes) => self.read(bytes).await,
                // The router may have closed the connection.
                Step::Write(text) => {
                    let attempt = |i: usize| self.attempts.get(i).map_or("", String::as_str);
                    let text = text.replace(OWN, attempt(0)).replace(EARLIER, attempt(1));
                    drop(self.stream.write_all(text.as_bytes()).await);
                }
                Step::Pause(span) => tokio::time::sleep(span).await,
                Step::Close => {
                    self.record_unread().await;
                    return;
                }
                Step::Reset => {
                    self.record_unread().await;
                    #[allow(deprecated)]
                    self.stream.set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                Step::ShutDownWrite => drop(self.stream.shutdown().await),
            }
        }
        // Reads on until the router closes the connection.
        while self.read_some().await > 0 {}
    }

    async fn read_request(&mut self) -> Option<String> {
        let req = read_request(&mut self.stream).await?;
        self.received.lock().unwrap()[self.number].push_str(&req);
        self.attempts.insert(0, attempt_of(&req));
        Some(req)
    }

    async fn read(&mut self, bytes: usize) {
        let mut buf = vec![0; bytes];
        if self.stream.read_exact(&mut buf).await.is_ok() {
            let text = String::from_utf8_lossy(&buf);
            self.received.lock().unwrap()[self.number].push_str(&text);
        }
    }

    /// Records bytes that have arrived and leaves them unread.
    async fn record_unread(&mut self) {
        let mut buf = [0; 4_096];
        if let Ok(Ok(len)) = timeout(ARRIVAL_TIME, self.stream.peek(&mut buf)).await {
            let text = String::from_utf8_lossy(&buf[..len]);
            self.received.lock().unwrap()[self.number].push_str(&text);
        }
    }

    async fn read_some(&mut self) -> usize {
        let mut buf = [0; 4_096];
        let len = self.stream.read(&mut buf).await.unwrap_or(0);
        let text = String::from_utf8_lossy(&buf[..len]);
        self.received.lock().unwrap()[self.number].push_str(&text);
        len
    }
}

/// Reads a request, with a body of the length that its head states.
pub(crate) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| {
                let (name, value) = l.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse::<usize>().unwrap())
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let mut part = [0; 4_096];
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => return None,
            Ok(len) => buf.extend_from_slice(&part[..len]),
        }
    }
}
