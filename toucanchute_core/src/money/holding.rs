use std::collections::{BTreeMap, VecDeque};

use toucanchute_proto::{
    BudgetId, Digest, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Backing, Entry},
};

use super::CallId;

/// Span over which a budget's draw rate is averaged.
const RATE_WINDOW: Millis = Millis(10_000);

/// A grant of this router.
#[derive(Clone, Debug)]
pub(super) struct HeldGrant {
    pub(super) budget: BudgetId,
    /// Tokens that no debit known to be committed has taken; never above the ledger's remainder.
    pub(super) remainder: u64,
    /// Part of `remainder` that reservations and debits in flight have taken.
    pub(super) reserved: u64,
    pub(super) backing: Backing,
    /// Returns that are committed.
    pub(super) returns: u64,
    /// Whether a return is in flight; there is one at a time.
    pub(super) returning: bool,
    /// Transfer that opened the grant, while the ledger may lack it.
    pub(super) origin: Option<Entry>,
}

impl HeldGrant {
    pub(super) fn available(&self) -> u64 {
        self.remainder.saturating_sub(self.reserved)
    }
}

/// What this router holds and is asked for of one budget.
#[derive(Clone, Debug, Default)]
pub(super) struct Holding {
    /// Tokens reserved a millisecond, averaged over [`RATE_WINDOW`].
    pub(super) rate: f64,
    /// Time to which `rate` has decayed.
    pub(super) rate_at: Millis,
    pub(super) last_draw: Millis,
    /// Calls that wait for tokens, oldest first.
    pub(super) waiting: VecDeque<Waiting>,
    /// Grant request in flight, and since when.
    pub(super) request: Option<(EntryId, Millis)>,
    /// Time before which no grant is asked for in advance.
    pub(super) next_advance: Millis,
    /// The last refusal of a grant: when, and the fewest tokens asked for.
    pub(super) refused: Option<(Millis, u64)>,
    /// Round of asking peers for transfers.
    pub(super) round: Option<Round>,
    /// Greatest amount that a peer kept for itself when it declined.
    pub(super) best_peer: Option<(u64, Incarnation)>,
    /// When peers last had nothing to give.
    pub(super) declined: Option<Millis>,
}

impl Holding {
    /// Adds a draw to the rate.
    pub(super) fn draw(&mut self, now: Millis, tokens: u64) {
        self.decay(now);
        self.rate += tokens as f64 / RATE_WINDOW.0 as f64;
        self.last_draw = now;
    }

    /// Lets the rate decay to `now`.
    pub(super) fn decay(&mut self, now: Millis) {
        let passed = now.since(self.rate_at).0 as f64;
        self.rate *= (-passed / RATE_WINDOW.0 as f64).exp();
        self.rate_at = now;
    }

    /// Returns the tokens that the present rate draws in `span`.
    pub(super) fn expected_draw(&self, span: Millis) -> u64 {
        (self.rate * span.0 as f64) as u64
    }

    /// Returns the tokens that the first call in the queue needs.
    pub(super) fn need(&self) -> u64 {
        self.waiting.front().map_or(0, |w| w.tokens)
    }
}

/// A round of asking peers for transfers, a few at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct Round {
    /// Peers that were not asked yet.
    pub(super) peers: Vec<Incarnation>,
    /// Transfers asked for and not answered, and when they were asked for.
    pub(super) open: BTreeMap<GrantId, Millis>,
}

/// A call that waits for tokens.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) call: CallId,
    pub(super) kind: WaitingKind,
    pub(super) key: RequestKey,
    pub(super) digest: Digest,
    pub(super) tokens: u64,
    pub(super) expires: Millis,
    pub(super) deadline: Millis,
    /// Time at which the call is refused.
    pub(super) until: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitingKind {
    Reserve,
    Intend,
}

/// Tokens set aside for one request.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) budget: BudgetId,
    pub(super) grant: GrantId,
    pub(super) key: RequestKey,
    pub(super) digest: Digest,
    pub(super) tokens: u64,
    pub(super) expires: Millis,
}
