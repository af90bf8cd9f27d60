use std::collections::BTreeMap;

use toucanchute_proto::{Incarnation, Millis, prepaid::Quorum};

/// Pause before a mark is sent again to a witness that has not answered.
const RESEND_INTERVAL: Millis = Millis(100);

/// High-water marks that an owner has requested from its witnesses.
#[derive(Clone, Debug, Default)]
pub(super) struct Marks {
    /// Mark that a quorum acknowledged to the previous owner, which handed the account over.
    inherited: Option<(Quorum, u64)>,
    /// Highest mark that each witness acknowledged.
    acked: BTreeMap<Incarnation, u64>,
    /// Highest mark requested from each witness, and when.
    requested: BTreeMap<Incarnation, (u64, Millis)>,
    /// Highest mark that was requested from any witness or was inherited.
    highest: u64,
}

impl Marks {
    /// Creates the marks of an account that was handed over with a mark acknowledged by `quorum`.
    pub(super) fn inherit(quorum: Quorum, mark: u64) -> Marks {
        Marks {
            inherited: Some((quorum, mark)),
            highest: mark,
            ..Marks::default()
        }
    }

    /// Returns the highest mark that enough witnesses of `quorum` have acknowledged; 0 if there is
    /// none. A quorum that needs no acknowledgement sets no bound.
    pub(super) fn effective(&self, quorum: &Quorum) -> u64 {
        let acks = quorum.acks as usize;
        if acks == 0 {
            return u64::MAX;
        }
        let acked = quorum.witnesses.iter().filter_map(|w| self.acked.get(w));
        let mut acked: Vec<u64> = acked.copied().collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let mark = acked.get(acks - 1).copied().unwrap_or(0);
        match &self.inherited {
            Some((q, inherited)) if q == quorum => mark.max(*inherited),
            _ => mark,
        }
    }

    /// Returns the highest mark that may be acknowledged.
    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    /// Records an acknowledgement.
    pub(super) fn ack(&mut self, witness: Incarnation, mark: u64) {
        let acked = self.acked.entry(witness).or_default();
        *acked = mark.max(*acked);
    }

    /// Returns whether `mark` has to be requested from `witness` now although it may have acknowledged
    /// it before, and if so records the request.
    pub(super) fn request_again_if_due(
        &mut self,
        now: Millis,
        witness: Incarnation,
        mark: u64,
    ) -> bool {
        let requested = self.requested.get(&witness);
        let recent = requested.is_some_and(|&(_, at)| now.since(at) < RESEND_INTERVAL);
        if !recent {
            self.requested.insert(witness, (mark, now));
            self.highest = self.highest.max(mark);
        }
        !recent
    }

    /// Returns whether `mark` has to be requested from `witness` now, and if so records the
    /// request.
    pub(super) fn request_if_due(&mut self, now: Millis, witness: Incarnation, mark: u64) -> bool {
        if self.acked.get(&witness).is_some_and(|&m| m >= mark) {
            return false;
        }
        let requested = self.requested.get(&witness);
        let recent = requested.is_some_and(|&(m, at)| m >= mark && now.since(at) < RESEND_INTERVAL);
        if !recent {
            self.requested.insert(witness, (mark, now));
            self.highest = self.highest.max(mark);
        }
        !recent
    }
}
