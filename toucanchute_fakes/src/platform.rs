mod fault;
mod hosts;
mod kv_store;
mod stats;
mod watch;
mod wire;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::watch as channel, task::JoinHandle, time::sleep};
use toucanchute_log::wall_clock_ms;

use self::{
    fault::{Effect, Fault, Faults},
    hosts::{HostList, Hosts},
    kv_store::{KvStore, Rejection},
    stats::{CallKind, Stats},
};
use crate::{
    reply::{self, Abort, Reply},
    server::{Crash, Handler, Server},
    weights::{WeightOptions, WeightStore},
};

/// Time between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a fake platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Maximum size of a value, in bytes.
    pub max_value_bytes: usize,
    /// Number of past changes that are stored for new watches.
    pub history: usize,
    /// Delay until a change of the host list is visible, in milliseconds.
    pub host_lag_ms: u64,
    /// Maximum number of writes per second; zero for no limit.
    pub writes_per_second: u32,
    /// Maximum number of reads per second; zero for no limit.
    pub reads_per_second: u32,
    /// Options of the weight store, which is served on the same address.
    pub weights: WeightOptions,
}

impl Default for PlatformOptions {
    fn default() -> PlatformOptions {
        PlatformOptions {
            max_value_bytes: 1_000_000,
            history: 20_000,
            host_lag_ms: 500,
            writes_per_second: 0,
            reads_per_second: 0,
            weights: WeightOptions::default(),
        }
    }
}

/// A fake platform: key-value service, host list and weight store.
///
/// It serves the JSON mapping of etcd v3 under `/v3/`. `GET /v1/hosts` returns the host list, which
/// operators set by `PUT /v1/hosts`. `POST /fault` takes
/// `{"mode":"ok"|"down"|"slow"|"lose-answers"|"refuse","ms":N,"count":N,"path":"/v3/kv/put"}`: a
/// fault of `count` requests (0: all) to paths that start with `path`. `GET /stats` returns
/// counters of calls.
#[derive(Debug)]
pub struct Platform {
    server: Server,
    expiry: JoinHandle<()>,
}

impl Platform {
    /// Starts a platform that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot listen on the address.
    pub async fn bind(address: SocketAddr, options: PlatformOptions) -> io::Result<Platform> {
        let shared = Arc::new(Shared::new(options));
        let server = Server::bind(address, Arc::clone(&shared), Crash::new()).await?;
        let expiry = tokio::spawn(expire_leases(shared));
        Ok(Platform { server, expiry })
    }

    /// Returns the address on which the platform listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.expiry.abort();
    }
}

/// State that the connections share.
#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Revision of the latest change of the key-value store.
    revision: channel::Sender<i64>,
    /// Number of outages so far. Open watches end when it changes.
    outages: channel::Sender<u64>,
}

#[derive(Debug)]
struct State {
    kv: KvStore,
    hosts: Hosts,
    faults: Faults,
    stats: Stats,
    weights: WeightStore,
}

impl Shared {
    fn new(options: PlatformOptions) -> Shared {
        let kv = KvStore::new(options.max_value_bytes, options.history);
        let revision = channel::Sender::new(kv.revision());
        let state = State {
            kv,
            hosts: Hosts::new(options.host_lag_ms),
            faults: Faults::default(),
            stats: Stats::new(options.writes_per_second, options.reads_per_second),
            weights: WeightStore::new(options.weights),
        };
        Shared {
            state: Mutex::new(state),
            revision,
            outages: channel::Sender::new(0),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `f` to the key-value store and wakes the watches.
    fn update<T>(&self, f: impl FnOnce(&mut KvStore) -> T) -> T {
        let mut state = self.state();
        let result = f(&mut state.kv);
        self.revision.send_replace(state.kv.revision());
        result
    }

    fn set_fault(&self, body: &[u8]) -> Reply {
        let fault: Fault = match reply::parse_json(body) {
            Ok(fault) => fault,
            Err(refusal) => return *refusal,
        };
        log::info!(fault:? = fault; "fault-set");
        if fault.ends_watches() {
            self.outages.send_modify(|count| *count += 1);
        }
        self.state().faults.set(fault);
        reply::json(StatusCode::OK, &serde_json::json!({}))
    }

    fn dispatch(self: &Arc<Self>, method: &Method, path: &str, body: &Bytes) -> Reply {
        match path {
            "/v3/kv/range" => json_call(body, |req| Ok(self.state().kv.range(&req))),
            "/v3/kv/put" => json_call(body, |req| self.update(|kv| kv.put(req))),
            "/v3/kv/txn" => json_call(body, |req| self.update(|kv| kv.txn(req))),
            "/v3/kv/deleterange" => {
                json_call(body, |req| Ok(self.update(|kv| kv.delete_range(&req))))
            }
            "/v3/lease/grant" => json_call(body, |req: wire::LeaseRequest| {
                Ok(self.update(|kv| kv.grant(wall_clock_ms(), req.id.0, req.ttl.0)))
            }),
            "/v3/lease/keepalive" => json_call(body, |req: wire::LeaseRequest| {
                let result = self.update(|kv| kv.keep_alive(wall_clock_ms(), req.id.0));
                Ok(wire::Streamed { result })
            }),
            "/v3/lease/revoke" => json_call(body, |req: wire::LeaseRequest| {
                self.update(|kv| kv.revoke(req.id.0))
            }),
            "/v3/watch" => watch::open(Arc::clone(self), body),
            "/v1/hosts" if method == Method::PUT => self.put_hosts(body),
            "/v1/hosts" => {
                let mut state = self.state();
                reply::json(StatusCode::OK, state.hosts.visible(wall_clock_ms()))
            }
            _ => match path.strip_prefix("/v1/weights/") {
                Some(name) => self.state().weights.download(name),
                None => reply::error(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    fn put_hosts(&self, body: &[u8]) -> Reply {
        let list: HostList = match reply::parse_json(body) {
            Ok(list) => list,
            Err(refusal) => return *refusal,
        };
        log::info!(hosts = list.hosts.len(); "hosts-set");
        self.state().hosts.set(wall_clock_ms(), list);
        reply::json(StatusCode::OK, &serde_json::json!({}))
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Reply, Abort> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let body = reply::read_body(req).await?;
        match path.as_str() {
            "/fault" => return Ok(self.set_fault(&body)),
            "/stats" => return Ok(reply::json(StatusCode::OK, &self.state().stats.report())),
            _ => {}
        }
        let kind = CallKind::of(&method, &path);
        if kind == CallKind::OperatorWrite {
            return Ok(self.dispatch(&method, &path, &body));
        }
        let effect = {
            let mut state = self.state();
            state.stats.count(kind, body.len());
            state.faults.next_effect(&path)
        };
        match effect {
            Effect::Pass => {}
            Effect::Delay(delay) => sleep(delay).await,
            Effect::Drop => return Err(Abort),
            Effect::Refuse => return Ok(etcd_error(StatusCode::TOO_MANY_REQUESTS, 8, "refused")),
            Effect::LoseAnswer => {
                let _ = self.dispatch(&method, &path, &body);
                log::info!(path = path; "answer-lost");
                return Err(Abort);
            }
        }
        if !self.state().stats.admit(kind, wall_clock_ms()) {
            return Ok(etcd_error(
                StatusCode::TOO_MANY_REQUESTS,
                8,
                "too many requests",
            ));
        }
        Ok(self.dispatch(&method, &path, &body))
    }
}

/// Parses a request, runs it and encodes its response.
fn json_call<Q: DeserializeOwned, A: Serialize>(
    body: &[u8],
    run: impl FnOnce(Q) -> Result<A, Rejection>,
) -> Reply {
    let req = match reply::parse_json(body) {
        Ok(req) => req,
        Err(refusal) => return *refusal,
    };
    match run(req) {
        Ok(answer) => reply::json(StatusCode::OK, &answer),
        Err(Rejection::ValueTooLarge) => etcd_error(
            StatusCode::BAD_REQUEST,
            3,
            "etcdserver: request is too large",
        ),
        Err(Rejection::LeaseNotFound) => etcd_error(
            StatusCode::NOT_FOUND,
            5,
            "etcdserver: requested lease not found",
        ),
        Err(Rejection::EmptyKey) => etcd_error(
            StatusCode::BAD_REQUEST,
            3,
            "etcdserver: key is not provided",
        ),
    }
}

/// Returns an error in the format of etcd. `code` is a gRPC status code.
fn etcd_error(status: StatusCode, code: u32, message: &str) -> Reply {
    let body = serde_json::json!({ "error": message, "code": code, "message": message });
    reply::json(status, &body)
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        shared.update(|kv| kv.expire(wall_clock_ms()));
    }
}
