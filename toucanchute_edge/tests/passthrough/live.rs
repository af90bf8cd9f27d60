//! A gateway whose backend servers the real dispatcher chooses.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::{oneshot, watch},
};
use toucanchute_core::routing::{self, Action, Dispatcher, Event};
use toucanchute_edge::{
    AssignRequest, Assignment, AttemptReport, BackendNotice, Refusal, RequestOutcome,
    passthrough::{Failure, Gateway, RequestEnd, RouteControl, TokenRequest, TokenReservation},
};
use toucanchute_proto::{
    AttemptId, Incarnation, Millis,
    config::{Backend, Config},
    fleet::Load,
};

use crate::support::{Plain, config, read_all};

/// Time that a caller waits for an answer.
const PATIENCE_MS: u64 = 400;

/// Pause between two ticks of the dispatcher.
const TICK: Duration = Duration::from_millis(20);

/// A gateway and its address.
pub(crate) struct Live {
    address: SocketAddr,
}

struct Control {
    config: Arc<Config>,
    state: Mutex<State>,
    /// Backend servers that are registered.
    names: Mutex<BTreeSet<String>>,
}

struct State {
    dispatcher: Dispatcher,
    waiting: HashMap<u64, oneshot::Sender<Result<Assignment, Refusal>>>,
    next_call: u64,
}

fn now() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Millis(u64::try_from(since.as_millis()).unwrap())
}

impl Live {
    /// Starts a gateway with one route of `kind`, whose JSON `extra` completes, to the servers as
    /// they are registered.
    pub(crate) async fn start(
        kind: &str,
        extra: &str,
        mut listed: watch::Receiver<Vec<Backend>>,
    ) -> Live {
        let control = Arc::new(Control {
            config: Arc::new(config(kind, extra)),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(Incarnation(1), "d", 1),
                waiting: HashMap::new(),
                next_call: 0,
            }),
            names: Mutex::default(),
        });
        control.follow(&listed.borrow_and_update().clone());
        let following = Arc::clone(&control);
        tokio::spawn(async move {
            while listed.changed().await.is_ok() {
                following.follow(&listed.borrow_and_update().clone());
            }
        });
        let ticking = Arc::clone(&control);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                ticking.feed(Event::Tick);
            }
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let gateway = Gateway::new(control, Plain, Arc::default(), 100);
        tokio::spawn(async move { gateway.serve(listener, std::future::pending()).await });
        Live { address }
    }

    /// Sends a request with this body over a new connection; returns the answer.
    pub(crate) async fn send(&self, body: &str) -> String {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let len = body.len();
        let req = format!(
            "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
            X-Patience: {PATIENCE_MS}\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n{body}"
        );
        stream.write_all(req.as_bytes()).await.unwrap();
        read_all(stream).await
    }
}

impl Control {
    /// Takes in the registrations; those that went without a word have lapsed.
    fn follow(&self, backends: &[Backend]) {
        let names: BTreeSet<String> = backends.iter().map(|b| b.name.clone()).collect();
        let before = std::mem::replace(&mut *self.names.lock().unwrap(), names.clone());
        for backend in before.difference(&names).cloned() {
            self.feed(Event::RegistrationLapsed { backend });
        }
        let config = Config {
            backends: backends.to_vec(),
            ..(*self.config).clone()
        };
        self.feed(Event::Configure {
            config: Arc::new(config),
            withdrawn: BTreeSet::new(),
        });
    }

    fn feed(&self, event: Event) {
        let mut state = self.state.lock().unwrap();
        let mut out = Vec::new();
        state.dispatcher.handle(now(), event, &mut out);
        for action in out {
            let (call, answer) = match action {
                Action::Assigned {
                    call,
                    attempt,
                    backend,
                    address,
                } => {
                    let assignment = Assignment {
                        attempt,
                        backend,
                        address,
                    };
                    (call, Ok(assignment))
                }
                Action::Refused {
                    call,
                    reason,
                    retry_after,
                } => (call, Err(refusal(reason, retry_after))),
                _ => continue,
            };
            if let Some(reply) = state.waiting.remove(&call) {
                drop(reply.send(answer));
            }
        }
    }
}

fn refusal(reason: routing::RefusalReason, retry_after: Option<Millis>) -> Refusal {
    Refusal {
        reason: reason.into(),
        outcome: RequestOutcome::NotRun,
        retry_after,
        elsewhere: None,
    }
}

impl RouteControl for Control {
    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    fn unready(&self) -> Option<Refusal> {
        None
    }

    fn is_leaving(&self) -> bool {
        false
    }

    async fn reserve(&self, req: TokenRequest) -> Result<TokenReservation, Failure> {
        Ok(TokenReservation {
            id: 1,
            tokens: req.tokens,
            owner: Incarnation(1),
        })
    }

    fn settle(&self, _hold: TokenReservation, _used: u64) {}

    async fn assign(&self, req: AssignRequest) -> Result<Assignment, Refusal> {
        let (reply, answer) = oneshot::channel();
        let call = {
            let mut state = self.state.lock().unwrap();
            state.next_call += 1;
            let call = state.next_call;
            state.waiting.insert(call, reply);
            call
        };
        self.feed(Event::Assign(req.into_routing_request(call)));
        answer.await.unwrap()
    }

    fn report(&self, attempt: AttemptId, report: AttemptReport) {
        self.feed(Event::Report { attempt, report });
    }

    fn report_load(&self, _load: Load) {}

    fn report_notice(&self, backend: &str, notice: BackendNotice) {
        let backend = backend.to_owned();
        self.feed(Event::Notice { backend, notice });
    }

    fn record_end(&self, _end: &RequestEnd<'_>) {}
}
