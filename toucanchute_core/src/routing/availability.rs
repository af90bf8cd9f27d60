use toucanchute_proto::Millis;

/// Whether a replica may get work, and if not, why. Where several apply, the first one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It is not configured or was withdrawn.
    Withdrawn,
    /// It said that it leaves; that does not change any more.
    Leaving,
    /// It asked for rest until then.
    Resting(Millis),
    /// It failed and is left alone for a while.
    Ejected,
    /// It has as many requests as it may have now.
    Full,
    /// It takes one more request.
    Open,
}

/// Rest that a replica asked this router for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Rest {
    /// None, or it is over and the replica answered since.
    #[default]
    None,
    /// It gets nothing until then.
    Until(Millis),
    /// The rest is over; it gets one request at a time until it answers one.
    Over,
}

impl Rest {
    /// Takes in that rest is asked for until `until`; a longer one stays.
    pub(super) fn ask(&mut self, until: Millis) {
        *self = match *self {
            Rest::Until(old) => Rest::Until(old.max(until)),
            Rest::None | Rest::Over => Rest::Until(until),
        };
    }

    /// Returns the time left of a rest.
    pub(super) fn left(self, now: Millis) -> Option<Millis> {
        match self {
            Rest::Until(until) if until > now => Some(until.since(now)),
            _ => None,
        }
    }

    /// Takes in that time passed; returns whether the rest has just ended.
    pub(super) fn advance(&mut self, now: Millis) -> bool {
        let over = matches!(*self, Rest::Until(until) if until <= now);
        if over {
            *self = Rest::Over;
        }
        over
    }

    /// Takes in that the replica served a request.
    pub(super) fn served(&mut self) {
        if *self == Rest::Over {
            *self = Rest::None;
        }
    }
}
