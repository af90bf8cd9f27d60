use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{Account, AccountFenced, FenceAccount, PrepaidMessage, Quorum},
};

use super::{
    Action, Fault, Peer, PrepaidAccounts, TakeoverBasis,
    machine::first_term,
    proof::FenceProof,
    ramp::ramp_at,
    record,
    takeover::{PROOF_TIMEOUT, Takeover, TakeoverStep},
};

/// Time for reachable witnesses to answer a fence.
const FENCE_TIMEOUT: Millis = Millis(300);

/// Pause before fences are sent again to witnesses that have not answered.
const FENCE_RESEND_INTERVAL: Millis = Millis(100);

/// Fences the witnesses of the previous owner to find out how far it can have spent.
impl PrepaidAccounts {
    pub(super) fn start_fencing(
        &mut self,
        budget: BudgetId,
        claim: Account,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let mut proof = FenceProof::default();
        let term = first_term(claim.epoch);
        let (_, mark) = self.witness_marks.fence(budget, term);
        proof.record_router(&self.cfg.host, self.me());
        if claim.quorum.witnesses.contains(&self.me()) {
            proof.record_fence(self.me(), mark);
        }
        self.set_step(
            budget,
            TakeoverStep::Fencing {
                claim,
                revision,
                proof,
                since: now,
                fences_sent_at: Millis(0),
            },
        );
        self.send_fences(budget, out);
        self.try_open(budget, out);
    }

    /// Sends fences to the witnesses, and to the routers that run on their hosts now.
    pub(super) fn send_fences(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(Takeover {
            step:
                TakeoverStep::Fencing {
                    claim,
                    proof,
                    fences_sent_at,
                    ..
                },
            ..
        }) = self.takeovers.get_mut(&budget)
        else {
            return;
        };
        if now.since(*fences_sent_at) < FENCE_RESEND_INTERVAL {
            return;
        }
        *fences_sent_at = now;
        let term = first_term(claim.epoch);
        let witnesses = claim.quorum.witnesses.iter().zip(&claim.quorum.hosts);
        for (&witness, host) in witnesses.filter(|(w, host)| proof.may_answer(**w, host)) {
            let there = self.peers.values().filter(|p| p.host == *host);
            let mut receivers: Vec<_> = there.map(|p| p.incarnation).collect();
            if !receivers.contains(&witness) {
                receivers.push(witness);
            }
            for to in receivers {
                let message = PrepaidMessage::Fence(FenceAccount { budget, term });
                out.push(Action::send(to, message));
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
            step: TakeoverStep::Fencing { claim, proof, .. },
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
            proof.record_fence(from, body.mark);
        }
        if let Some(peer) = self.peers.get(&from) {
            proof.record_router(&peer.host, from);
        }
        self.try_open(budget, out);
    }

    /// Opens the account once it is known how far the previous owner can have spent, or once the
    /// proof has not arrived in time.
    pub(super) fn try_open(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, clocks, limit) = (self.now, self.clocks, self.limit(budget));
        let skip = self.has_fault(Fault::SkipFence);
        let (peers, assume_ended) = (&self.peers, self.has_fault(Fault::AssumeUnreachableEnded));
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let TakeoverStep::Fencing {
            claim,
            revision,
            proof,
            since,
            ..
        } = &takeover.step
        else {
            return;
        };
        let early = now.since(*since) < FENCE_TIMEOUT;
        let waiting_since = takeover.unchanged.map_or(*since, |(_, at)| at);
        let basis = match proof.basis(&claim.quorum) {
            _ if skip => TakeoverBasis::Marks,
            // Its witnesses may not be those of the last record that was written.
            _ if takeover.stale => TakeoverBasis::Total,
            TakeoverBasis::RampMax if assume_ended && !early => TakeoverBasis::Ramp,
            TakeoverBasis::RampMax if early || now.since(waiting_since) < PROOF_TIMEOUT => return,
            // The marks of reachable witnesses are more exact than the ramp.
            TakeoverBasis::Ramp if early && can_fence_enough(proof, &claim.quorum, peers) => return,
            basis => basis,
        };
        let highest = proof.highest_mark(claim);
        let base = match basis {
            TakeoverBasis::Total => limit.max(highest),
            TakeoverBasis::Marks => highest,
            TakeoverBasis::Ramp => ramp_at(claim, clocks.max_elapsed(now, claim)).max(highest),
            TakeoverBasis::RampMax => claim.drawn,
        };
        let (mut account, revision) = (claim.clone(), *revision);
        takeover.basis = basis;
        takeover.lost = base - highest;
        account.lost += takeover.lost;
        self.write_opening_record(budget, revision, account, base, out);
    }
}

/// Whether enough witnesses have answered or can be reached.
fn can_fence_enough(
    proof: &FenceProof,
    quorum: &Quorum,
    peers: &BTreeMap<Incarnation, Peer>,
) -> bool {
    let reachable = |id: &Incarnation| peers.get(id).is_some_and(Peer::is_reachable);
    let available = |id: &Incarnation| proof.is_fenced(*id) || reachable(id);
    let available = quorum.witnesses.iter().filter(|id| available(id)).count();
    available >= record::fences_needed(quorum)
}
