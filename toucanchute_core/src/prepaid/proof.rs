use std::collections::BTreeMap;

use toucanchute_proto::{
    Incarnation,
    prepaid::{Account, Quorum},
};

use super::record;

/// What a takeover has learnt since its claim about the routers that let the previous owner spend.
#[derive(Clone, Debug, Default)]
pub(super) struct Proof {
    /// Marks of the witnesses that refuse the previous owner from now on.
    fenced: BTreeMap<Incarnation, u64>,
    /// Routers that answered, by host. Whatever ran there when the record was written, and is not
    /// the router that answered, has ended.
    met: BTreeMap<String, Incarnation>,
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

impl Proof {
    /// Takes in that a witness refuses the previous owner, and the mark that it kept.
    pub(super) fn fence(&mut self, witness: Incarnation, mark: u64) {
        self.fenced.insert(witness, mark);
    }

    /// Takes in that a router answered.
    pub(super) fn meet(&mut self, host: &str, router: Incarnation) {
        self.met.insert(host.to_owned(), router);
    }

    /// Whether a witness refuses the previous owner.
    pub(super) fn is_fenced(&self, witness: Incarnation) -> bool {
        self.fenced.contains_key(&witness)
    }

    /// Returns the highest mark that is known.
    pub(super) fn highest(&self, account: &Account) -> u64 {
        let marks = self.fenced.values().copied();
        marks.fold(account.spent, u64::max).min(account.drawn)
    }

    /// Returns what bounds the previous owner, whose record names `quorum`.
    pub(super) fn basis(&self, quorum: &Quorum) -> TakeoverBasis {
        let needed = record::fences_needed(quorum);
        let ended = self.ended(quorum);
        match self.fenced.len() {
            fenced if fenced >= needed => TakeoverBasis::Marks,
            fenced if fenced + ended >= needed => TakeoverBasis::Ramp,
            _ => TakeoverBasis::RampMax,
        }
    }

    /// Whether a witness may still have to be heard of.
    pub(super) fn is_open(&self, witness: Incarnation, host: &str) -> bool {
        !self.is_fenced(witness) && self.met.get(host).is_none_or(|&r| r == witness)
    }

    fn ended(&self, quorum: &Quorum) -> usize {
        let witnesses = quorum.witnesses.iter().zip(&quorum.hosts);
        let ended = |&(&witness, host): &(&Incarnation, &String)| {
            let met = self.met.get(host);
            !self.is_fenced(witness) && met.is_some_and(|&r| r != witness)
        };
        witnesses.filter(ended).count()
    }
}
