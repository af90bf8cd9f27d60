use std::collections::BTreeMap;

use toucanchute_proto::{Incarnation, Millis, prepaid::Quorum};

/// Pause before a witness that does not answer is requested again.
const RESEND_INTERVAL: Millis = Millis(100);

/// High-water marks that an owner has requested its witnesses to keep.
#[derive(Clone, Debug, Default)]
pub(super) struct Marks {
    /// Mark that a quorum acknowledged to the previous owner, who handed the account over.
    inherited: Option<(Quorum, u64)>,
    /// Highest mark that each witness acknowledged.
    acked: BTreeMap<Incarnation, u64>,
    /// Highest mark that each witness was requested to keep, and when.
    requested: BTreeMap<Incarnation, (u64, Millis)>,
    /// Highest mark that any witness was requested to keep or that was inherited.
    highest: u64,
}

impl Marks {
    /// Creates marks of which one is in force.
    pub(super) fn inherit(quorum: Quorum, mark: u64) -> Marks {
        Marks {
            inherited: Some((quorum, mark)),
            highest: mark,
            ..Marks::default()
        }
    }

    /// Returns the mark that enough witnesses of `quorum` acknowledged; 0 if none.
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

    /// Returns the highest mark that may come into force.
    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    /// Takes in an acknowledgement.
    pub(super) fn ack(&mut self, witness: Incarnation, mark: u64) {
        let acked = self.acked.entry(witness).or_default();
        *acked = mark.max(*acked);
    }

    /// Whether `witness` has to be requested to keep `mark` now; notes that it is.
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
