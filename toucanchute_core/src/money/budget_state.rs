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
    pub(super) committed_returns: u64,
    /// Whether a return is in flight; there is one at a time.
    pub(super) return_in_flight: bool,
    /// Transfer that opened the grant, while the ledger may lack it.
    pub(super) uncommitted_origin: Option<Entry>,
}

impl HeldGrant {
    pub(super) fn available(&self) -> u64 {
        self.remainder.saturating_sub(self.reserved)
    }
}

/// What this router holds and is asked for of one budget.
#[derive(Clone, Debug, Default)]
pub(super) struct BudgetState {
    /// Tokens reserved a millisecond, averaged over [`RATE_WINDOW`].
    pub(super) draw_rate: f64,
    /// Time to which `rate` has decayed.
    pub(super) rate_updated_at: Millis,
    pub(super) last_draw: Millis,
    /// Calls that wait for tokens, oldest first.
    pub(super) waiting: VecDeque<WaitingCall>,
    /// Grant request in flight, and since when.
    pub(super) grant_request: Option<(EntryId, Millis)>,
    /// Time before which no grant is asked for in advance.
    pub(super) next_prefetch_at: Millis,
    /// The last refusal of a grant: when, and the fewest tokens asked for.
    pub(super) last_refusal: Option<(Millis, u64)>,
    /// Round of asking peers for transfers.
    pub(super) round: Option<TransferRound>,
    /// Greatest amount that a peer kept for itself when it declined.
    pub(super) best_peer: Option<(u64, Incarnation)>,
    /// When peers last had nothing to give.
    pub(super) peers_declined_at: Option<Millis>,
}

impl BudgetState {
    /// Adds a draw to the rate.
    pub(super) fn record_draw(&mut self, now: Millis, tokens: u64) {
        self.decay_rate(now);
        self.draw_rate += tokens as f64 / RATE_WINDOW.0 as f64;
        self.last_draw = now;
    }

    /// Lets the rate decay to `now`.
    pub(super) fn decay_rate(&mut self, now: Millis) {
        let passed = now.since(self.rate_updated_at).0 as f64;
        self.draw_rate *= (-passed / RATE_WINDOW.0 as f64).exp();
        self.rate_updated_at = now;
    }

    /// Returns the tokens that the present rate draws in `span`.
    pub(super) fn expected_draw(&self, span: Millis) -> u64 {
        (self.draw_rate * span.0 as f64) as u64
    }

    /// Returns the tokens that the first call in the queue needs.
    pub(super) fn tokens_needed(&self) -> u64 {
        self.waiting.front().map_or(0, |w| w.tokens)
    }
}

/// A round of asking peers for transfers, a few at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct TransferRound {
    /// Peers that were not asked yet.
    pub(super) remaining_peers: Vec<Incarnation>,
    /// Transfers asked for and not answered, and when they were asked for.
    pub(super) unanswered: BTreeMap<GrantId, Millis>,
}

/// A call that waits for tokens.
#[derive(Clone, Debug)]
pub(super) struct WaitingCall {
    pub(super) call: CallId,
    pub(super) kind: CallKind,
    pub(super) key: RequestKey,
    pub(super) digest: Digest,
    pub(super) tokens: u64,
    pub(super) expires: Millis,
    pub(super) deadline: Millis,
    /// Time at which the call is refused.
    pub(super) refuse_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Reserve,
    Intent,
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
