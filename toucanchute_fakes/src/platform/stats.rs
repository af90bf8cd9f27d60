use std::collections::BTreeMap;

use http::Method;
use serde::Serialize;

/// Kinds of calls that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Kind {
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
    /// An operator's change, which is not counted.
    OperatorWrite,
}

impl Kind {
    pub(crate) fn of(method: &Method, path: &str) -> Kind {
        match path {
            "/v3/kv/range" => Kind::Range,
            "/v3/kv/put" => Kind::Put,
            "/v3/kv/txn" => Kind::Txn,
            "/v3/kv/deleterange" => Kind::DeleteRange,
            "/v3/lease/grant" => Kind::LeaseGrant,
            "/v3/lease/keepalive" => Kind::LeaseKeepalive,
            "/v3/lease/revoke" => Kind::LeaseRevoke,
            "/v3/watch" => Kind::Watch,
            "/v1/hosts" if method == Method::PUT => Kind::OperatorWrite,
            "/v1/hosts" => Kind::Hosts,
            path if path.starts_with("/v1/weights/") => Kind::Weights,
            _ => Kind::Other,
        }
    }

    fn is_write(self) -> bool {
        matches!(
            self,
            Kind::Put
                | Kind::Txn
                | Kind::DeleteRange
                | Kind::LeaseGrant
                | Kind::LeaseKeepalive
                | Kind::LeaseRevoke
        )
    }

    fn is_read(self) -> bool {
        matches!(self, Kind::Range | Kind::Watch | Kind::Hosts)
    }
}

/// Counts of calls, and the limits on their rates.
#[derive(Debug)]
pub(crate) struct Stats {
    calls: BTreeMap<Kind, u64>,
    body_bytes: u64,
    refused: u64,
    pub(crate) open_watches: u64,
    writes: Window,
    reads: Window,
}

/// Counts as answered by `GET /stats`.
#[derive(Debug, Serialize)]
pub(crate) struct Report<'a> {
    calls: &'a BTreeMap<Kind, u64>,
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
            writes: Window::new(writes_per_second),
            reads: Window::new(reads_per_second),
        }
    }

    pub(crate) fn count(&mut self, kind: Kind, body_bytes: usize) {
        *self.calls.entry(kind).or_default() += 1;
        self.body_bytes += body_bytes as u64;
    }

    /// Returns whether the rate limits admit a call.
    pub(crate) fn admit(&mut self, kind: Kind, now_ms: u64) -> bool {
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

/// Calls within the current second.
#[derive(Debug)]
struct Window {
    /// Calls admitted in a second; zero for no limit.
    limit: u32,
    second: u64,
    used: u32,
    peak: u32,
}

impl Window {
    fn new(limit: u32) -> Window {
        Window {
            limit,
            second: 0,
            used: 0,
            peak: 0,
        }
    }

    fn admit(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1000;
        if second != self.second {
            self.second = second;
            self.used = 0;
        }
        if self.limit > 0 && self.used >= self.limit {
            return false;
        }
        self.used += 1;
        self.peak = self.peak.max(self.used);
        true
    }
}
