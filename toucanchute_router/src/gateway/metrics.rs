//! Counters, gauges and latency histograms of a gateway, served in the Prometheus text format.

mod labels;

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use tokio::net::TcpListener;
use toucanchute_core::origins::StreamOrigin;
use toucanchute_edge::{
    AttemptReport, BackendNotice, ConnectionCounts, ConnectionEnd, ConnectionState,
    passthrough::{RequestEnd, ResponseRecord, TokenRefusal, TokenReservation},
};
use toucanchute_platform::StoreClient;
use toucanchute_store::CallCounts;

use super::{
    host_link::HostLink, http_server, stream_copies::CopyResult, stream_origins::UnknownOrigin,
};
use crate::actor::{RequestStandings, RoutingStatus, StandingCount};
use labels::{
    AttemptLabels, ColdLabels, ConnectionEndLabels, ConnectionLabels, DomainLabels, NoticeLabels,
    RequestLabels, ReservationLabels, ResponseLabels, StandingLabels, StoreCallLabels,
    StreamCopyLabels, TakeUpLabels,
};

/// Upper bounds of the latency histogram buckets, in milliseconds. They range from a short response
/// to a whole stream.
const LATENCY_BUCKETS_MS: [f64; 12] = [
    5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 700.0, 1_000.0, 2_000.0, 5_000.0, 15_000.0,
];

/// Metrics of the gateway process.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Mutex<Registry>,
    requests: Family<RequestLabels, Counter>,
    first_byte: Histogram,
    attempts: Family<AttemptLabels, Counter>,
    reservations: Family<ReservationLabels, Counter>,
    tokens_used: Counter,
    in_flight: Gauge,
    list_share: Gauge,
    host_link_use: Gauge,
    host_timer_delay: Gauge,
    load_error: Gauge,
    store_calls: Family<StoreCallLabels, Gauge>,
    log_lines_dropped: Gauge,
    standings: Family<StandingLabels, Gauge>,
    evacuated: Family<DomainLabels, Gauge>,
    cold: Family<ColdLabels, Gauge>,
    notices: Family<NoticeLabels, Counter>,
    permits_used: Counter,
    take_ups: Family<TakeUpLabels, Counter>,
    stream_copies: Family<StreamCopyLabels, Counter>,
    responses: Family<ResponseLabels, Counter>,
    connections: Family<ConnectionLabels, Gauge>,
    connections_ended: Family<ConnectionEndLabels, Gauge>,
}

impl GatewayMetrics {
    /// Creates and registers the metrics, all zero.
    pub(super) fn new() -> GatewayMetrics {
        let metrics = GatewayMetrics {
            registry: Mutex::default(),
            requests: Family::default(),
            first_byte: Histogram::new(LATENCY_BUCKETS_MS),
            attempts: Family::default(),
            reservations: Family::default(),
            tokens_used: Counter::default(),
            in_flight: Gauge::default(),
            list_share: Gauge::default(),
            host_link_use: Gauge::default(),
            host_timer_delay: Gauge::default(),
            load_error: Gauge::default(),
            store_calls: Family::default(),
            log_lines_dropped: Gauge::default(),
            standings: Family::default(),
            evacuated: Family::default(),
            cold: Family::default(),
            notices: Family::default(),
            permits_used: Counter::default(),
            take_ups: Family::default(),
            stream_copies: Family::default(),
            responses: Family::default(),
            connections: Family::default(),
            connections_ended: Family::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let registry = registry.sub_registry_with_prefix("toucanchute");
        registry.register(
            "requests",
            "Requests that have ended",
            self.requests.clone(),
        );
        registry.register(
            "first_byte_ms",
            "Time to the head of an answer, in milliseconds",
            self.first_byte.clone(),
        );
        registry.register(
            "attempts",
            "Ends of attempts at backend servers",
            self.attempts.clone(),
        );
        registry.register(
            "reservations",
            "Requests for tokens of prepaid budgets",
            self.reservations.clone(),
        );
        registry.register(
            "tokens_used",
            "Tokens that requests used",
            self.tokens_used.clone(),
        );
        registry.register("in_flight", "Requests in progress", self.in_flight.clone());
        registry.register(
            "list_share_eighths",
            "Share of the lists of addresses that should name the router, in eighths",
            self.list_share.clone(),
        );
        registry.register(
            "host_link_permille",
            "Mean use of the host's link, in thousandths of its bandwidth",
            self.host_link_use.clone(),
        );
        registry.register(
            "host_timer_delay_ms",
            "Mean delay of the router's timers, in milliseconds",
            self.host_timer_delay.clone(),
        );
        registry.register(
            "load_error_permille",
            "Mean difference between the believed and the reported requests at backend servers, in \
             thousandths of their slots",
            self.load_error.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store since the start",
            self.store_calls.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the queue was full",
            self.log_lines_dropped.clone(),
        );
        registry.register(
            "request_standings",
            "Verdicts on requests during which backend servers ended",
            self.standings.clone(),
        );
        registry.register(
            "domain_evacuated",
            "1 if the failure domain is evacuated, for those that ever were",
            self.evacuated.clone(),
        );
        registry.register(
            "backends_cold",
            "How often backend servers were found cold since the start, by the cause",
            self.cold.clone(),
        );
        registry.register(
            "backend_words",
            "Responses in which backend servers announce that they leave, a backoff or a rate limit",
            self.notices.clone(),
        );
        registry.register(
            "permits_used",
            "Attempts at rate-limited backend servers",
            self.permits_used.clone(),
        );
        registry.register(
            "streams_taken_up",
            "Streams that callers take up, by whether it is known what began them",
            self.take_ups.clone(),
        );
        registry.register(
            "stream_copies",
            "Streams that callers may take up, by whether another router knew what began them before \
             their first event was relayed",
            self.stream_copies.clone(),
        );
        registry.register(
            "backend_responses",
            "Responses of backend servers by status, by the attempt that they name, by whether they \
             state that the request did not run, and by the connection",
            self.responses.clone(),
        );
        registry.register(
            "connections",
            "Open connections of callers by what happens on them",
            self.connections.clone(),
        );
        registry.register(
            "connections_ended",
            "Connections of callers since the start by how they ended",
            self.connections_ended.clone(),
        );
    }

    /// Sets the load of the host.
    fn set_host_load(&self, host: &HostLink) {
        self.list_share.set(i64::from(host.list_share()));
        let (link_permille, timer_delay_ms) = host.means();
        let link_permille = i64::try_from(link_permille).unwrap_or(i64::MAX);
        let timer_delay_ms = i64::try_from(timer_delay_ms).unwrap_or(i64::MAX);
        self.host_link_use.set(link_permille);
        self.host_timer_delay.set(timer_delay_ms);
    }

    /// Counts a request that has ended and records its time to first byte, if it is known.
    pub(super) fn record_request(&self, end: &RequestEnd<'_>) {
        let labels = RequestLabels {
            status: end.status,
            outcome: end.outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        if end.first_ms > 0 {
            self.first_byte.observe(end.first_ms as f64);
        }
    }

    /// Counts the end of an attempt or a silence of its backend server; reports of a first token are
    /// ignored.
    pub(super) fn record_attempt(&self, report: AttemptReport) {
        if report != AttemptReport::FirstToken {
            let end = report.name();
            self.attempts.get_or_create(&AttemptLabels { end }).inc();
        }
    }

    /// Counts the result of a token reservation, the first of its request or a further one.
    pub(super) fn record_reservation(
        &self,
        is_first: bool,
        result: &Result<TokenReservation, TokenRefusal>,
    ) {
        let part = if is_first { "first" } else { "further" };
        let result = match result {
            Ok(_) => "reserved",
            Err(refusal) => refusal.reason.name(),
        };
        let labels = ReservationLabels { part, result };
        self.reservations.get_or_create(&labels).inc();
    }

    /// Sets the counts of standings, that is, of verdicts on requests during which backend servers
    /// ended.
    fn set_standings(&self, counts: Vec<StandingCount>) {
        for c in counts {
            let labels = StandingLabels {
                standing: c.standing,
                source: c.source,
            };
            let gauge = self.standings.get_or_create(&labels);
            gauge.set(i64::try_from(c.count).unwrap_or(i64::MAX));
        }
    }

    /// Counts a notice that a backend server sent about itself.
    pub(super) fn record_notice(&self, notice: BackendNotice) {
        let word = match notice {
            BackendNotice::Leaving => "leaving",
            BackendNotice::Backoff { .. } => "rest",
            BackendNotice::RateLimit { .. } => "rate-limit",
            BackendNotice::Cold { .. } => "cold",
            BackendNotice::NoRateLimit { .. } => "no-rate-limit",
        };
        self.notices.get_or_create(&NoticeLabels { word }).inc();
    }

    /// Counts a stream that its caller takes up, by whether it is known what began it.
    pub(super) fn record_take_up(&self, found: &Result<StreamOrigin, UnknownOrigin>) {
        let origin = match found {
            Ok(_) => "known",
            Err(unknown) => unknown.name(),
        };
        self.take_ups.get_or_create(&TakeUpLabels { origin }).inc();
    }

    /// Counts a stream that its caller may take up, by whether another router holds a copy of what began it.
    pub(super) fn record_stream_copy(&self, result: CopyResult) {
        let result = result.name();
        let labels = StreamCopyLabels { result };
        self.stream_copies.get_or_create(&labels).inc();
    }

    /// Counts an attempt at a rate-limited backend server, which used a permit.
    pub(super) fn record_permit_used(&self) {
        self.permits_used.inc();
    }

    /// Counts a backend server's response.
    pub(super) fn record_response(&self, response: &ResponseRecord) {
        let labels = ResponseLabels {
            status: response.status.as_u16(),
            names: response.attempt.name(),
            not_run: if response.not_run { "yes" } else { "no" },
            connection: if response.reused { "reused" } else { "new" },
        };
        self.responses.get_or_create(&labels).inc();
    }

    /// Adds the tokens that a request used.
    pub(super) fn record_tokens_used(&self, tokens: u64) {
        self.tokens_used.inc_by(tokens);
    }

    /// Sets the counts of calls to the store.
    fn set_store_calls(&self, counts: CallCounts) {
        let counts = [
            ("read", counts.reads),
            ("write", counts.writes),
            ("lease", counts.leases),
            ("watch", counts.watches),
            ("failed", counts.not_applied),
            ("unanswered", counts.unknown),
        ];
        for (kind, count) in counts {
            let gauge = self.store_calls.get_or_create(&StoreCallLabels { kind });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets which failure domains are evacuated, how often backend servers were cold, and how far their loads
    /// are known.
    fn set_routing_status(&self, status: &RoutingStatus) {
        let error = i64::try_from(status.load_error_permille());
        self.load_error.set(error.unwrap_or(i64::MAX));
        for (failure_domain, evacuated) in status.evacuations() {
            let labels = DomainLabels { failure_domain };
            let gauge = self.evacuated.get_or_create(&labels);
            gauge.set(i64::from(evacuated));
        }
        for (cause, count) in status.cold_counts() {
            let gauge = self.cold.get_or_create(&ColdLabels { cause });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets the counts of callers' connections.
    fn set_connections(&self, counts: &ConnectionCounts) {
        for state in ConnectionState::ALL {
            let labels = ConnectionLabels {
                state: state.name(),
            };
            let open = i64::try_from(counts.open(state)).unwrap_or(i64::MAX);
            self.connections.get_or_create(&labels).set(open);
        }
        for end in ConnectionEnd::ALL {
            let labels = ConnectionEndLabels { end: end.name() };
            let ended = i64::try_from(counts.ended(end)).unwrap_or(i64::MAX);
            self.connections_ended.get_or_create(&labels).set(ended);
        }
    }

    /// Reads the sources and returns all metrics as text.
    fn encode_text(&self, sources: &MetricSources) -> String {
        let in_flight = sources.in_flight.load(Ordering::Relaxed);
        self.set_store_calls(sources.store.counts());
        self.set_standings(sources.standings.counts());
        self.set_connections(&sources.connections);
        self.set_routing_status(&sources.status);
        self.set_host_load(&sources.host_link);
        self.in_flight
            .set(i64::try_from(in_flight).unwrap_or(i64::MAX));
        let dropped = toucanchute_log::dropped_lines();
        self.log_lines_dropped
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &registry) {
            log::error!(error:% = e; "metrics-encoding-failed");
        }
        text
    }
}

/// Sources of the values that are read only when the metrics are requested.
#[derive(Clone)]
pub(super) struct MetricSources {
    /// Requests in progress.
    pub(super) in_flight: Arc<AtomicU64>,
    /// Connections of callers.
    pub(super) connections: Arc<ConnectionCounts>,
    pub(super) host_link: Arc<HostLink>,
    pub(super) store: StoreClient,
    pub(super) standings: Arc<RequestStandings>,
    pub(super) status: Arc<RoutingStatus>,
}

/// Serves the metrics on every path until `ended` resolves.
pub(super) async fn serve(
    listener: TcpListener,
    metrics: Arc<GatewayMetrics>,
    sources: MetricSources,
    ended: impl Future<Output = ()>,
) {
    let respond = move |_: &Request<Incoming>| {
        let text = metrics.encode_text(&sources);
        let mut res = Response::new(Full::new(Bytes::from(text)));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(header::CONTENT_TYPE, kind);
        res
    };
    http_server::serve(listener, "metrics", respond, ended).await;
}
