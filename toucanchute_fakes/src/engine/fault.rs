use serde::Deserialize;

/// How runs fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Mode {
    #[default]
    Ok,
    /// Each token takes longer.
    Slow,
    /// No token follows.
    Hang,
    /// The answer stops without its end mark.
    Truncated,
    /// A chunk is no JSON.
    Malformed,
    /// Chunks are of another attempt, identifier and text.
    WrongAttempt,
    /// Each chunk is sent twice.
    Duplicated,
    /// Two chunks swap places.
    Reordered,
    /// Runs are refused before they start.
    Refuse,
    /// The engine crashes at once.
    Crash,
    /// The engine crashes on a request whose body holds the marker.
    CrashOn,
}

/// A fault as set by `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Fault {
    pub(super) mode: Mode,
    /// Delay or time until a crashed engine is back, in milliseconds.
    pub(super) ms: u64,
    /// Runs that fail; zero for all.
    count: u64,
    /// Only runs whose body holds this text fail; empty for all.
    marker: String,
    /// Tokens sent before the fault.
    pub(super) after: u64,
}

/// The fault in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    fault: Fault,
    /// Runs that have failed by this fault.
    failed_runs: u64,
}

impl Faults {
    pub(super) fn set(&mut self, fault: Fault) {
        self.fault = fault;
        self.failed_runs = 0;
    }

    /// Returns the fault that a run with this body meets.
    pub(super) fn next_for(&mut self, body: &[u8]) -> Fault {
        let is_exhausted = self.fault.count > 0 && self.failed_runs >= self.fault.count;
        if is_exhausted || !contains_marker(body, self.fault.marker.as_bytes()) {
            return Fault::default();
        }
        self.failed_runs += 1;
        self.fault.clone()
    }
}

fn contains_marker(body: &[u8], marker: &[u8]) -> bool {
    marker.is_empty() || body.windows(marker.len()).any(|window| window == marker)
}
