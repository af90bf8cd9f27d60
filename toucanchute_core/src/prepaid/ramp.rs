use toucanchute_proto::{Millis, prepaid::Account};

/// Time whose draw an owner may spend at once after a checkpoint.
const AHEAD_TIME: Millis = Millis(700);

/// Pace of the ramp, in percent of the current draw.
const PACE_PERCENT: u64 = 120;

/// Number of requests of mean size that may be spent at once, whatever the draw.
const AHEAD_REQUESTS: u64 = 2;

/// Divisor of the remaining tokens: the least that may be spent at once, for a budget without a
/// draw.
const IDLE_AHEAD_DIVISOR: u64 = 20;

/// Divisor of the remaining tokens: what may be spent at once before the draw is known.
const INITIAL_AHEAD_DIVISOR: u64 = 20;

/// Divisor of the remaining tokens: what may be spent per second before the draw is known.
const INITIAL_PACE_DIVISOR: u64 = 25;

/// Divisor of the remaining tokens: the most that may be spent at once for the sake of
/// [`AHEAD_REQUESTS`].
const REQUESTS_AHEAD_DIVISOR: u64 = 10;

/// Divisor of the remaining tokens: how far a ramp may rise beyond what requests wait for, until its
/// record is [`LATE_FROM`] old.
const RAMP_MAX_DIVISOR: u64 = 4;

/// Divisor of the remaining tokens: how far the ramp of an older record may rise. The rest remains even
/// if all routers end, however long they were without the store.
const LATE_RAMP_MAX_DIVISOR: u64 = 2;

/// Age of a record from which its ramp rises beyond a quarter. Records that were renewed until all routers
/// ended are taken over before that.
const LATE_FROM: Millis = Millis(6_000);

/// Time in which the late part of a ramp becomes available.
const LATE_RISE: Millis = Millis(1_000);

/// Longest time for which a ramp rises. A takeover counts the whole rise as spent if the owner may
/// be alive.
const RAMP_DURATION: Millis = Millis(30_000);

/// Uncertainty of a time span measured with two clocks of the fleet.
const CLOCK_ERROR: Millis = Millis(300);

/// Further uncertainty while too few other clocks are known.
const FEW_CLOCKS_ERROR: Millis = Millis(3_000);

/// How far the other clocks of the fleet differ from this router's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSpread {
    /// How far the slowest clock is behind.
    pub behind: Millis,
    /// How far the fastest clock is ahead.
    pub ahead: Millis,
    /// Whether only a few other clocks are known, so that the true spread may be greater.
    pub few_clocks: bool,
}

/// Tokens that an owner may spend as time passes without a further checkpoint.
///
/// The ramp lets the owner go on while the store is unavailable. A router that finds neither the
/// owner nor its witnesses derives from it how much they can have spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ramp {
    pub(super) ahead: u64,
    /// Tokens per second.
    pub(super) pace: u64,
}

impl Ramp {
    /// Returns a ramp for a draw of `rate` tokens per second in requests of `mean` tokens, from a
    /// budget with `left` tokens remaining.
    pub(super) fn new(rate: u64, mean: u64, left: u64) -> Ramp {
        let requests = (AHEAD_REQUESTS * mean).min(left / REQUESTS_AHEAD_DIVISOR);
        let least = left / IDLE_AHEAD_DIVISOR;
        Ramp {
            ahead: (rate * AHEAD_TIME.0 / 1_000)
                .max(requests)
                .max(least)
                .min(left / RAMP_MAX_DIVISOR),
            pace: rate * PACE_PERCENT / 100,
        }
    }

    /// Returns a ramp for a budget whose draw is not known, with `left` tokens remaining, while requests
    /// wait for `need` tokens.
    pub(super) fn initial(need: u64, left: u64) -> Ramp {
        let ahead = (left / INITIAL_AHEAD_DIVISOR).max(2 * need);
        Ramp {
            ahead: ahead.min(left / RAMP_MAX_DIVISOR).max(need).min(left),
            pace: left / INITIAL_PACE_DIVISOR,
        }
    }
}

/// The most that may be spent under a record, however old it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RampMax {
    pub(super) drawn: u64,
    /// Part of `drawn` that may be spent only under a record that has not been renewed for long.
    pub(super) late: u64,
}

/// Returns the most that may be spent under a record with `spent` of `limit` tokens spent, `ahead`
/// tokens at once and `pace` tokens per second.
pub(super) fn ramp_max(limit: u64, spent: u64, ahead: u64, pace: u64) -> RampMax {
    let left = limit.saturating_sub(spent);
    let risen = ahead.saturating_add(pace.saturating_mul(RAMP_DURATION.0) / 1_000);
    let early = risen.min(left / RAMP_MAX_DIVISOR).max(ahead);
    let most = risen.min(left / LATE_RAMP_MAX_DIVISOR).max(early);
    RampMax {
        drawn: spent + most,
        late: most - early,
    }
}

/// Returns the most that can have been spent from an account when its record is `since` old.
pub(super) fn ramp_at(account: &Account, since: Millis) -> u64 {
    let ramp = account.pace.saturating_mul(since.0) / 1_000;
    let at_once = account.spent.saturating_add(account.ahead);
    at_once.saturating_add(ramp).min(ramp_end(account, since))
}

/// Returns the value above which the ramp of a record that is `since` old does not rise, whatever its
/// pace.
pub(super) fn ramp_end(account: &Account, since: Millis) -> u64 {
    account.drawn.saturating_sub(late_left(account, since))
}

/// Returns the tokens of the late part of a ramp that may not be spent yet when the record is `since`
/// old.
fn late_left(account: &Account, since: Millis) -> u64 {
    let late = account.late.unwrap_or(0);
    let risen = since.since(LATE_FROM).min(LATE_RISE);
    let part = u128::from(late) * u128::from(risen.0) / u128::from(LATE_RISE.0);
    late.saturating_sub(u64::try_from(part).unwrap_or(late))
}

impl ClockSpread {
    /// Returns the time to write into a record: `now` on the slowest clock of the fleet.
    pub(super) fn earliest(self, now: Millis) -> Millis {
        now - self.behind
    }

    /// Returns the longest time that can have passed since a record was written.
    pub(super) fn max_elapsed(self, now: Millis, account: &Account) -> Millis {
        let uncertainty = match self.few_clocks {
            true => FEW_CLOCKS_ERROR,
            false => Millis(0),
        };
        (now + self.ahead + CLOCK_ERROR + uncertainty).since(account.at)
    }
}
