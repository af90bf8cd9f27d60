//! A gateway whose backend servers are chosen by the real dispatcher.

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
use toucanchute_core::{
    origins::{StreamId, StreamOrigin},
    placement::LinkRequest,
    routing::{self, Action, Dispatcher, Event},
};
use toucanchute_edge::{
    AssignRequest, Assignment, AttemptReport, BackendNotice, Refusal, RefusalOutcome,
    passthrough::{
        Gateway, PlannedStop, RequestEnd, ResponseRecord, RouteControl, TokenRefusal, TokenRequest,
        TokenReservation,
    },
};
use toucanchute_proto::{
    AttemptId, Incarnation, Millis,
    config::{Backend, Config},
    fleet::Load,
};

use crate::support::{TestDialect, config, read_all};

/// Time that a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two ticks of the dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway whose backend servers the dispatcher chooses.
pub(crate) struct DispatcherGateway {
    address: SocketAddr,
    /// Whether other routers know what begins streams at once, or not at all.
    pub(crate) peers_know: watch::Sender<bool>,
}

struct DispatcherControl {
    config: Arc<Config>,
    state: Mutex<State>,
    /// Names of the backend servers that are registered.
    registered_names: Mutex<BTreeSet<String>>,
    /// What began the streams that callers may take up.
    streams: Mutex<HashMap<StreamId, StreamOrigin>>,
    peers_know: watch::Receiver<bool>,
    /// A channel on which no stop is ever announced.
    no_stop: watch::Receiver<Option<PlannedStop>>,
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

impl DispatcherGateway {
    /// Starts a gateway with one route of `kind`, to whose JSON `extra` is added. Its backend
    /// servers are those in `registrations`.
    pub(crate) async fn start(
        kind: &str,
        extra: &str,
        mut registrations: watch::Receiver<Vec<Backend>>,
    ) -> DispatcherGateway {
        let (peers_know, peers_know_rx) = watch::channel(true);
        let control = Arc::new(DispatcherControl {
            config: Arc::new(config(kind, extra)),
            state: Mutex::new(State {
                dispatcher: Dispatcher::new(Incarnation(1), "d", 1),
                waiting: HashMap::new(),
                next_call: 0,
            }),
            registered_names: Mutex::default(),
            streams: Mutex::default(),
            peers_know: peers_know_rx,
            no_stop: watch::channel(None).1,
        });
        control.apply_registrations(&registrations.borrow_and_update().clone());
        let registration_control = Arc::clone(&control);
        tokio::spawn(async move {
            while registrations.changed().await.is_ok() {
                registration_control
                    .apply_registrations(&registrations.borrow_and_update().clone());
            }
        });
        let tick_control = Arc::clone(&control);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                tick_control.handle_event(Event::Tick);
            }
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let gateway = Gateway::new(control, TestDialect, Arc::default(), 100);
        tokio::spawn(async move { gateway.serve(listener, std::future::pending()).await });
        DispatcherGateway {
            address,
            peers_know,
        }
    }

    /// Sends a request with this body over a new connection and returns the response.
    pub(crate) async fn send(&self, body: &str) -> String {
        self.send_within(CALLER_TIMEOUT, body).await
    }

    /// Does the same as `send` for a caller that waits for `timeout`.
    pub(crate) async fn send_within(&self, timeout: Duration, body: &str) -> String {
        let headers = format!("X-Patience: {}\r\n", timeout.as_millis());
        self.send_with_headers(&headers, body).await
    }

    /// Does the same as `send`, with the parts `prompt` of a prompt, as `ID:TOKENS` separated by
    /// commas.
    pub(crate) async fn send_prompt(&self, prompt: &str, body: &str) -> String {
        let timeout = CALLER_TIMEOUT.as_millis();
        let headers = format!("X-Prompt: {prompt}\r\nX-Patience: {timeout}\r\n");
        self.send_with_headers(&headers, body).await
    }

    /// Does the same as `send`, with further lines `headers` in the head.
    pub(crate) async fn send_with_headers(&self, headers: &str, body: &str) -> String {
        read_all(self.open_request(headers, body).await).await
    }

    /// Sends a request with further lines `headers` in the head over a new connection, which is returned.
    pub(crate) async fn open_request(&self, headers: &str, body: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let len = body.len();
        let req = format!(
            "POST /a/b HTTP/1.1\r\nHost: svc.example\r\nX-Attempt: a1\r\nX-Key: secret\r\n\
            {headers}Connection: close\r\nContent-Length: {len}\r\n\r\n{body}"
        );
        stream.write_all(req.as_bytes()).await.unwrap();
        stream
    }
}

impl DispatcherControl {
    /// Applies the registrations. Servers that are no longer among them have lapsed.
    fn apply_registrations(&self, backends: &[Backend]) {
        let names: BTreeSet<String> = backends.iter().map(|b| b.name.clone()).collect();
        let previous_names =
            std::mem::replace(&mut *self.registered_names.lock().unwrap(), names.clone());
        for backend in previous_names.difference(&names).cloned() {
            self.handle_event(Event::RegistrationLapsed { backend });
        }
        let config = Config {
            backends: backends.to_vec(),
            ..(*self.config).clone()
        };
        self.handle_event(Event::Configure {
            config: Arc::new(config),
            withdrawn: BTreeSet::new(),
        });
    }

    fn handle_event(&self, event: Event) {
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
                    rate_limited,
                    software,
                } => {
                    let assignment = Assignment {
                        attempt,
                        backend,
                        address,
                        rate_limited,
                        software,
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
        outcome: RefusalOutcome::NothingSent,
        retry_after,
        elsewhere: None,
    }
}

impl RouteControl for DispatcherControl {
    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    fn unready(&self) -> Option<Refusal> {
        None
    }

    fn planned_stop(&self) -> &watch::Receiver<Option<PlannedStop>> {
        &self.no_stop
    }

    fn admit_to_link(&self, _req: LinkRequest<'_>) -> Result<(), Refusal> {
        Ok(())
    }

    async fn reserve(&self, req: TokenRequest) -> Result<TokenReservation, TokenRefusal> {
        Ok(TokenReservation {
            id: 1,
            tokens: req.tokens,
            owner: Incarnation(1),
        })
    }

    fn settle(&self, _reservation: TokenReservation, _used: u64) {}

    async fn assign(&self, req: AssignRequest) -> Result<Assignment, Refusal> {
        let (reply, answer) = oneshot::channel();
        let call = {
            let mut state = self.state.lock().unwrap();
            state.next_call += 1;
            let call = state.next_call;
            state.waiting.insert(call, reply);
            call
        };
        self.handle_event(Event::Assign(req.into_routing_request(call)));
        answer.await.unwrap()
    }

    fn report(&self, attempt: AttemptId, report: AttemptReport) {
        self.handle_event(Event::Report { attempt, report });
    }

    fn report_load(&self, _load: Load) {}

    fn report_notice(&self, backend: &str, notice: BackendNotice) {
        let backend = backend.to_owned();
        self.handle_event(Event::Notice { backend, notice });
    }

    async fn record_stream(&self, stream: StreamId, origin: StreamOrigin, _keep: Millis) {
        let mut peers_know = self.peers_know.clone();
        // Fails if the test has ended.
        let _ = peers_know.wait_for(|know| *know).await;
        self.streams.lock().unwrap().insert(stream, origin);
    }

    fn has_several_versions(&self, _service: &str) -> bool {
        false
    }

    fn was_registered_at(&self, _backend: &str, _at: Millis) -> bool {
        true
    }

    async fn find_origin(&self, stream: StreamId, _service: &str) -> Option<StreamOrigin> {
        self.streams.lock().unwrap().get(&stream).cloned()
    }

    fn record_response(&self, _response: &ResponseRecord) {}

    fn record_end(&self, _end: &RequestEnd<'_>) {}
}
