use std::collections::VecDeque;

use toucanchute_proto::{
    BudgetId, Millis, Revision, from_cbor,
    prepaid::{Account, OwnerView, Quorum, Term, Verdict},
};

use super::{
    AccountEvent, Action, Fault, PrepaidAccounts, TakeoverBasis,
    account::{OwnedAccount, WaitingRequest},
    bounds::STORE_RETRY,
    machine::{NO_TERM, first_term},
    proof::FenceProof,
    ramp::{Ramp, ramp_max},
    record,
};
use crate::ledger::{StoreRequest, StoreResult};

/// Time in which the record of a live owner that spends changes, and in which hosts that lost power
/// run again. A takeover waits this long for proof that the owner has ended.
pub(super) const PROOF_TIMEOUT: Millis = Millis(3_000);

/// Time for a hand-over to arrive at a router that was named as the owner before.
const HANDOVER_TIME: Millis = Millis(200);

/// Number of low bits of an epoch for the claims of one era of the store. The eras of claims that
/// cannot rely on the epoch in the record are in the bits above.
const ERA_EPOCH_BITS: u32 = 32;

/// An account that this router is taking over.
#[derive(Debug)]
pub(super) struct Takeover {
    pub(super) waiting: VecDeque<WaitingRequest>,
    pub(super) step: TakeoverStep,
    /// Time before which the store is not called again.
    retry_at: Millis,
    /// Tokens that this takeover writes off, and what the spent tokens are derived from.
    pub(super) lost: u64,
    pub(super) basis: TakeoverBasis,
    /// Whether the record is of an earlier era than the store, so that it may not be the last one that
    /// was written.
    pub(super) stale: bool,
    /// Revision of a record whose owner may be alive, and when this router first read it.
    pub(super) unchanged: Option<(u64, Millis)>,
    /// Revision of a record that cannot be decoded. While there is one, no router can spend from
    /// the account.
    pub(super) unreadable: Option<u64>,
}

#[derive(Debug)]
pub(super) enum TakeoverStep {
    /// The record has to be read, now or after a pause.
    Start,
    /// A call to the store is in flight.
    CallingStore { op: u64, call: StoreCall },
    /// The claim is in the store. Witnesses are requested to refuse the previous owner.
    Fencing {
        claim: Account,
        revision: u64,
        proof: FenceProof,
        since: Millis,
        fences_sent_at: Millis,
    },
}

#[derive(Clone, Debug)]
pub(super) enum StoreCall {
    Read,
    /// Writes the claim. Its quorum is still that of the previous owner.
    Claim(Account),
    /// Writes the record with which spending begins.
    Open(Account),
}

impl PrepaidAccounts {
    pub(super) fn start_takeover(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        self.insert_takeover(budget, self.now);
        self.read_record(budget, out);
    }

    /// Takes an account over that other routers say this router owns in `term`, unless the account
    /// arrives by a hand-over first.
    pub(super) fn start_takeover_as_named(
        &mut self,
        budget: BudgetId,
        term: Term,
        out: &mut Vec<Action>,
    ) {
        if term == first_term(term.epoch) {
            // The term began with a claim of this router whose result it did not learn.
            return self.start_takeover(budget, out);
        }
        self.insert_takeover(budget, self.now + HANDOVER_TIME);
    }

    fn insert_takeover(&mut self, budget: BudgetId, retry_at: Millis) {
        let takeover = Takeover {
            waiting: VecDeque::new(),
            step: TakeoverStep::Start,
            retry_at,
            lost: 0,
            basis: TakeoverBasis::Marks,
            stale: false,
            unchanged: None,
            unreadable: None,
        };
        self.takeovers.insert(budget, takeover);
    }

    pub(super) fn tick_takeover(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let draining = self.draining;
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let late: Vec<_> = takeover
            .waiting
            .iter()
            .filter(|w| w.until <= now)
            .map(|w| w.id)
            .collect();
        takeover.waiting.retain(|w| w.until > now);
        let start = matches!(takeover.step, TakeoverStep::Start) && now >= takeover.retry_at;
        for id in late {
            self.answer(budget, id, NO_TERM, Verdict::Unavailable, out);
        }
        let owned = self.reachable_owner(budget).is_some();
        // A router that does not reach the store cannot complete the takeover, and all requests
        // would time out.
        let elsewhere = !self.store_up() && self.candidate(budget) != Some(self.me());
        if start && (draining || owned || elsewhere) {
            return self.abandon_takeover(budget, out);
        }
        if start {
            self.read_record(budget, out);
        }
        self.send_fences(budget, out);
        self.try_open(budget, out);
    }

    // The store

    pub(super) fn read_record(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let key = record::key(budget);
        let op = self.call_store(budget, StoreRequest::Get { key }, out);
        self.set_step(
            budget,
            TakeoverStep::CallingStore {
                op,
                call: StoreCall::Read,
            },
        );
    }

    fn write_takeover_record(
        &mut self,
        budget: BudgetId,
        revision: u64,
        call: StoreCall,
        out: &mut Vec<Action>,
    ) {
        let (StoreCall::Claim(account) | StoreCall::Open(account)) = &call else {
            return;
        };
        let request = StoreRequest::Cas {
            key: record::key(budget),
            expected_revision: revision,
            value: record::encode(account),
        };
        let op = self.call_store(budget, request, out);
        self.set_step(budget, TakeoverStep::CallingStore { op, call });
    }

    pub(super) fn set_step(&mut self, budget: BudgetId, step: TakeoverStep) {
        if let Some(takeover) = self.takeovers.get_mut(&budget) {
            takeover.step = step;
        }
    }

    pub(super) fn on_takeover_result(
        &mut self,
        budget: BudgetId,
        op: u64,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let call = match &takeover.step {
            TakeoverStep::CallingStore { op: own, call } if *own == op => call.clone(),
            _ => return,
        };
        match (call, result) {
            (StoreCall::Read, StoreResult::Missing) => self.on_missing_record(budget, out),
            (StoreCall::Read, StoreResult::Value { revision, value }) => {
                self.on_record(budget, *revision, value, out);
            }
            (StoreCall::Claim(claim), StoreResult::Applied { revision }) => {
                self.start_fencing(budget, claim, *revision, out);
            }
            (StoreCall::Open(account), StoreResult::Applied { revision }) => {
                self.open(budget, account, *revision, out);
            }
            (_, StoreResult::Conflict) => self.read_record(budget, out),
            _ => {
                // Whether a write without an answer took effect shows in the record or as a later
                // conflict.
                takeover.step = TakeoverStep::Start;
                takeover.retry_at = now + STORE_RETRY;
            }
        }
    }

    /// Claims an account without a record. If the store came back from an older copy since, the record
    /// may have been in it before.
    fn on_missing_record(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let mut empty = record::empty();
        if !self.may_have_lost_record(budget) {
            return self.claim(budget, 0, empty, out);
        }
        empty.era = Some(0);
        self.set_stale(budget, true);
        self.claim_if_unchanged(budget, 0, empty, out);
    }

    fn set_stale(&mut self, budget: BudgetId, stale: bool) {
        if let Some(takeover) = self.takeovers.get_mut(&budget) {
            takeover.stale = stale;
        }
    }

    fn on_record(&mut self, budget: BudgetId, revision: u64, value: &[u8], out: &mut Vec<Action>) {
        let account = match from_cbor::<Account>(value) {
            Ok(account) => account,
            Err(e) => return self.on_unreadable_record(budget, revision, e.to_string(), out),
        };
        if let Some(takeover) = self.takeovers.get_mut(&budget) {
            takeover.unreadable = None;
        }
        self.learn_owner_by_record(budget, &account);
        if self.reachable_owner(budget).is_some() {
            return self.abandon_takeover(budget, out);
        }
        if let Some(named) = account
            .owner
            .filter(|&o| o != self.me() && self.is_reachable(o))
        {
            let epoch = account.epoch;
            out.push(Action::Log(AccountEvent::RecordOutdated {
                budget,
                epoch,
                named,
            }));
        }
        let written_in = account.era.filter(|_| !self.has_fault(Fault::TrustOldEras));
        let stale = written_in.is_some_and(|era| era < Revision(revision).era());
        self.set_stale(budget, stale);
        let provable = self.enough_hosts_reachable(&account.quorum);
        if !stale && (provable || account.drawn == account.spent) {
            return self.claim(budget, revision, account, out);
        }
        self.claim_if_unchanged(budget, revision, account, out);
    }

    /// Merges what a record says of the owner. The record names the router that wrote it, also after that
    /// one has handed the account over, and names none if any owner of its epoch has released it.
    fn learn_owner_by_record(&mut self, budget: BudgetId, record: &Account) {
        let first = first_term(record.epoch);
        let known = self.known_owners.term(budget).unwrap_or(first);
        let term = match record.owner {
            None if known.epoch == record.epoch => known,
            _ => first,
        };
        let owner = record.owner;
        self.learn_owner(budget, OwnerView { term, owner });
    }

    /// Refuses all waiting requests, and reads the record again later.
    fn on_unreadable_record(
        &mut self,
        budget: BudgetId,
        revision: u64,
        error: String,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        takeover.step = TakeoverStep::Start;
        takeover.retry_at = now + STORE_RETRY;
        let waiting = std::mem::take(&mut takeover.waiting);
        if takeover.unreadable.replace(revision) != Some(revision) {
            out.push(Action::Log(AccountEvent::Unreadable {
                budget,
                revision,
                error,
            }));
        }
        for waiting in waiting {
            self.answer(budget, waiting.id, NO_TERM, Verdict::Unavailable, out);
        }
    }

    /// Whether enough witnesses, or routers that run on their hosts now, can be reached to prove
    /// that the previous owner spends no more.
    fn enough_hosts_reachable(&self, quorum: &Quorum) -> bool {
        let here = |host: &String| *host == self.cfg.host;
        let there = |host: &String| {
            let mut peers = self.peers.values();
            peers.any(|p| p.host == *host && p.is_reachable())
        };
        let running = quorum.hosts.iter().filter(|h| here(h) || there(h));
        running.count() >= record::fences_needed(quorum)
            || self.has_fault(Fault::AssumeUnreachableEnded)
    }

    /// Claims an account whose owner cannot be proved to have ended, once its record has not
    /// changed for [`PROOF_TIMEOUT`].
    fn claim_if_unchanged(
        &mut self,
        budget: BudgetId,
        revision: u64,
        account: Account,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let same = takeover.unchanged.filter(|(known, _)| *known == revision);
        let (_, since) = *takeover.unchanged.insert(same.unwrap_or((revision, now)));
        if now.since(since) >= PROOF_TIMEOUT {
            return self.claim(budget, revision, account, out);
        }
        takeover.step = TakeoverStep::Start;
        takeover.retry_at = now + STORE_RETRY;
    }

    /// Claims an account. Opens it at once if its record has no owner, so that nothing can have been
    /// spent since it was written.
    fn claim(&mut self, budget: BudgetId, revision: u64, old: Account, out: &mut Vec<Action>) {
        let era = self.store_era;
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let stale = takeover.stale;
        let mut claim = old;
        if stale {
            // Greater than any epoch of the eras before, which the store may have forgotten.
            claim.epoch = claim.epoch.max(era << ERA_EPOCH_BITS);
        }
        claim.epoch += 1;
        if stale {
            // What earlier owners reserved may be missing in a record that is not the last one.
            claim.settles_from = Some(claim.epoch);
        }
        claim.owner = Some(self.me());
        // Witnesses are fenced although the owner could spend nothing: if the store forgets this claim,
        // only they refuse the owner.
        let nothing_to_fence = claim.quorum.witnesses.is_empty();
        if claim.drawn == claim.spent && nothing_to_fence && !stale {
            let base = claim.spent;
            return self.write_opening_record(budget, revision, claim, base, out);
        }
        self.write_takeover_record(budget, revision, StoreCall::Claim(claim), out);
    }

    /// Writes the record with which spending begins, with `base` tokens spent.
    pub(super) fn write_opening_record(
        &mut self,
        budget: BudgetId,
        revision: u64,
        mut account: Account,
        base: u64,
        out: &mut Vec<Action>,
    ) {
        let limit = self.limit(budget);
        let waiting = self.takeovers.get(&budget).map(|t| t.waiting.iter());
        let need: u64 = waiting.map_or(0, |w| w.map(|w| w.tokens).sum());
        let left = limit.saturating_sub(base);
        account.settled = Some(record::settled(&account));
        account.spent = base;
        let ramp = Ramp::initial(need, left);
        account.ahead = ramp.ahead;
        account.pace = ramp.pace;
        let max = ramp_max(limit, base, ramp.ahead, ramp.pace);
        account.drawn = max.drawn;
        account.late = Some(max.late);
        account.at = self.clocks.earliest(self.now);
        account.era = Some(self.store_era);
        account.quorum = self.choose_quorum(budget);
        self.write_takeover_record(budget, revision, StoreCall::Open(account), out);
    }

    // Completion

    fn open(&mut self, budget: BudgetId, account: Account, revision: u64, out: &mut Vec<Action>) {
        let Some(takeover) = self.takeovers.remove(&budget) else {
            return;
        };
        let term = first_term(account.epoch);
        let event = AccountEvent::Opened {
            budget,
            epoch: account.epoch,
            spent: account.spent,
            lost: takeover.lost,
            basis: takeover.basis,
        };
        out.push(Action::Log(event));
        let owned = OwnedAccount::new(self.now, term, account, revision);
        self.start_spending(budget, owned, takeover.waiting, out);
    }

    /// Makes this router the owner of an account and serves the waiting requests.
    pub(super) fn start_spending(
        &mut self,
        budget: BudgetId,
        mut owned: OwnedAccount,
        waiting: VecDeque<WaitingRequest>,
        out: &mut Vec<Action>,
    ) {
        let term = owned.term;
        self.witness_marks.fence(budget, term);
        self.known_owners
            .confirm(budget, term, self.cfg.incarnation);
        owned.set_fault(self.cfg.fault);
        for request in waiting {
            owned.enqueue(request);
        }
        self.accounts.insert(budget, owned);
        self.announce_owner(budget, out);
        self.serve(budget, out);
    }

    fn abandon_takeover(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let Some(takeover) = self.takeovers.remove(&budget) else {
            return;
        };
        for waiting in takeover.waiting {
            self.redirect(budget, NO_TERM, waiting.id, out);
        }
    }
}
