//! Backend servers that end when they run a marked request, register themselves and come back.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
};
use toucanchute_proto::config::Backend;

use crate::support::{read_message, whole};

/// Time from an end until the registration shows it.
const LAPSE: Duration = Duration::from_millis(400);

/// Time after which another run of an ended server starts.
const RETURN: Duration = Duration::from_millis(300);

/// How a server ends, as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Connections break and new ones are refused.
    Refuses,
    /// The connection breaks, and another run listens at the address.
    BackAtOnce,
    /// Connections stay open and silent.
    Silent,
    /// The answer breaks off after its head.
    WithinAnswer,
    /// As [`Way::Refuses`], but every second run answers with a failure instead.
    FailsInTurn,
    /// As [`Way::Refuses`], but every second run answers that the request is wrong instead.
    RejectsInTurn,
}

/// The servers of a site; clones are the same.
#[derive(Clone)]
pub(crate) struct Servers {
    way: Way,
    /// Registrations.
    pub(crate) listed: watch::Sender<Vec<Backend>>,
    marked_runs: Arc<AtomicUsize>,
    ended: Arc<AtomicUsize>,
    starts: Arc<AtomicUsize>,
}

/// One run of a server.
struct Run {
    servers: Servers,
    name: Mutex<String>,
    address: SocketAddr,
    /// Set to true when it has ended.
    over: watch::Sender<bool>,
}

impl Servers {
    pub(crate) async fn start(count: usize, way: Way) -> Servers {
        let servers = Servers {
            way,
            listed: watch::Sender::new(Vec::new()),
            marked_runs: Arc::default(),
            ended: Arc::default(),
            starts: Arc::default(),
        };
        for _ in 0..count {
            servers.start_one().await;
        }
        servers
    }

    /// Runs of servers that ended.
    pub(crate) fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    fn next_name(&self) -> String {
        format!("s{}", self.starts.fetch_add(1, Ordering::Relaxed))
    }

    /// Starts a run of a server. Boxed, since the end of a run starts another one.
    fn start_one(&self) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let run = Arc::new(Run {
                servers: self.clone(),
                name: Mutex::new(self.next_name()),
                address: listener.local_addr().unwrap(),
                over: watch::Sender::new(false),
            });
            self.register(&run);
            tokio::spawn(run.accept(listener));
        })
    }

    fn register(&self, run: &Run) {
        let backend = Backend {
            name: run.name.lock().unwrap().clone(),
            pool: "svc".to_owned(),
            address: run.address.to_string(),
            failure_domain: "d".to_owned(),
        };
        self.listed.send_modify(|all| all.push(backend));
    }

    async fn unregister(&self, name: &str) {
        tokio::time::sleep(LAPSE).await;
        self.listed
            .send_modify(|all| all.retain(|b| b.name != name));
    }
}

impl Run {
    async fn accept(self: Arc<Run>, listener: TcpListener) {
        let mut over = self.over.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.unwrap().0,
                _ = over.wait_for(|over| *over) => return,
            };
            tokio::spawn(Arc::clone(&self).serve(stream));
        }
    }

    async fn serve(self: Arc<Run>, mut stream: TcpStream) {
        let mut over = self.over.subscribe();
        loop {
            let read = tokio::select! {
                read = read_message(&mut stream) => read,
                _ = over.wait_for(|over| *over) => return reset(stream),
            };
            let Some(req) = read else {
                return;
            };
            let own = format!("x-backend: {}\r\n", self.name.lock().unwrap());
            if !req.contains(&own) {
                let other = whole("421 Misdirected Request", "X-Not-Run: 1\r\n", "");
                stream.write_all(other.as_bytes()).await.unwrap();
                continue;
            }
            if req.ends_with("poison") && self.runs_marked(&mut stream).await {
                return self.end(stream).await;
            }
            if !req.ends_with("poison") {
                let answer = whole("200 OK", "X-Seal: s\r\n", "hello");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    }

    /// Begins to run the marked request; returns whether that ends the server.
    async fn runs_marked(&self, stream: &mut TcpStream) -> bool {
        let run = self.servers.marked_runs.fetch_add(1, Ordering::Relaxed);
        let status = match self.servers.way {
            Way::FailsInTurn => "500 Internal Server Error",
            Way::RejectsInTurn => "400 Bad Request",
            _ => return true,
        };
        if run.is_multiple_of(2) {
            return true;
        }
        let answer = whole(status, "X-Seal: s\r\n", "");
        stream.write_all(answer.as_bytes()).await.unwrap();
        false
    }

    async fn end(&self, mut stream: TcpStream) {
        let servers = &self.servers;
        servers.ended.fetch_add(1, Ordering::Relaxed);
        let name = self.name.lock().unwrap().clone();
        match servers.way {
            Way::BackAtOnce => {
                *self.name.lock().unwrap() = servers.next_name();
                reset(stream);
                servers.unregister(&name).await;
                return servers.register(self);
            }
            Way::Silent => {
                servers.unregister(&name).await;
                reset(stream);
            }
            Way::WithinAnswer => {
                let begun =
                    "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhe";
                stream.write_all(begun.as_bytes()).await.unwrap();
                tokio::time::sleep(Duration::from_millis(20)).await;
                reset(stream);
            }
            _ => reset(stream),
        }
        self.over.send_replace(true);
        if servers.way != Way::Silent {
            servers.unregister(&name).await;
        }
        tokio::time::sleep(RETURN).await;
        servers.start_one().await;
    }
}

fn reset(stream: TcpStream) {
    #[allow(deprecated)]
    stream.set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
}
