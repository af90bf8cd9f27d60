//! A control that assigns scripted backend servers in order.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::watch, time::Instant};
use toucanchute_core::{
    origins::{StreamId, StreamOrigin},
    placement::{LinkBudget, LinkRequest},
};
use toucanchute_edge::{
    AssignRequest, Assignment, AttemptReport, BackendNotice, CrashKind, Refusal, RefusalOutcome,
    RefusalReason,
    passthrough::{
        PlannedStop, RequestEnd, ResponseRecord, RouteControl, TokenRefusal, TokenRefusalReason,
        TokenRequest, TokenReservation,
    },
};
use toucanchute_proto::{AttemptId, Incarnation, Millis, config::Config, fleet::Load};

use super::{Backend, config};

#[derive(Debug)]
pub(crate) struct ScriptedControl {
    config: Arc<Config>,
    backends: Vec<SocketAddr>,
    /// Tokens that may still be reserved.
    pub(crate) tokens: Mutex<u64>,
    /// Tokens that each settled request used.
    pub(crate) used: Mutex<Vec<u64>>,
    pub(crate) reports: Mutex<Vec<AttemptReport>>,
    pub(crate) notices: Mutex<Vec<BackendNotice>>,
    next: AtomicU64,
    /// Number of attempts that have not ended, and the largest that it was.
    open_attempts: Mutex<(usize, usize)>,
    /// The planned stop, once a test begins one.
    pub(crate) stop: watch::Sender<Option<PlannedStop>>,
    stop_rx: watch::Receiver<Option<PlannedStop>>,
    /// What began the streams that callers may take up.
    streams: Mutex<HashMap<StreamId, StreamOrigin>>,
    /// Time that each assignment of a backend server takes.
    pub(crate) assign_time: Mutex<Duration>,
    /// Budget of the host's link; absent if it has none.
    pub(crate) link: Mutex<Option<LinkBudget>>,
}

impl RouteControl for ScriptedControl {
    fn config(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    fn unready(&self) -> Option<Refusal> {
        let until = self.stop.borrow().map(|s| s.accepts_until);
        let refuses = until.is_some_and(|until| Instant::now() >= until);
        refuses.then(PlannedStop::refusal)
    }

    fn planned_stop(&self) -> &watch::Receiver<Option<PlannedStop>> {
        &self.stop_rx
    }

    fn admit_to_link(&self, req: LinkRequest<'_>) -> Result<(), Refusal> {
        let mut link = self.link.lock().unwrap();
        let admitted = link.as_mut().map_or(Ok(()), |l| l.admit(Millis(0), req));
        admitted.map_err(|wait| Refusal {
            reason: RefusalReason::HostBusy,
            outcome: RefusalOutcome::NothingSent,
            retry_after: Some(wait),
            elsewhere: None,
        })
    }

    async fn reserve(&self, req: TokenRequest) -> Result<TokenReservation, TokenRefusal> {
        let mut tokens = self.tokens.lock().unwrap();
        if *tokens < req.tokens {
            return Err(TokenRefusal {
                reason: TokenRefusalReason::Exhausted,
                retry_after: None,
            });
        }
        *tokens -= req.tokens;
        Ok(TokenReservation {
            id: 1,
            tokens: req.tokens,
            owner: Incarnation(1),
        })
    }

    fn settle(&self, reservation: TokenReservation, used: u64) {
        *self.tokens.lock().unwrap() += reservation.tokens - used;
        self.used.lock().unwrap().push(used);
    }

    async fn assign(&self, req: AssignRequest) -> Result<Assignment, Refusal> {
        let assign_time = *self.assign_time.lock().unwrap();
        if !assign_time.is_zero() {
            tokio::time::sleep(assign_time).await;
        }
        let name = |i: usize| format!("b{i}");
        let free = (0..self.backends.len()).find(|&i| !req.exclude.contains(&name(i)));
        let Some(i) = free else {
            return Err(Refusal {
                reason: RefusalReason::NoBackend,
                outcome: RefusalOutcome::NothingSent,
                retry_after: Some(Millis(250)),
                elsewhere: None,
            });
        };
        let attempt = self.next.fetch_add(1, Ordering::Relaxed);
        let mut open = self.open_attempts.lock().unwrap();
        open.0 += 1;
        open.1 = open.1.max(open.0);
        drop(open);
        Ok(Assignment {
            attempt: AttemptId(Incarnation(1), attempt),
            backend: name(i),
            address: self.backends[i],
            rate_limited: false,
            software: None,
        })
    }

    fn report(&self, _attempt: AttemptId, report: AttemptReport) {
        let is_end = !matches!(
            report,
            AttemptReport::FirstToken | AttemptReport::Silent | AttemptReport::Resumed
        );
        self.open_attempts.lock().unwrap().0 -= usize::from(is_end);
        self.reports.lock().unwrap().push(report);
    }

    fn report_load(&self, _load: Load) {}

    fn report_notice(&self, _backend: &str, notice: BackendNotice) {
        self.notices.lock().unwrap().push(notice);
    }

    async fn record_stream(&self, stream: StreamId, origin: StreamOrigin, _keep: Millis) {
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

impl ScriptedControl {
    /// Creates a control with one route of `kind`, to whose JSON `extra` is added, and one public
    /// route.
    pub(crate) fn new(kind: &str, extra: &str, backends: &[&Backend]) -> ScriptedControl {
        let (stop, stop_rx) = watch::channel(None);
        ScriptedControl {
            config: Arc::new(config(kind, extra)),
            backends: backends.iter().map(|b| b.address).collect(),
            tokens: Mutex::new(1_000),
            used: Mutex::default(),
            reports: Mutex::default(),
            notices: Mutex::default(),
            next: AtomicU64::new(0),
            open_attempts: Mutex::default(),
            stop,
            stop_rx,
            streams: Mutex::default(),
            assign_time: Mutex::default(),
            link: Mutex::default(),
        }
    }

    /// Returns the largest number of attempts that were open at once.
    pub(crate) fn most_open_attempts(&self) -> usize {
        self.open_attempts.lock().unwrap().1
    }

    /// Returns how often an attempt was reported in this way.
    pub(crate) fn report_count(&self, report: AttemptReport) -> usize {
        let reports = self.reports.lock().unwrap();
        reports.iter().filter(|r| **r == report).count()
    }

    /// Whether an attempt was reported to have crashed in this way.
    pub(crate) fn crashed(&self, kind: CrashKind) -> bool {
        self.reports
            .lock()
            .unwrap()
            .contains(&AttemptReport::Crashed { kind })
    }
}
