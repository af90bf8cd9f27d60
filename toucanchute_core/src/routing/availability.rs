use toucanchute_proto::Millis;

/// Whether a replica may get work, and if not, why. If several reasons apply, the first in this
/// order counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It is not configured or was withdrawn.
    Withdrawn,
    /// It announced that it is leaving, which is final.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It asked for a backoff until this time.
    BackingOff(Millis),
    /// It failed and gets no work for a while.
    Ejected,
    /// It has reached its present limit of requests.
    Full,
    /// It named a rate limit, and its issuer grants no permit before this time.
    RateLimited(Millis),
    /// It can take at least one more request.
    Open,
}

/// Backoff that a replica asked this router for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Backoff {
    /// No backoff, or the last one has ended and the replica has answered since.
    #[default]
    None,
    /// The replica gets no requests until this time.
    Until(Millis),
    /// The backoff has ended; the replica gets one request at a time until it answers one.
    Probing,
}

impl Backoff {
    /// Extends the backoff to `until`. A backoff that already lasts longer is unchanged.
    pub(super) fn extend(&mut self, until: Millis) {
        *self = match *self {
            Backoff::Until(old) => Backoff::Until(old.max(until)),
            Backoff::None | Backoff::Probing => Backoff::Until(until),
        };
    }

    /// Returns the remaining time of the backoff, if any.
    pub(super) fn remaining(self, now: Millis) -> Option<Millis> {
        match self {
            Backoff::Until(until) if until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Ends the backoff if its time has passed; returns whether it has just ended.
    pub(super) fn advance(&mut self, now: Millis) -> bool {
        let ended = matches!(*self, Backoff::Until(until) if until <= now);
        if ended {
            *self = Backoff::Probing;
        }
        ended
    }

    /// Records that the replica served a request, which ends the probing after a backoff.
    pub(super) fn record_served(&mut self) {
        if *self == Backoff::Probing {
            *self = Backoff::None;
        }
    }
}
