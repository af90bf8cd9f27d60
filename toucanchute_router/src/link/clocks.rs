use std::collections::BTreeMap;

use toucanchute_core::prepaid::ClockSpread;
use toucanchute_proto::{Incarnation, Millis};

/// Number of other clocks that have to be known before their spread represents the fleet's.
const MIN_KNOWN_CLOCKS: usize = 3;

/// Offsets of the peers' clocks, from the times in their frames.
#[derive(Debug, Default)]
pub(super) struct PeerClocks {
    /// How far each clock is ahead of this router's clock, in milliseconds. The value is too small
    /// by the transmission time of the frame.
    offsets_ms: BTreeMap<Incarnation, i64>,
}

impl PeerClocks {
    /// Records a peer's clock, `steady_ms` in a frame that arrived at `now`; 0 is ignored.
    pub(super) fn observe(&mut self, now: Millis, peer: Incarnation, steady_ms: u64) {
        if steady_ms > 0 {
            let offset_ms = steady_ms as i64 - now.0 as i64;
            self.offsets_ms.insert(peer, offset_ms);
        }
    }

    /// Removes the clock of a peer.
    pub(super) fn remove(&mut self, peer: Incarnation) {
        self.offsets_ms.remove(&peer);
    }

    /// Returns how far the peers' clocks differ from this router's clock.
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
