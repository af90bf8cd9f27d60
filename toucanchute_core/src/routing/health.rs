use toucanchute_proto::Millis;

/// Failures in a row that eject a replica.
const FAILURES_TO_EJECT: u32 = 3;

/// Time of a first ejection; each further one doubles it.
const MIN_EJECTION: Millis = Millis(1_000);

/// Longest ejection.
const MAX_EJECTION: Millis = Millis(8_000);

/// Whether a replica takes work.
#[derive(Debug)]
pub(super) struct Health {
    state: State,
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last answer that came whole.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected { since: Millis, until: Millis },
    Probing,
}

/// How bad a failure is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Several in a row eject the replica.
    Soft,
    /// The replica is gone.
    Hard,
}

impl Health {
    pub(super) fn new() -> Health {
        Health {
            state: State::Healthy,
            failures: 0,
            ejections: 0,
        }
    }

    /// Requests that may be in flight, or `None` for as many as the limit allows.
    pub(super) fn max_in_flight(&self) -> Option<u32> {
        match self.state {
            State::Healthy => None,
            State::Probing => Some(1),
            State::Ejected { .. } => Some(0),
        }
    }

    /// Lets a probe through when the ejection is over.
    pub(super) fn advance(&mut self, now: Millis) {
        if let State::Ejected { until, .. } = self.state
            && now >= until
        {
            self.state = State::Probing;
        }
    }

    /// Takes in a sign of life of that time, which ends an ejection early.
    pub(super) fn record_load_report(&mut self, as_of: Millis) {
        if let State::Ejected { since, .. } = self.state
            && as_of > since + MIN_EJECTION
        {
            self.state = State::Probing;
        }
    }

    pub(super) fn record_failure(&mut self, now: Millis, failure: Failure) {
        if let State::Ejected { since, until } = &mut self.state {
            if failure == Failure::Hard {
                *since = now;
                *until = (*until).max(now + MIN_EJECTION);
            }
            return;
        }
        self.failures += 1;
        let probing = self.state == State::Probing;
        if probing || failure == Failure::Hard || self.failures >= FAILURES_TO_EJECT {
            self.eject(now);
        }
    }

    /// Takes in progress; returns whether the replica is recovered.
    pub(super) fn record_progress(&mut self) -> bool {
        self.failures = 0;
        let recovered = self.state == State::Probing;
        if recovered {
            self.state = State::Healthy;
        }
        recovered
    }

    pub(super) fn record_completion(&mut self) {
        self.ejections = 0;
    }

    fn eject(&mut self, now: Millis) {
        let span = MIN_EJECTION.0 << self.ejections.min(8);
        let until = now + Millis(span.min(MAX_EJECTION.0));
        self.state = State::Ejected { since: now, until };
        self.failures = 0;
        self.ejections += 1;
    }
}
