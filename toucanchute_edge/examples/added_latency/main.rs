//! Measures the cost that the edge adds to a direct connection to a stand-in model engine: latency
//! of the first token and between tokens, CPU time per token and per request, memory per stream.
//! Event logs are written to `/dev/null`.
//!
//! Run it in release mode, as `scripts/bench` does. The first argument (`latency`, `throughput`,
//! `requests` or `memory`) selects one measurement. Two further arguments, the addresses of a
//! running engine that serves the model `m` and of a router in front of it, measure these instead.
//! Engine, edge and callers run in one process, each with threads of its own. Direct and routed
//! rounds alternate, so that other load on the machine affects both.

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
use toucanchute_log::LogBuilder;

use self::{
    control::GrantAllControl,
    load::{Caller, TokenTimes, quantile},
    process::{cpu_micros, resident_kb},
};

/// Number of worker threads of the edge.
const EDGE_THREADS: usize = 2;
/// Numbers of concurrent streams for the latency measurement, each with its number of rounds.
const LATENCY_STREAMS: [(usize, u64); 3] = [(1, 20), (32, 10), (256, 6)];
/// Time between two tokens of the engine in the latency measurement. The streams of one round are
/// started over the same time.
const TOKEN_INTERVAL: Duration = Duration::from_millis(20);
/// Number of tokens of each answer.
const TOKENS: u64 = 24;
/// Number of concurrent streams in the throughput and request rate measurements.
const THROUGHPUT_STREAMS: usize = 64;
/// Number of tokens of each answer in the throughput measurement.
const THROUGHPUT_TOKENS: u64 = 2_000;
/// Number of requests of one token over each connection in the request rate measurement.
const REQUESTS_PER_CONNECTION: u64 = 200;
/// Number of concurrent streams in the memory measurement.
const MEMORY_STREAMS: usize = 1_000;

fn main() {
    let log = Path::new("/dev/null");
    LogBuilder::new("bench").file(log).install().expect("a log");
    let engine_runtime = runtime("engine", 4);
    let edge_runtime = runtime("edge", EDGE_THREADS);
    let caller_runtime = runtime("caller", 3);
    let mut args = std::env::args().skip(1);
    let selected = args.next();
    let external: Vec<SocketAddr> = args.map(|arg| arg.parse().expect("an address")).collect();
    let bench = Bench {
        engine_runtime,
        edge_runtime,
        external: external.try_into().ok(),
    };
    let wanted = |part: &str| selected.as_deref().is_none_or(|selected| selected == part);
    caller_runtime.block_on(async {
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
    engine_runtime: Runtime,
    edge_runtime: Runtime,
    /// Addresses of a running engine and of the router in front of it, to be measured instead.
    external: Option<[SocketAddr; 2]>,
}

impl Bench {
    /// Starts an engine and an edge in front of it; returns the address of the engine and that of
    /// the edge.
    async fn start(&self, token_ms: u64, tokens: u64) -> [SocketAddr; 2] {
        if let Some(external) = self.external {
            return external;
        }
        let options = EngineOptions {
            first_token_ms: token_ms,
            token_ms,
            capacity: 4_096,
            // The length of the answers is limited by the requests.
            answer_tokens: 2 * tokens,
            ..EngineOptions::default()
        };
        let bound = Engine::bind(([127, 0, 0, 1], 0).into(), options);
        let engine = self.engine_runtime.spawn(bound).await.expect("a task");
        let engine = engine.expect("an engine");
        let direct = engine.address();
        std::mem::forget(engine);
        let settings = EdgeSettings {
            max_idle_connections: 4_096,
            ..EdgeSettings::default()
        };
        let edge = Edge::new(Arc::new(GrantAllControl::new(direct)), settings);
        let routed = self.edge_runtime.spawn(async move {
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
        for (streams, rounds) in LATENCY_STREAMS {
            let addresses = self.start(TOKEN_INTERVAL.as_millis() as u64, TOKENS).await;
            let mut times = [TokenTimes::default(), TokenTimes::default()];
            let mut callers = [
                connect(addresses[0], streams).await,
                connect(addresses[1], streams).await,
            ];
            round(&mut callers[0], TOKENS, TOKEN_INTERVAL).await;
            round(&mut callers[1], TOKENS, TOKEN_INTERVAL).await;
            for _ in 0..rounds {
                for (callers, times) in callers.iter_mut().zip(&mut times) {
                    times.merge(round(callers, TOKENS, TOKEN_INTERVAL).await);
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
            for _ in 0..REQUESTS_PER_CONNECTION {
                round(&mut callers, 1, Duration::ZERO).await;
            }
            let wall = start.elapsed().as_secs_f64();
            let cpu = cpu_micros("edge") - cpu;
            let requests = REQUESTS_PER_CONNECTION * THROUGHPUT_STREAMS as u64;
            println!(
                "requests {name}: {:.0} requests/s, edge CPU {} us a request",
                requests as f64 / wall,
                cpu / requests
            );
        }
    }

    async fn measure_memory(&self) {
        let mut kb_per_stream = Vec::new();
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
            let per_stream = during.saturating_sub(before) as f64 / MEMORY_STREAMS as f64;
            println!(
                "memory {name}: {before} kB before, {during} kB with {MEMORY_STREAMS} streams"
            );
            kb_per_stream.push(per_stream);
        }
        let edge = kb_per_stream[1] - kb_per_stream[0];
        println!("memory of the edge: {edge:.1} kB a stream");
    }
}

/// Opens one connection for each stream.
async fn connect(address: SocketAddr, streams: usize) -> Vec<Caller> {
    let mut callers = Vec::with_capacity(streams);
    for _ in 0..streams {
        callers.push(Caller::connect(address).await);
    }
    callers
}

/// Streams one answer over each connection, with the starts spread evenly over `spread`.
async fn round(callers: &mut Vec<Caller>, tokens: u64, spread: Duration) -> TokenTimes {
    let stagger = spread / callers.len() as u32;
    let mut running = JoinSet::new();
    for (i, mut caller) in (0..).zip(callers.drain(..)) {
        running.spawn(async move {
            tokio::time::sleep(stagger * i as u32).await;
            let times = caller.stream(i, tokens).await;
            (caller, times)
        });
    }
    let mut all = TokenTimes::default();
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
