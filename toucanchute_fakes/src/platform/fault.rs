use std::time::Duration;

use serde::Deserialize;

/// Kind of a fault of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Mode {
    #[default]
    Ok,
    /// Connections are closed before anything is applied.
    Down,
    /// Requests are delayed before they are applied.
    Slow,
    /// Requests are applied, then their connections are closed.
    LoseAnswers,
    /// Requests are refused before anything is applied.
    Refuse,
}

/// Body of `POST /fault`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Fault {
    mode: Mode,
    /// Delay in milliseconds.
    ms: u64,
    /// Number of requests that fail; zero for all.
    count: u64,
    /// Prefix of the paths that fail; empty for all.
    path: String,
}

impl Fault {
    /// Returns whether open watches end when the fault is set.
    pub(crate) fn ends_watches(&self) -> bool {
        self.mode == Mode::Down && (self.path.is_empty() || "/v3/watch".starts_with(&self.path))
    }
}

/// Effect of the fault in force on a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Effect {
    Pass,
    Delay(Duration),
    Drop,
    Refuse,
    LoseAnswer,
}

/// The fault in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    fault: Fault,
    /// Number of requests that this fault has affected.
    failed_requests: u64,
}

impl Faults {
    pub(crate) fn set(&mut self, fault: Fault) {
        self.fault = fault;
        self.failed_requests = 0;
    }

    pub(crate) fn next_effect(&mut self, path: &str) -> Effect {
        let is_exhausted = self.fault.count > 0 && self.failed_requests >= self.fault.count;
        if is_exhausted || !path.starts_with(&self.fault.path) {
            return Effect::Pass;
        }
        self.failed_requests += 1;
        match self.fault.mode {
            Mode::Ok => Effect::Pass,
            Mode::Down => Effect::Drop,
            Mode::Slow => Effect::Delay(Duration::from_millis(self.fault.ms)),
            Mode::LoseAnswers => Effect::LoseAnswer,
            Mode::Refuse => Effect::Refuse,
        }
    }
}
