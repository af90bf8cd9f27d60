mod answer;
mod cache;
mod fault;
mod load;
mod orders;
mod request;
mod run;
mod run_queue;
mod stats;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use tokio::time::sleep;
use toucanchute_log::wall_clock_ms;

pub use self::{
    answer::{answer_tag, answer_token, prompt_tokens},
    orders::Fencing,
};
use self::{
    cache::Cache,
    fault::{Fault, Faults, Mode},
    load::LoadReports,
    orders::Orders,
    request::{Api, CompletionRequest},
    run::Run,
    run_queue::RunQueue,
    stats::Stats,
};
use crate::{
    reply::{self, Abort, Reply},
    server::{Crash, Handler, Server},
};

/// Header with the priority of the attempt.
const PRIORITY_HEADER: &str = "toucanchute-priority";

/// Options of a fake model engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the engine.
    pub name: String,
    /// Models that are served; all if empty.
    pub models: Vec<String>,
    /// Time to the first token of a prompt that is shorter than a block, in milliseconds.
    pub first_token_ms: u64,
    /// Time added to the first token by each block of the prompt that is not cached, in
    /// milliseconds.
    pub block_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Maximum number of concurrent runs.
    pub capacity: usize,
    /// Maximum number of waiting runs.
    pub queue: usize,
    /// Maximum length of an answer, in tokens.
    pub max_tokens: u64,
    /// Mean length of an answer that is not truncated, in tokens.
    pub answer_tokens: u64,
    /// Capacity of the cache, in prompt blocks.
    pub cache_blocks: usize,
    /// Age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until a cache event is visible, in milliseconds.
    pub event_lag_ms: u64,
    /// Each cache event whose number is a multiple of this is dropped; zero drops none.
    pub event_gap: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: Fencing,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            name: "engine".to_owned(),
            models: Vec::new(),
            first_token_ms: 10,
            block_ms: 1,
            token_ms: 2,
            capacity: 8,
            queue: 64,
            max_tokens: 4096,
            answer_tokens: 24,
            cache_blocks: 4096,
            load_lag_ms: 200,
            event_lag_ms: 200,
            event_gap: 10,
            fencing: Fencing::Checked,
        }
    }
}

/// A fake model engine with OpenAI's completions API, streamed or not.
///
/// Token `i` of an answer is [`answer_token`]`(prompt, i)`. A streamed answer has a chunk for each
/// token, then one without text that holds `finish_reason` and `usage`, then `[DONE]`. With
/// `resume`, `max_tokens` and `usage` still refer to the complete answer.
///
/// `POST /fault` takes `{"mode","ms","count","marker","after"}`. Modes are `ok`; `slow` (`ms` more
/// for each token); `hang`, `truncated` and `malformed` (after `after` tokens); `wrong-attempt`,
/// `duplicated` and `reordered` chunks; `refuse`; `crash` (immediately, for `ms`); `crash-on`
/// (after `after` tokens of a request whose body contains `marker`). `GET /stats` returns counters
/// of runs.
#[derive(Debug)]
pub struct Engine {
    server: Server,
}

impl Engine {
    /// Starts an engine that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot listen on the address.
    pub async fn bind(address: SocketAddr, options: EngineOptions) -> io::Result<Engine> {
        let crash = Crash::new();
        let shared = Arc::new(Shared::new(options, crash.clone()));
        let server = Server::bind(address, shared, crash).await?;
        Ok(Engine { server })
    }

    /// Returns the address on which the engine listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// State that the connections share.
#[derive(Debug)]
struct Shared {
    options: EngineOptions,
    crash: Crash,
    run_queue: RunQueue,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    cache: Cache,
    faults: Faults,
    load: LoadReports,
    orders: Orders,
    stats: Stats,
}

impl State {
    fn apply_order(&mut self, body: &[u8]) -> Reply {
        let reply = self.orders.apply(body);
        self.stats.fence = self.orders.fence();
        reply
    }
}

impl Shared {
    fn new(options: EngineOptions, crash: Crash) -> Shared {
        let state = State {
            cache: Cache::new(
                options.cache_blocks,
                options.event_lag_ms,
                options.event_gap,
            ),
            faults: Faults::default(),
            load: LoadReports::new(options.load_lag_ms, options.capacity),
            orders: Orders::new(options.fencing, options.models.clone()),
            stats: Stats::default(),
        };
        Shared {
            run_queue: RunQueue::new(options.capacity, options.queue),
            options,
            crash,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the current load for later reports.
    fn record_load(&self) {
        let (running, waiting) = self.run_queue.counts();
        let mut state = self.state();
        let kv_used = state.cache.used_share();
        state
            .load
            .record(wall_clock_ms(), running, waiting, kv_used);
    }

    fn crash(&self, down_ms: u64) -> Abort {
        log::info!(down_ms; "engine-crashed");
        self.state().stats.crashes += 1;
        self.crash.trigger(Duration::from_millis(down_ms));
        Abort
    }

    fn set_fault(&self, body: &[u8]) -> Result<Reply, Abort> {
        let fault: Fault = match reply::parse_json(body) {
            Ok(fault) => fault,
            Err(refusal) => return Ok(*refusal),
        };
        log::info!(fault:? = fault; "fault-set");
        if fault.mode == Mode::Crash {
            let _ = self.crash(fault.ms);
        } else {
            self.state().faults.set(fault);
        }
        Ok(reply::json(StatusCode::OK, &serde_json::json!({})))
    }

    async fn complete(
        self: &Arc<Self>,
        api: Api,
        attempt: String,
        priority: u8,
        body: &Bytes,
    ) -> Result<Reply, Abort> {
        let req = match CompletionRequest::parse(api, body) {
            Ok(req) => req,
            Err(message) => {
                return Ok(reply::not_run(StatusCode::BAD_REQUEST, &message, &attempt));
            }
        };
        if !self.state().orders.serves(&req.model) {
            return Ok(reply::not_run(
                StatusCode::NOT_FOUND,
                "model is not loaded",
                &attempt,
            ));
        }
        let fault = self.state().faults.next_for(body);
        if fault.mode == Mode::Refuse {
            self.state().stats.refused += 1;
            return Ok(reply::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused",
                &attempt,
            ));
        }
        let Some(queued_run) = self.run_queue.enqueue(priority) else {
            self.state().stats.refused += 1;
            return Ok(reply::not_run(
                StatusCode::TOO_MANY_REQUESTS,
                "queue is full",
                &attempt,
            ));
        };
        self.record_load();
        let slot = queued_run.wait().await;
        let run = Run::start(Arc::clone(self), slot, req, attempt, fault);
        run.respond().await
    }

    fn model_list(&self) -> Reply {
        let state = self.state();
        let data = state.orders.models().iter();
        let data = data.map(|id| serde_json::json!({ "id": id, "object": "model" }));
        let data: Vec<_> = data.collect();
        let list = serde_json::json!({ "object": "list", "data": data });
        reply::json(StatusCode::OK, &list)
    }

    fn cache_events(&self, query: &str) -> Reply {
        let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
        let page = self
            .state()
            .cache
            .events(wall_clock_ms(), after.unwrap_or(0));
        reply::json(StatusCode::OK, &page)
    }

    fn kv_transfer(&self, method: &Method, prefix: &str, body: &Bytes) -> Reply {
        let Ok(prefix) = u64::from_str_radix(prefix, 16) else {
            return reply::error(StatusCode::BAD_REQUEST, "prefix is not hexadecimal");
        };
        let mut state = self.state();
        if *method == Method::PUT {
            state.cache.import(wall_clock_ms(), prefix, body.clone());
            return reply::json(StatusCode::OK, &serde_json::json!({}));
        }
        match state.cache.export(prefix) {
            Some(body) => reply::full(StatusCode::OK, "application/octet-stream", body),
            None => reply::error(StatusCode::NOT_FOUND, "prefix is not cached"),
        }
    }

    fn cancel_run(&self, attempt: &str) -> Reply {
        let found = self.state().stats.cancel(attempt);
        let status = match found {
            true => StatusCode::OK,
            false => StatusCode::NOT_FOUND,
        };
        reply::json(status, &serde_json::json!({}))
    }

    fn control_reply(&self, method: &Method, path: &str, query: &str, body: &Bytes) -> Reply {
        match path {
            "/v1/models" => self.model_list(),
            "/v1/load" => reply::json(StatusCode::OK, &self.state().load.report(wall_clock_ms())),
            "/v1/cache-events" => self.cache_events(query),
            "/v1/orders" => self.state().apply_order(body),
            "/stats" => reply::json(StatusCode::OK, &self.state().stats),
            _ => match (
                path.strip_prefix("/v1/kv/"),
                path.strip_prefix("/v1/attempts/"),
            ) {
                (Some(prefix), _) => self.kv_transfer(method, prefix, body),
                (_, Some(attempt)) if *method == Method::DELETE => self.cancel_run(attempt),
                _ => reply::error(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }
}

impl Handler for Shared {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Result<Reply, Abort> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let attempt = reply::header_text(&req, reply::ATTEMPT_HEADER);
        let priority = reply::header_text(&req, PRIORITY_HEADER);
        let priority = priority.parse().unwrap_or(0);
        let body = reply::read_body(req).await?;
        match path.as_str() {
            "/fault" => self.set_fault(&body),
            "/v1/chat/completions" => self.complete(Api::Chat, attempt, priority, &body).await,
            "/v1/completions" => self.complete(Api::Plain, attempt, priority, &body).await,
            _ => Ok(self.control_reply(&method, &path, &query, &body)),
        }
    }
}

/// Never returns. The future is dropped when the connection ends.
async fn hang_forever() -> Abort {
    loop {
        sleep(Duration::from_secs(3600)).await;
    }
}
