use std::collections::BTreeMap;

use toucanchute_proto::{
    Incarnation,
    prepaid::{Account, Quorum},
};

use super::record;

/// What a takeover has found out since its claim about the witnesses of the previous owner.
#[derive(Clone, Debug, Default)]
pub(super) struct FenceProof {
    /// Marks of the witnesses that refuse the previous owner from now on.
    fenced: BTreeMap<Incarnation, u64>,
    /// Routers that answered a fence, by host. One router runs on a host at a time, so any other
    /// router that ran there when the record was written has ended.
    routers_by_host: BTreeMap<String, Incarnation>,
}

/// What a takeover derives the tokens spent by the previous owner from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverBasis {
    /// Enough witnesses refuse the previous owner: the highest mark that they kept.
    Marks,
    /// Enough witnesses refuse the previous owner or have ended: what the ramp allows by now.
    Ramp,
    /// The previous owner may be alive and still spend: the most that its record allows.
    RampMax,
    /// The record is of an older copy of the store and bounds nothing: the whole total.
    Total,
}

impl FenceProof {
    /// Records that a witness refuses the previous owner, and the mark that it kept.
    pub(super) fn record_fence(&mut self, witness: Incarnation, mark: u64) {
        self.fenced.insert(witness, mark);
    }

    /// Records that a router on `host` answered.
    pub(super) fn record_router(&mut self, host: &str, router: Incarnation) {
        self.routers_by_host.insert(host.to_owned(), router);
    }

    /// Whether a witness refuses the previous owner.
    pub(super) fn is_fenced(&self, witness: Incarnation) -> bool {
        self.fenced.contains_key(&witness)
    }

    /// Returns the highest mark that a fenced witness kept, at least `spent` and at most `drawn` of
    /// the record.
    pub(super) fn highest_mark(&self, account: &Account) -> u64 {
        let marks = self.fenced.values().copied();
        marks.fold(account.spent, u64::max).min(account.drawn)
    }

    /// Returns the basis that is proved so far, for a record with the witnesses of `quorum`.
    pub(super) fn basis(&self, quorum: &Quorum) -> TakeoverBasis {
        let needed = record::fences_needed(quorum);
        let ended = self.ended_witnesses(quorum);
        match self.fenced.len() {
            fenced if fenced >= needed => TakeoverBasis::Marks,
            fenced if fenced + ended >= needed => TakeoverBasis::Ramp,
            _ => TakeoverBasis::RampMax,
        }
    }

    /// Whether a witness may still answer: it is not fenced, and no other router is known to run on
    /// its host.
    pub(super) fn may_answer(&self, witness: Incarnation, host: &str) -> bool {
        !self.is_fenced(witness) && self.routers_by_host.get(host).is_none_or(|&r| r == witness)
    }

    fn ended_witnesses(&self, quorum: &Quorum) -> usize {
        let witnesses = quorum.witnesses.iter().zip(&quorum.hosts);
        let ended = |&(&witness, host): &(&Incarnation, &String)| {
            let answered = self.routers_by_host.get(host);
            !self.is_fenced(witness) && answered.is_some_and(|&r| r != witness)
        };
        witnesses.filter(ended).count()
    }
}
