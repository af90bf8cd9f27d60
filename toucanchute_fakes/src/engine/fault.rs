use serde::Deserialize;

/// Kind of a fault of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Mode {
    #[default]
    Ok,
    /// Each token takes longer.
    Slow,
    /// The engine sends no further tokens.
    Hang,
    /// The answer ends early, without `[DONE]`.
    Truncated,
    /// A chunk is not valid JSON.
    Malformed,
    /// Chunks have the identifier of another attempt and the text of another answer.
    WrongAttempt,
    /// Each chunk is sent twice.
    Duplicated,
    /// Pairs of chunks are swapped.
    Reordered,
    /// Runs are refused before they start.
    Refuse,
    /// The engine crashes immediately.
    Crash,
    /// The engine crashes during a run whose request body contains the marker.
    CrashOn,
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct Fault {
    pub(super) mode: Mode,
    /// Delay, or time until a crashed engine listens again, in milliseconds.
    pub(super) ms: u64,
    /// Number of runs that fail; zero for all.
    count: u64,
    /// Only runs whose request body contains this text fail; if empty, all do.
    marker: String,
    /// Number of tokens that are sent before the fault.
    pub(super) after: u64,
}

/// The fault in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    fault: Fault,
    /// Number of runs that this fault has affected.
    failed_runs: u64,
}

impl Faults {
    pub(super) fn set(&mut self, fault: Fault) {
        self.fault = fault;
        self.failed_runs = 0;
    }

    /// Returns the fault of the next run, whose request body is `body`.
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
