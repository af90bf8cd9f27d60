use std::collections::BTreeMap;

use toucanchute_proto::{
    Incarnation,
    prepaid::{Account, Quorum},
};

use super::record;

/// What a takeover has learnt since its claim about the routers that let the previous owner spend.
#[derive(Clone, Debug, Default)]
pub(super) struct FenceProof {
    /// Marks of the witnesses that refuse the previous owner from now on.
    fenced: BTreeMap<Incarnation, u64>,
    /// Routers that answered, by host. Whatever ran there when the record was written, and is not
    /// the router that answered, has ended.
    routers_by_host: BTreeMap<String, Incarnation>,
}

/// What bounds the spending of the previous owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverBasis {
    /// Enough witnesses refuse it: the highest mark that they kept.
    Marks,
    /// Enough witnesses refuse it or have ended: the ramp up to now.
    Ramp,
    /// It may be alive and spend on: the most that its record allows.
    RampMax,
}

impl FenceProof {
    /// Takes in that a witness refuses the previous owner, and the mark that it kept.
    pub(super) fn record_fence(&mut self, witness: Incarnation, mark: u64) {
        self.fenced.insert(witness, mark);
    }

    /// Takes in that a router answered.
    pub(super) fn record_router(&mut self, host: &str, router: Incarnation) {
        self.routers_by_host.insert(host.to_owned(), router);
    }

    /// Whether a witness refuses the previous owner.
    pub(super) fn is_fenced(&self, witness: Incarnation) -> bool {
        self.fenced.contains_key(&witness)
    }

    /// Returns the highest mark that is known.
    pub(super) fn highest_mark(&self, account: &Account) -> u64 {
        let marks = self.fenced.values().copied();
        marks.fold(account.spent, u64::max).min(account.drawn)
    }

    /// Returns what bounds the previous owner, whose record names `quorum`.
    pub(super) fn basis(&self, quorum: &Quorum) -> TakeoverBasis {
        let needed = record::fences_needed(quorum);
        let ended = self.ended_witnesses(quorum);
        match self.fenced.len() {
            fenced if fenced >= needed => TakeoverBasis::Marks,
            fenced if fenced + ended >= needed => TakeoverBasis::Ramp,
            _ => TakeoverBasis::RampMax,
        }
    }

    /// Whether a witness may still have to be heard of.
    pub(super) fn may_answer(&self, witness: Incarnation, host: &str) -> bool {
        !self.is_fenced(witness) && self.routers_by_host.get(host).is_none_or(|&r| r == witness)
    }

    fn ended_witnesses(&self, quorum: &Quorum) -> usize {
        let witnesses = quorum.witnesses.iter().zip(&quorum.hosts);
        let ended = |&(&witness, host): &(&Incarnation, &String)| {
            let routers_by_host = self.routers_by_host.get(host);
            !self.is_fenced(witness) && routers_by_host.is_some_and(|&r| r != witness)
        };
        witnesses.filter(ended).count()
    }
}
