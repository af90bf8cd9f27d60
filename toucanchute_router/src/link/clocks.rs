use std::collections::BTreeMap;

use toucanchute_core::prepaid::ClockSpread;
use toucanchute_proto::{Incarnation, Millis};

/// Other clocks from which on the fleet's spread is known.
const MANY_CLOCKS: usize = 3;

/// Clocks of the peers, as their frames tell them.
#[derive(Debug, Default)]
pub(super) struct Clocks {
    /// How far each is ahead of this router's, in milliseconds; too little by the time on the way.
    offsets: BTreeMap<Incarnation, i64>,
}

impl Clocks {
    /// Takes in a peer's clock at `now`.
    pub(super) fn observe(&mut self, now: Millis, peer: Incarnation, steady_ms: u64) {
        if steady_ms > 0 {
            let offset = steady_ms as i64 - now.0 as i64;
            self.offsets.insert(peer, offset);
        }
    }

    /// Forgets a peer.
    pub(super) fn forget(&mut self, peer: Incarnation) {
        self.offsets.remove(&peer);
    }

    /// Returns how far the clocks are apart.
    pub(super) fn spread(&self) -> ClockSpread {
        let least = self.offsets.values().copied().min().unwrap_or(0).min(0);
        let most = self.offsets.values().copied().max().unwrap_or(0).max(0);
        ClockSpread {
            behind: Millis(least.unsigned_abs()),
            ahead: Millis(most.unsigned_abs()),
            few_clocks: self.offsets.len() < MANY_CLOCKS,
        }
    }
}
