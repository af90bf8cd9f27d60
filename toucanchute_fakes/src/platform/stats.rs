use std::collections::BTreeMap;

use http::Method;
use serde::Serialize;

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum CallKind {
    Range,
    Put,
    Txn,
    DeleteRange,
    LeaseGrant,
    LeaseKeepalive,
    LeaseRevoke,
    Watch,
    Hosts,
    Weights,
    Other,
    /// A change by an operator, which is not counted.
    OperatorWrite,
}

impl CallKind {
    pub(crate) fn of(method: &Method, path: &str) -> CallKind {
        match path {
            "/v3/kv/range" => CallKind::Range,
            "/v3/kv/put" => CallKind::Put,
            "/v3/kv/txn" => CallKind::Txn,
            "/v3/kv/deleterange" => CallKind::DeleteRange,
            "/v3/lease/grant" => CallKind::LeaseGrant,
            "/v3/lease/keepalive" => CallKind::LeaseKeepalive,
            "/v3/lease/revoke" => CallKind::LeaseRevoke,
            "/v3/watch" => CallKind::Watch,
            "/v1/hosts" if method == Method::PUT => CallKind::OperatorWrite,
            "/v1/hosts" => CallKind::Hosts,
            path if path.starts_with("/v1/weights/") => CallKind::Weights,
            _ => CallKind::Other,
        }
    }

    fn is_write(self) -> bool {
        matches!(
            self,
            CallKind::Put
                | CallKind::Txn
                | CallKind::DeleteRange
                | CallKind::LeaseGrant
                | CallKind::LeaseKeepalive
                | CallKind::LeaseRevoke
        )
    }

    fn is_read(self) -> bool {
        matches!(self, CallKind::Range | CallKind::Watch | CallKind::Hosts)
    }
}

/// Counters of calls, and their rate limits.
#[derive(Debug)]
pub(crate) struct Stats {
    calls: BTreeMap<CallKind, u64>,
    body_bytes: u64,
    refused: u64,
    pub(crate) open_watches: u64,
    writes: RateWindow,
    reads: RateWindow,
}

/// Response to `GET /stats`.
#[derive(Debug, Serialize)]
pub(crate) struct Report<'a> {
    calls: &'a BTreeMap<CallKind, u64>,
    body_bytes: u64,
    refused: u64,
    open_watches: u64,
    peak_writes_per_second: u32,
    peak_reads_per_second: u32,
}

impl Stats {
    pub(crate) fn new(writes_per_second: u32, reads_per_second: u32) -> Stats {
        Stats {
            calls: BTreeMap::new(),
            body_bytes: 0,
            refused: 0,
            open_watches: 0,
            writes: RateWindow::new(writes_per_second),
            reads: RateWindow::new(reads_per_second),
        }
    }

    pub(crate) fn count(&mut self, kind: CallKind, body_bytes: usize) {
        *self.calls.entry(kind).or_default() += 1;
        self.body_bytes += body_bytes as u64;
    }

    /// Returns whether the rate limits admit a call.
    pub(crate) fn admit(&mut self, kind: CallKind, now_ms: u64) -> bool {
        let admitted = match kind {
            kind if kind.is_write() => self.writes.admit(now_ms),
            kind if kind.is_read() => self.reads.admit(now_ms),
            _ => true,
        };
        self.refused += u64::from(!admitted);
        admitted
    }

    pub(crate) fn report(&self) -> Report<'_> {
        Report {
            calls: &self.calls,
            body_bytes: self.body_bytes,
            refused: self.refused,
            open_watches: self.open_watches,
            peak_writes_per_second: self.writes.peak,
            peak_reads_per_second: self.reads.peak,
        }
    }
}

/// Rate limit and number of calls in the current second.
#[derive(Debug)]
struct RateWindow {
    /// Maximum number of calls per second; zero for no limit.
    limit: u32,
    second: u64,
    admitted_calls: u32,
    peak: u32,
}

impl RateWindow {
    fn new(limit: u32) -> RateWindow {
        RateWindow {
            limit,
            second: 0,
            admitted_calls: 0,
            peak: 0,
        }
    }

    fn admit(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1000;
        if second != self.second {
            self.second = second;
            self.admitted_calls = 0;
        }
        if self.limit > 0 && self.admitted_calls >= self.limit {
            return false;
        }
        self.admitted_calls += 1;
        self.peak = self.peak.max(self.admitted_calls);
        true
    }
}
