use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    reply::{self, Abort, Reply},
    server::{Crash, Handler, Server},
};

/// Options of a fake service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Name of the service in its responses.
    pub name: String,
    /// Duration of a call, in milliseconds.
    pub work_ms: u64,
}

impl Default for ServiceOptions {
    fn default() -> ServiceOptions {
        ServiceOptions {
            name: "service".to_owned(),
            work_ms: 5,
        }
    }
}

/// A fake service, such as booking.
///
/// A request to any other path is a call, which returns `{"service","path","key","attempt","run"}`;
/// `run` is the number of the run under that idempotency key. `POST /fault` takes
/// `{"mode":"ok"|"slow"|"slow-after"|"lose-answers"|"refuse"|"crash"|"crash-before","ms":N,"count":N}`.
/// `GET /stats` returns the numbers of runs by key and by attempt.
#[derive(Debug)]
pub struct Service {
    server: Server,
}

impl Service {
    /// Starts a service that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot listen on the address.
    pub async fn bind(address: SocketAddr, options: ServiceOptions) -> io::Result<Service> {
        let crash = Crash::new();
        let shared = Arc::new(Shared {
            options,
            crash: crash.clone(),
            state: Mutex::default(),
        });
        let server = Server::bind(address, shared, crash).await?;
        Ok(Service { server })
    }

    /// Returns the address on which the service listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Kind of a fault of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Mode {
    #[default]
    Ok,
    /// Calls are delayed before they run.
    Slow,
    /// Calls run, and their responses are delayed.
    SlowAfter,
    /// Calls run, then their connections are closed.
    LoseAnswers,
    /// Calls are refused before they run.
    Refuse,
    /// The service crashes after it has run the call.
    Crash,
    /// The service crashes before it runs the call.
    CrashBefore,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Fault {
    mode: Mode,
    /// Delay, or time until a crashed service listens again, in milliseconds.
    ms: u64,
    /// Number of calls that fail; zero for all.
    count: u64,
}

#[derive(Debug, Default)]
struct State {
    fault: Fault,
    /// Number of calls that this fault has affected.
    failed_calls: u64,
    stats: Stats,
}

#[derive(Debug, Default, Serialize)]
struct Stats {
    calls: u64,
    runs: u64,
    refused: u64,
    crashes: u64,
    runs_by_key: BTreeMap<String, u64>,
    runs_by_attempt: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize)]
struct Answer<'a> {
    service: &'a str,
    path: &'a str,
    key: &'a str,
    attempt: &'a str,
    run: u64,
}

#[derive(Debug)]
struct Shared {
    options: ServiceOptions,
    crash: Crash,
    state: Mutex<State>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_fault(&self, body: &[u8]) -> Reply {
        let fault: Fault = match reply::parse_json(body) {
            Ok(fault) => fault,
            Err(refusal) => return *refusal,
        };
        log::info!(fault:? = fault; "fault-set");
        let mut state = self.state();
        state.fault = fault;
        state.failed_calls = 0;
        reply::json(StatusCode::OK, &serde_json::json!({}))
    }

    /// Counts a call and returns its fault.
    fn next_fault(&self) -> Fault {
        let mut state = self.state();
        state.stats.calls += 1;
        let fault = state.fault;
        if fault.count > 0 && state.failed_calls >= fault.count {
            return Fault::default();
        }
        state.failed_calls += 1;
        fault
    }

    /// Counts a run and returns its number under `key`.
    fn record_run(&self, key: &str, attempt: &str) -> u64 {
        let mut state = self.state();
        state.stats.runs += 1;
        let by_attempt = state.stats.runs_by_attempt.entry(attempt.to_owned());
        *by_attempt.or_default() += 1;
        let by_key = state.stats.runs_by_key.entry(key.to_owned()).or_default();
        *by_key += 1;
        *by_key
    }

    fn crash(&self, down_ms: u64) -> Abort {
        log::info!(down_ms; "service-crashed");
        self.state().stats.crashes += 1;
        self.crash.trigger(Duration::from_millis(down_ms));
        Abort
    }

    async fn call(&self, path: &str, key: &str, attempt: &str) -> Result<Reply, Abort> {
        let fault = self.next_fault();
        match fault.mode {
            Mode::Refuse => {
                self.state().stats.refused += 1;
                let refusal = reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused", attempt);
                return Ok(refusal);
            }
            Mode::CrashBefore => return Err(self.crash(fault.ms)),
            Mode::Slow => sleep(Duration::from_millis(fault.ms)).await,
            Mode::Ok | Mode::SlowAfter | Mode::LoseAnswers | Mode::Crash => {}
        }
        let run = self.record_run(key, attempt);
        log::info!(path, request = key, attempt, run; "service-ran");
        sleep(Duration::from_millis(self.options.work_ms)).await;
        match fault.mode {
            Mode::SlowAfter => sleep(Duration::from_millis(fault.ms)).await,
            Mode::LoseAnswers => return Err(Abort),
            Mode::Crash => return Err(self.crash(fault.ms)),
            _ => {}
        }
        let answer = Answer {
            service: &self.options.name,
            path,
            key,
            attempt,
            run,
        };
        Ok(reply::json(StatusCode::OK, &answer))
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Reply, Abort> {
        let path = req.uri().path().to_owned();
        let key = reply::header_text(&req, "idempotency-key");
        let attempt = reply::header_text(&req, reply::ATTEMPT_HEADER);
        let body: Bytes = reply::read_body(req).await?;
        match path.as_str() {
            "/fault" => Ok(self.set_fault(&body)),
            "/stats" => Ok(reply::json(StatusCode::OK, &self.state().stats)),
            _ => {
                let mut reply = self.call(&path, &key, &attempt).await?;
                if let Ok(value) = attempt.parse() {
                    reply.headers_mut().insert(reply::ATTEMPT_HEADER, value);
                }
                Ok(reply)
            }
        }
    }
}
