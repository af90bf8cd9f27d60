use toucanchute_proto::Millis;

/// Number of consecutive failures that eject a replica.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of the first ejection. Each further one doubles it, up to [`MAX_EJECTION`].
const MIN_EJECTION: Millis = Millis(1_000);

/// Longest duration of an ejection.
const MAX_EJECTION: Millis = Millis(8_000);

/// Time without work for a replica that is silent. It ends with the replica's next answer.
const SILENCE_PAUSE: Millis = Millis(2_000);

/// Time without work for a replica to which no connection was opened in time. It is short, since a
/// replica without requests in progress sends nothing that would end it.
const UNREACHED_PAUSE: Millis = Millis(400);

/// Health of a replica, which decides whether it gets work.
#[derive(Debug)]
pub(super) struct Health {
    state: State,
    /// Failures since the last success.
    failures: u32,
    /// Ejections since the last complete answer.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Ejected {
        since: Millis,
        until: Millis,
    },
    /// It was sent requests and sends nothing, or opens no connection.
    Silent {
        until: Millis,
    },
    Probing,
}

/// Severity of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// Ejects the replica if there are [`FAILURES_TO_EJECT`] in a row.
    Soft,
    /// The replica is unreachable or gone; ejects it at once.
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

    /// Returns how many requests may be in flight, or `None` if health does not restrict them.
    pub(super) fn max_in_flight(&self) -> Option<u32> {
        match self.state {
            State::Healthy => None,
            State::Probing => Some(1),
            State::Ejected { .. } | State::Silent { .. } => Some(0),
        }
    }

    /// Allows one probing request once the ejection has ended. A replica whose pause has ended gets
    /// work again, and is paused by its next silence.
    pub(super) fn advance(&mut self, now: Millis) {
        match self.state {
            State::Ejected { until, .. } if now >= until => self.state = State::Probing,
            State::Silent { until } if now >= until => {
                self.state = State::Healthy;
                self.failures = FAILURES_TO_EJECT - 1;
            }
            _ => {}
        }
    }

    /// Records a load report of time `as_of`. It ends an ejection early if the replica was alive
    /// more than [`MIN_EJECTION`] after the ejection began.
    pub(super) fn record_load_report(&mut self, as_of: Millis) {
        if let State::Ejected { since, .. } = self.state
            && as_of > since + MIN_EJECTION
        {
            self.state = State::Probing;
        }
    }

    /// Records a failure, which may eject the replica or prolong its ejection. Any failure ejects a
    /// probing replica; a paused one has sent something.
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

    /// Records that an attempt has got nothing for a while. [`FAILURES_TO_EJECT`] in a row pause the
    /// replica until it sends something.
    pub(super) fn record_silence(&mut self, now: Millis) {
        if matches!(self.state, State::Ejected { .. }) {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT || self.state == State::Probing {
            let until = now + SILENCE_PAUSE;
            self.state = State::Silent { until };
        }
    }

    /// Records that no connection was opened in time. The replica gets no work for a moment, and then a
    /// probing request.
    pub(super) fn record_unreached(&mut self, now: Millis) {
        if !matches!(self.state, State::Ejected { .. }) {
            let until = now + UNREACHED_PAUSE;
            self.state = State::Ejected { since: now, until };
        }
    }

    /// Records progress of an attempt; returns whether the replica has recovered by it.
    pub(super) fn record_progress(&mut self) -> bool {
        self.failures = 0;
        if matches!(self.state, State::Silent { .. }) {
            self.state = State::Healthy;
        }
        let recovered = self.state == State::Probing;
        if recovered {
            self.state = State::Healthy;
        }
        recovered
    }

    /// Records a complete answer, after which the next ejection is short again.
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
