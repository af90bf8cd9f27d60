use std::collections::{BTreeMap, VecDeque};

use toucanchute_proto::{
    BudgetId, Digest, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{Backing, Entry},
};

use super::CallId;

/// Time constant of the moving average of a budget's draw rate.
const RATE_WINDOW: Millis = Millis(10_000);

/// A grant that this router holds.
#[derive(Clone, Debug)]
pub(super) struct HeldGrant {
    pub(super) budget: BudgetId,
    /// Tokens left after the debits that are known to be committed. Never more than the ledger's
    /// remainder of the grant.
    pub(super) remainder: u64,
    /// Part of `remainder` that belongs to reservations and debits in flight.
    pub(super) reserved: u64,
    pub(super) backing: Backing,
    /// Number of committed returns.
    pub(super) committed_returns: u64,
    /// Whether a return is in flight. At most one is at a time.
    pub(super) return_in_flight: bool,
    /// The transfer that opened the grant, as long as it is not known to be committed.
    pub(super) uncommitted_origin: Option<Entry>,
}

impl HeldGrant {
    pub(super) fn available(&self) -> u64 {
        self.remainder.saturating_sub(self.reserved)
    }
}

/// Demand for one budget on this router, and the requests for tokens that cover it.
#[derive(Clone, Debug, Default)]
pub(super) struct BudgetState {
    /// Tokens requested per millisecond, averaged over [`RATE_WINDOW`].
    pub(super) draw_rate: f64,
    /// Time up to which the decay of `draw_rate` is computed.
    pub(super) rate_updated_at: Millis,
    pub(super) last_draw: Millis,
    /// Calls that wait for tokens, oldest first.
    pub(super) waiting: VecDeque<WaitingCall>,
    /// The entry of the grant request in flight, and when it was proposed.
    pub(super) grant_request: Option<(EntryId, Millis)>,
    /// Time before which no grant is requested ahead of demand.
    pub(super) next_prefetch_at: Millis,
    /// The last refusal of a grant: its time, and the smallest amount that was refused.
    pub(super) last_refusal: Option<(Millis, u64)>,
    /// The round of transfer requests in progress, if any.
    pub(super) round: Option<TransferRound>,
    /// The largest amount of available tokens that a declining peer reported, and that peer.
    pub(super) best_peer: Option<(u64, Incarnation)>,
    /// When the last round of transfer requests ended without enough tokens for the oldest call.
    pub(super) peers_declined_at: Option<Millis>,
}

impl BudgetState {
    /// Adds a request for tokens to the draw rate.
    pub(super) fn record_draw(&mut self, now: Millis, tokens: u64) {
        self.decay_rate(now);
        self.draw_rate += tokens as f64 / RATE_WINDOW.0 as f64;
        self.last_draw = now;
    }

    /// Applies the exponential decay of the draw rate up to `now`.
    pub(super) fn decay_rate(&mut self, now: Millis) {
        let passed = now.since(self.rate_updated_at).0 as f64;
        self.draw_rate *= (-passed / RATE_WINDOW.0 as f64).exp();
        self.rate_updated_at = now;
    }

    /// Returns the tokens that are drawn in `span` at the current rate.
    pub(super) fn expected_draw(&self, span: Millis) -> u64 {
        (self.draw_rate * span.0 as f64) as u64
    }

    /// Returns the tokens that the oldest waiting call needs, or 0 if no call waits.
    pub(super) fn tokens_needed(&self) -> u64 {
        self.waiting.front().map_or(0, |w| w.tokens)
    }
}

/// A round of transfer requests to all peers, a few peers at a time.
#[derive(Clone, Debug, Default)]
pub(super) struct TransferRound {
    /// Peers to which no request was sent yet.
    pub(super) remaining_peers: Vec<Incarnation>,
    /// Requests without an answer, by the grant that the transfer would open, with the time at
    /// which they were sent.
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
    /// Time at which the call is refused if it still waits.
    pub(super) refuse_at: Millis,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Reserve,
    Intent,
}

/// Tokens reserved for one request.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) budget: BudgetId,
    pub(super) grant: GrantId,
    pub(super) key: RequestKey,
    pub(super) digest: Digest,
    pub(super) tokens: u64,
    pub(super) expires: Millis,
}
