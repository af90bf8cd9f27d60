use toucanchute_proto::Millis;

/// Failures in a row that eject a replica.
const MAX_FAILURES: u32 = 3;

/// Time of a first ejection; each further one doubles it.
const EJECT_BASE: Millis = Millis(1_000);

/// Longest ejection.
const EJECT_MAX: Millis = Millis(8_000);

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
    pub(super) fn cap(&self) -> Option<u32> {
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
    pub(super) fn heard(&mut self, as_of: Millis) {
        if let State::Ejected { since, .. } = self.state
            && as_of > since + EJECT_BASE
        {
            self.state = State::Probing;
        }
    }

    pub(super) fn failed(&mut self, now: Millis, failure: Failure) {
        if let State::Ejected { since, until } = &mut self.state {
            if failure == Failure::Hard {
                *since = now;
                *until = (*until).max(now + EJECT_BASE);
            }
            return;
        }
        self.failures += 1;
        let probe = self.state == State::Probing;
        if probe || failure == Failure::Hard || self.failures >= MAX_FAILURES {
            self.eject(now);
        }
    }

    /// Takes in progress; returns whether the replica is back.
    pub(super) fn progressed(&mut self) -> bool {
        self.failures = 0;
        let back = self.state == State::Probing;
        if back {
            self.state = State::Healthy;
        }
        back
    }

    pub(super) fn finished(&mut self) {
        self.ejections = 0;
    }

    fn eject(&mut self, now: Millis) {
        let span = EJECT_BASE.0 << self.ejections.min(8);
        let until = now + Millis(span.min(EJECT_MAX.0));
        self.state = State::Ejected { since: now, until };
        self.failures = 0;
        self.ejections += 1;
    }
}
