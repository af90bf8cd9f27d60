use toucanchute_proto::{Millis, prepaid::Account};

/// Draw that an owner may spend at once after a checkpoint.
const AHEAD_TIME: Millis = Millis(700);

/// Pace of the ramp as a multiple of the present draw, in hundredths.
const PACE_PERCENT: u64 = 120;

/// Requests of mean size that fit ahead whatever the draw.
const AHEAD_REQUESTS: u64 = 2;

/// Share of what is left that is ahead for a budget that nobody draws on.
const IDLE_AHEAD_DIVISOR: u64 = 20;

/// Share of what is left that such requests may take.
const REQUESTS_AHEAD_DIVISOR: u64 = 10;

/// Share of what is left that a ramp may reach. The rest outlasts the end of all routers, however long
/// they were without the store.
const RAMP_MAX_DIVISOR: u64 = 2;

/// Longest time for which a ramp rises. A takeover counts all of it where the owner may be alive.
const RAMP_DURATION: Millis = Millis(30_000);

/// Uncertainty of elapsed time between two clocks of the fleet.
const CLOCK_ERROR: Millis = Millis(300);

/// Further uncertainty while too few other clocks are known.
const FEW_CLOCKS_ERROR: Millis = Millis(3_000);

/// How far the clocks of the fleet are apart from this router's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSpread {
    /// How far the slowest one is behind.
    pub behind: Millis,
    /// How far the fastest one is ahead.
    pub ahead: Millis,
    /// Whether few other clocks are known.
    pub few_clocks: bool,
}

/// What an owner may spend as time passes without a further checkpoint.
///
/// It lets the owner go on while the store is away, and lets a router that finds neither owner nor
/// witnesses tell how much they can have spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ramp {
    pub(super) ahead: u64,
    /// Tokens a second.
    pub(super) pace: u64,
}

impl Ramp {
    /// Returns a ramp for a draw of `rate` tokens a second in requests of `mean` tokens, of a budget
    /// with `left` tokens.
    pub(super) fn new(rate: u64, mean: u64, left: u64) -> Ramp {
        let requests = (AHEAD_REQUESTS * mean).min(left / REQUESTS_AHEAD_DIVISOR);
        let least = left / IDLE_AHEAD_DIVISOR;
        Ramp {
            ahead: (rate * AHEAD_TIME.0 / 1_000)
                .max(requests)
                .max(least)
                .min(left),
            pace: rate * PACE_PERCENT / 100,
        }
    }
}

/// Returns the most that may be spent under a record with `spent` of `limit` tokens, `ahead` at once
/// and `pace` tokens a second.
pub(super) fn ramp_max(limit: u64, spent: u64, ahead: u64, pace: u64) -> u64 {
    let left = limit.saturating_sub(spent);
    let risen = ahead.saturating_add(pace.saturating_mul(RAMP_DURATION.0) / 1_000);
    spent + risen.min(left / RAMP_MAX_DIVISOR).max(ahead)
}

/// Returns what may have been spent of an account `since` its record was written.
pub(super) fn ramp_at(account: &Account, since: Millis) -> u64 {
    let ramp = account.pace.saturating_mul(since.0) / 1_000;
    let reach = account.spent.saturating_add(account.ahead);
    reach.saturating_add(ramp).min(account.drawn)
}

impl ClockSpread {
    /// Returns the time to write into a record.
    pub(super) fn earliest(self, now: Millis) -> Millis {
        now - self.behind
    }

    /// Returns the longest time that can have passed since a record was written.
    pub(super) fn max_elapsed(self, now: Millis, account: &Account) -> Millis {
        let few_clocks = match self.few_clocks {
            true => FEW_CLOCKS_ERROR,
            false => Millis(0),
        };
        (now + self.ahead + CLOCK_ERROR + few_clocks).since(account.at)
    }
}
