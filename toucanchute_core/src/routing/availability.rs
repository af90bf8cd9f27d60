use toucanchute_proto::Millis;

/// Whether a replica may get work, and if not, why. Where several apply, the first one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It is not configured or was withdrawn.
    Withdrawn,
    /// It said that it leaves; that does not change any more.
    Leaving,
    /// It asked for rest until then.
    BackingOff(Millis),
    /// It failed and is left alone for a while.
    Ejected,
    /// It has as many requests as it may have now.
    Full,
    /// It takes one more request.
    Open,
}

/// Rest that a replica asked this router for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Backoff {
    /// None, or it is ended and the replica answered since.
    #[default]
    None,
    /// It gets nothing until then.
    Until(Millis),
    /// The rest is ended; it gets one request at a time until it answers one.
    Probing,
}

impl Backoff {
    /// Takes in that rest is asked for until `until`; a longer one stays.
    pub(super) fn extend(&mut self, until: Millis) {
        *self = match *self {
            Backoff::Until(old) => Backoff::Until(old.max(until)),
            Backoff::None | Backoff::Probing => Backoff::Until(until),
        };
    }

    /// Returns the time left of a rest.
    pub(super) fn remaining(self, now: Millis) -> Option<Millis> {
        match self {
            Backoff::Until(until) if until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Takes in that time passed; returns whether the rest has just ended.
    pub(super) fn advance(&mut self, now: Millis) -> bool {
        let ended = matches!(*self, Backoff::Until(until) if until <= now);
        if ended {
            *self = Backoff::Probing;
        }
        ended
    }

    /// Takes in that the replica served a request.
    pub(super) fn record_served(&mut self) {
        if *self == Backoff::Probing {
            *self = Backoff::None;
        }
    }
}
