//! Measures what the edge adds to a direct connection to a stand-in model engine: latency of the
//! first token and between tokens, CPU time a token and a request, memory a stream. Event logs are
//! written to `/dev/null`.
//!
//! Run it in release mode; `scripts/bench` does. An argument (`latency`, `throughput`, `requests` or
//! `memory`) chooses one part. Two more, the addresses of an engine and of a router before it, measure
//! these instead; the engine serves the model `m`. Engine, edge and callers have threads of their own
//! in one process. Direct and routed rounds take turns, so that other work on the machine meets
//! both.

mod control;
mod load;
mod process;

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    task::JoinSet,
};
use toucanchute_edge::{Edge, EdgeSettings};
use toucanchute_fakes::{Engine, EngineOptions};
use toucanchute_log::Setup;

use self::{
    control::FreeControl,
    load::{Caller, Times, quantile},
    process::{cpu_micros, resident_kb},
};

/// Worker threads of the edge.
const EDGE_THREADS: usize = 2;
/// Numbers of streams at the same time, each with its number of rounds.
const STREAMS: [(usize, u64); 3] = [(1, 20), (32, 10), (256, 6)];
/// Time between two tokens of the engine when the latency is measured; the streams of one round begin
/// within this time.
const TOKEN_SPAN: Duration = Duration::from_millis(20);
/// Tokens of each answer.
const TOKENS: u64 = 24;
/// Streams at the same time when the throughput is measured.
const THROUGHPUT_STREAMS: usize = 64;
/// Tokens of each answer when the throughput is measured.
const THROUGHPUT_TOKENS: u64 = 2_000;
/// Requests of one token over each connection when the rate of requests is measured.
const REQUESTS: u64 = 200;
/// Streams at the same time when the memory is measured.
const MEMORY_STREAMS: usize = 1_000;

fn main() {
    let log = Path::new("/dev/null");
    Setup::new("bench").file(log).install().expect("a log");
    let engines = runtime("engine", 4);
    let edges = runtime("edge", EDGE_THREADS);
    let callers = runtime("caller", 3);
    let mut args = std::env::args().skip(1);
    let only = args.next();
    let running: Vec<SocketAddr> = args.map(|arg| arg.parse().expect("an address")).collect();
    let bench = Bench {
        engines,
        edges,
        running: running.try_into().ok(),
    };
    let wanted = |part: &str| only.as_deref().is_none_or(|only| only == part);
    callers.block_on(async {
        if wanted("latency") {
            bench.measure_latency().await;
        }
        if wanted("throughput") {
            bench.measure_throughput().await;
        }
        if wanted("requests") {
            bench.measure_requests().await;
        }
        if wanted("memory") {
            bench.measure_memory().await;
        }
    });
    std::process::exit(0);
}

fn runtime(name: &str, threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    let builder = builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("a runtime")
}

struct Bench {
    engines: Runtime,
    edges: Runtime,
    /// Addresses of a running engine and of a running router before it.
    running: Option<[SocketAddr; 2]>,
}

impl Bench {
    /// Starts an engine and an edge before it; returns their addresses, the engine's first.
    async fn start(&self, token_ms: u64, tokens: u64) -> [SocketAddr; 2] {
        if let Some(running) = self.running {
            return running;
        }
        let options = EngineOptions {
            first_token_ms: token_ms,
            token_ms,
            capacity: 4_096,
            // Answers are cut to the length that is asked for.
            answer_tokens: 2 * tokens,
            ..EngineOptions::default()
        };
        let bound = Engine::bind(([127, 0, 0, 1], 0).into(), options);
        let engine = self.engines.spawn(bound).await.expect("a task");
        let engine = engine.expect("an engine");
        let direct = engine.address();
        std::mem::forget(engine);
        let settings = EdgeSettings {
            max_idle_connections: 4_096,
            ..EdgeSettings::default()
        };
        let edge = Edge::new(Arc::new(FreeControl::new(direct)), settings);
        let routed = self.edges.spawn(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            tokio::spawn(async move { edge.serve(listener, std::future::pending()).await });
            address
        });
        [direct, routed.await.expect("a task")]
    }

    async fn measure_latency(&self) {
        println!("latency in microseconds; the engine sends a token every 20 ms");
        println!(
            "streams  what            direct p50  routed p50  added p50  direct p99  routed p99"
        );
        for (streams, rounds) in STREAMS {
            let addresses = self.start(TOKEN_SPAN.as_millis() as u64, TOKENS).await;
            let mut times = [Times::default(), Times::default()];
            let mut callers = [
                connect(addresses[0], streams).await,
                connect(addresses[1], streams).await,
            ];
            round(&mut callers[0], TOKENS, TOKEN_SPAN).await;
            round(&mut callers[1], TOKENS, TOKEN_SPAN).await;
            for _ in 0..rounds {
                for (callers, times) in callers.iter_mut().zip(&mut times) {
                    times.merge(round(callers, TOKENS, TOKEN_SPAN).await);
                }
            }
            let [direct, routed] = times;
            if routed.refused > 0 {
                println!("{streams:>7}  {} streams were refused", routed.refused);
            }
            print_row(streams, "first token", direct.first, routed.first);
            print_row(streams, "between tokens", direct.between, routed.between);
        }
    }

    async fn measure_throughput(&self) {
        let addresses = self.start(0, THROUGHPUT_TOKENS).await;
        for (name, address) in ["direct", "routed"].into_iter().zip(addresses) {
            let mut callers = connect(address, THROUGHPUT_STREAMS).await;
            let (cpu, start) = (cpu_micros("edge"), Instant::now());
            let times = round(&mut callers, THROUGHPUT_TOKENS, Duration::ZERO).await;
            let wall = start.elapsed().as_secs_f64();
            let cpu = (cpu_micros("edge") - cpu) as f64 / 1e6;
            let rate = times.tokens as f64 / wall;
            println!(
                "throughput {name}: {} tokens, {rate:.0} tokens/s, edge CPU {cpu:.2} s",
                times.tokens
            );
            if cpu > 0.0 {
                println!(
                    "throughput {name}: {:.0} tokens per CPU second",
                    times.tokens as f64 / cpu
                );
            }
        }
    }

    async fn measure_requests(&self) {
        let addresses = self.start(0, 1).await;
        for (name, address) in ["direct", "routed"].into_iter().zip(addresses) {
            let mut callers = connect(address, THROUGHPUT_STREAMS).await;
            let (cpu, start) = (cpu_micros("edge"), Instant::now());
            for _ in 0..REQUESTS {
                round(&mut callers, 1, Duration::ZERO).await;
            }
            let wall = start.elapsed().as_secs_f64();
            let cpu = cpu_micros("edge") - cpu;
            let requests = REQUESTS * THROUGHPUT_STREAMS as u64;
            println!(
                "requests {name}: {:.0} requests/s, edge CPU {} us a request",
                requests as f64 / wall,
                cpu / requests
            );
        }
    }

    async fn measure_memory(&self) {
        let mut slopes = Vec::new();
        for (name, i) in [("direct", 0), ("routed", 1)] {
            let address = self.start(400, TOKENS).await[i];
            let before = resident_kb();
            let mut callers = connect(address, MEMORY_STREAMS).await;
            let running = round(&mut callers, TOKENS, Duration::ZERO);
            let during = async {
                tokio::time::sleep(Duration::from_secs(4)).await;
                resident_kb()
            };
            let (_, during) = tokio::join!(running, during);
            let slope = during.saturating_sub(before) as f64 / MEMORY_STREAMS as f64;
            println!(
                "memory {name}: {before} kB before, {during} kB with {MEMORY_STREAMS} streams"
            );
            slopes.push(slope);
        }
        let edge = slopes[1] - slopes[0];
        println!("memory of the edge: {edge:.1} kB a stream");
    }
}

/// Opens connections.
async fn connect(address: SocketAddr, streams: usize) -> Vec<Caller> {
    let mut callers = Vec::with_capacity(streams);
    for _ in 0..streams {
        callers.push(Caller::connect(address).await);
    }
    callers
}

/// Streams one answer over each connection; the streams begin within `spread`.
async fn round(callers: &mut Vec<Caller>, tokens: u64, spread: Duration) -> Times {
    let stagger = spread / callers.len() as u32;
    let mut running = JoinSet::new();
    for (i, mut caller) in (0..).zip(callers.drain(..)) {
        running.spawn(async move {
            tokio::time::sleep(stagger * i as u32).await;
            let times = caller.stream(i, tokens).await;
            (caller, times)
        });
    }
    let mut all = Times::default();
    for (caller, times) in running.join_all().await {
        callers.push(caller);
        all.merge(times);
    }
    all
}

fn print_row(streams: usize, what: &str, mut direct: Vec<u64>, mut routed: Vec<u64>) {
    let (direct_p50, routed_p50) = (quantile(&mut direct, 0.5), quantile(&mut routed, 0.5));
    let (direct_p99, routed_p99) = (quantile(&mut direct, 0.99), quantile(&mut routed, 0.99));
    let added = routed_p50 as i64 - direct_p50 as i64;
    println!(
        "{streams:>7}  {what:<14}  {direct_p50:>10}  {routed_p50:>10}  {added:>9}  \
         {direct_p99:>10}  {routed_p99:>10}"
    );
}
