use std::collections::BTreeMap;

use toucanchute_core::prepaid::ClockSpread;
use toucanchute_proto::{Incarnation, Millis};

/// Other clocks from which on the fleet's spread is known.
const MIN_KNOWN_CLOCKS: usize = 3;

/// Clocks of the peers, as their frames tell them.
#[derive(Debug, Default)]
pub(super) struct PeerClocks {
    /// How far each is ahead of this router's, in milliseconds; too little by the time on the way.
    offsets_ms: BTreeMap<Incarnation, i64>,
}

impl PeerClocks {
    /// Takes in a peer's clock at `now`.
    pub(super) fn observe(&mut self, now: Millis, peer: Incarnation, steady_ms: u64) {
        if steady_ms > 0 {
            let offset_ms = steady_ms as i64 - now.0 as i64;
            self.offsets_ms.insert(peer, offset_ms);
        }
    }

    /// Forgets a peer.
    pub(super) fn remove(&mut self, peer: Incarnation) {
        self.offsets_ms.remove(&peer);
    }

    /// Returns how far the clocks are apart.
    pub(super) fn spread(&self) -> ClockSpread {
        let min_offset = self.offsets_ms.values().copied().min().unwrap_or(0).min(0);
        let max_offset = self.offsets_ms.values().copied().max().unwrap_or(0).max(0);
        ClockSpread {
            behind: Millis(min_offset.unsigned_abs()),
            ahead: Millis(max_offset.unsigned_abs()),
            few_clocks: self.offsets_ms.len() < MIN_KNOWN_CLOCKS,
        }
    }
}
