use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{Account, AccountFenced, FenceAccount, PrepaidMessage, Quorum},
};

use super::{
    Action, Fault, Peer, PrepaidAccounts, TakeoverBasis,
    machine::first_term,
    proof::Proof,
    ramp::reach,
    record,
    takeover::{PROOF_WAIT, Step, Takeover},
};

/// Time for witnesses that can be reached to answer a fence.
const FENCE_WAIT: Millis = Millis(300);

/// Pause before a witness is asked again.
const FENCE_RESEND: Millis = Millis(100);

/// Learning how far the previous owner can have spent.
impl PrepaidAccounts {
    pub(super) fn start_fencing(
        &mut self,
        budget: BudgetId,
        claim: Account,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let mut proof = Proof::default();
        let term = first_term(claim.epoch);
        let (_, mark) = self.keeper.fence(budget, term);
        proof.meet(&self.cfg.host, self.me());
        if claim.quorum.witnesses.contains(&self.me()) {
            proof.fence(self.me(), mark);
        }
        self.set_step(
            budget,
            Step::Fencing {
                claim,
                revision,
                proof,
                since: now,
                asked_at: Millis(0),
            },
        );
        self.ask_fences(budget, out);
        self.open_if_fenced(budget, out);
    }

    /// Asks witnesses, and routers that run on their hosts now.
    pub(super) fn ask_fences(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(Takeover {
            step:
                Step::Fencing {
                    claim,
                    proof,
                    asked_at,
                    ..
                },
            ..
        }) = self.takeovers.get_mut(&budget)
        else {
            return;
        };
        if now.since(*asked_at) < FENCE_RESEND {
            return;
        }
        *asked_at = now;
        let term = first_term(claim.epoch);
        let witnesses = claim.quorum.witnesses.iter().zip(&claim.quorum.hosts);
        for (&witness, host) in witnesses.filter(|(w, host)| proof.is_open(**w, host)) {
            let there = self.peers.values().filter(|p| p.host == *host);
            let mut asked: Vec<_> = there.map(|p| p.incarnation).collect();
            if !asked.contains(&witness) {
                asked.push(witness);
            }
            for to in asked {
                let message = PrepaidMessage::Fence(FenceAccount { budget, term });
                out.push(Action::Send { to, message });
            }
        }
    }

    pub(super) fn on_fenced(
        &mut self,
        from: Incarnation,
        body: &AccountFenced,
        out: &mut Vec<Action>,
    ) {
        let budget = body.budget;
        let Some(Takeover {
            step: Step::Fencing { claim, proof, .. },
            ..
        }) = self.takeovers.get_mut(&budget)
        else {
            return;
        };
        if body.term.epoch > claim.epoch {
            return self.read_record(budget, out);
        }
        if body.term.epoch < claim.epoch {
            return;
        }
        if claim.quorum.witnesses.contains(&from) {
            proof.fence(from, body.mark);
        }
        if let Some(peer) = self.peers.get(&from) {
            proof.meet(&peer.host, from);
        }
        self.open_if_fenced(budget, out);
    }

    /// Begins to spend once it is known how far the previous owner can have spent, or once it has
    /// waited long enough for proof.
    pub(super) fn open_if_fenced(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, clocks) = (self.now, self.clocks);
        let skip = self.has(Fault::SkipFence);
        let (peers, trusting) = (&self.peers, self.has(Fault::TrustSilence));
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let Step::Fencing {
            claim,
            revision,
            proof,
            since,
            ..
        } = &takeover.step
        else {
            return;
        };
        let young = now.since(*since) < FENCE_WAIT;
        let first = takeover.rests.map_or(*since, |(_, at)| at);
        let basis = match proof.basis(&claim.quorum) {
            _ if skip => TakeoverBasis::Marks,
            TakeoverBasis::RampMax if trusting && !young => TakeoverBasis::Ramp,
            TakeoverBasis::RampMax if young || now.since(first) < PROOF_WAIT => return,
            // Witnesses that can be reached tell more than the ramp.
            TakeoverBasis::Ramp if young && is_hopeful(proof, &claim.quorum, peers) => return,
            basis => basis,
        };
        let highest = proof.highest(claim);
        let base = match basis {
            TakeoverBasis::Marks => highest,
            TakeoverBasis::Ramp => reach(claim, clocks.elapsed(now, claim)).max(highest),
            TakeoverBasis::RampMax => claim.drawn,
        };
        let (mut account, revision) = (claim.clone(), *revision);
        takeover.basis = basis;
        takeover.lost = base - highest;
        account.lost += takeover.lost;
        self.write_open(budget, revision, account, base, out);
    }
}

/// Whether enough witnesses have answered or can be reached.
fn is_hopeful(proof: &Proof, quorum: &Quorum, peers: &BTreeMap<Incarnation, Peer>) -> bool {
    let reachable = |id: &Incarnation| peers.get(id).is_some_and(Peer::is_reachable);
    let heard = |id: &Incarnation| proof.is_fenced(*id) || reachable(id);
    let heard = quorum.witnesses.iter().filter(|id| heard(id)).count();
    heard >= record::fences_needed(quorum)
}
