use std::collections::{BTreeMap, VecDeque};

use toucanchute_proto::{
    BudgetId, Incarnation, Millis, from_cbor,
    prepaid::{Account, AccountFenced, FenceAccount, PrepaidMessage, Term, Verdict},
};

use super::{
    Action, Fault, Note, Peer, Prepaid,
    account::{Owned, Waiting},
    draw::STORE_RETRY,
    machine::Known,
    ramp::{reach, top},
    record,
};
use crate::ledger::{StoreRequest, StoreResult};

/// Time for witnesses to answer a fence; after it they count as gone.
const FENCE_WAIT: Millis = Millis(300);

/// Pause before a witness is asked again.
const FENCE_RESEND: Millis = Millis(100);

/// Share of what is left of a budget that may be spent at once before its draw is known.
const FIRST_AHEAD_DIVISOR: u64 = 20;

/// Share of what is left of a budget that may be spent in a second before its draw is known.
const FIRST_PACE_DIVISOR: u64 = 25;

/// An account that this router takes over.
#[derive(Debug)]
pub(super) struct Takeover {
    pub(super) waiting: VecDeque<Waiting>,
    step: Step,
    /// Time before which the store is not called again.
    retry_at: Millis,
    /// Tokens that this takeover writes off.
    lost: u64,
}

#[derive(Debug)]
enum Step {
    /// The record has to be read.
    Start,
    /// A call to the store is in flight.
    Calling { op: u64, call: Call },
    /// The claim is in the store; witnesses are asked to refuse the owner before.
    Fencing {
        claim: Account,
        revision: u64,
        fenced: BTreeMap<Incarnation, u64>,
        since: Millis,
        asked_at: Millis,
    },
}

#[derive(Clone, Debug)]
enum Call {
    Read,
    /// Writes the claim; the quorum in it is still that of the owner before.
    Claim(Account),
    /// Writes the record with which spending begins.
    Open(Account),
}

impl Prepaid {
    pub(super) fn start_takeover(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let takeover = Takeover {
            waiting: VecDeque::new(),
            step: Step::Start,
            retry_at: self.now,
            lost: 0,
        };
        self.takeovers.insert(budget, takeover);
        self.read_record(budget, out);
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
        let start = matches!(takeover.step, Step::Start) && now >= takeover.retry_at;
        for id in late {
            self.answer(
                budget,
                id,
                Term { epoch: 0, turn: 0 },
                Verdict::Unavailable,
                out,
            );
        }
        if start && (draining || self.reachable_owner(budget).is_some()) {
            return self.abandon_takeover(budget, out);
        }
        if start {
            self.read_record(budget, out);
        }
        self.ask_fences(budget, out);
        self.open_if_fenced(budget, out);
    }

    // The store

    fn read_record(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let key = record::key(budget);
        let op = self.call_store(budget, StoreRequest::Get { key }, out);
        self.set_step(
            budget,
            Step::Calling {
                op,
                call: Call::Read,
            },
        );
    }

    fn write(&mut self, budget: BudgetId, revision: u64, call: Call, out: &mut Vec<Action>) {
        let (Call::Claim(account) | Call::Open(account)) = &call else {
            return;
        };
        let request = StoreRequest::Cas {
            key: record::key(budget),
            expected_revision: revision,
            value: record::encode(account),
        };
        let op = self.call_store(budget, request, out);
        self.set_step(budget, Step::Calling { op, call });
    }

    fn set_step(&mut self, budget: BudgetId, step: Step) {
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
            Step::Calling { op: own, call } if *own == op => call.clone(),
            _ => return,
        };
        match (call, result) {
            (Call::Read, StoreResult::Missing) => self.claim(budget, 0, record::empty(), out),
            (Call::Read, StoreResult::Value { revision, value }) => {
                self.on_record(budget, *revision, value, out);
            }
            (Call::Claim(claim), StoreResult::Applied { revision }) => {
                self.start_fencing(budget, claim, *revision, out);
            }
            (Call::Open(account), StoreResult::Applied { revision }) => {
                self.open(budget, account, *revision, out);
            }
            (_, StoreResult::Conflict) => self.read_record(budget, out),
            _ => {
                // A write without an answer shows in the record, or in a later conflict.
                takeover.step = Step::Start;
                takeover.retry_at = now + STORE_RETRY;
            }
        }
    }

    fn on_record(&mut self, budget: BudgetId, revision: u64, value: &[u8], out: &mut Vec<Action>) {
        let Ok(account) = from_cbor::<Account>(value) else {
            let retry_at = self.now + STORE_RETRY;
            if let Some(takeover) = self.takeovers.get_mut(&budget) {
                takeover.step = Step::Start;
                takeover.retry_at = retry_at;
            }
            return;
        };
        let owner = account
            .owner
            .filter(|&o| o != self.me() && self.is_reachable(o));
        if let Some(owner) = owner {
            let term = Term {
                epoch: account.epoch,
                turn: 0,
            };
            if self.known.get(&budget).is_none_or(|k| k.term <= term) {
                self.known.insert(budget, Known { term, owner });
            }
            return self.abandon_takeover(budget, out);
        }
        self.claim(budget, revision, account, out);
    }

    /// Claims an account; opens it at once where nobody else may spend from it any more.
    fn claim(&mut self, budget: BudgetId, revision: u64, old: Account, out: &mut Vec<Action>) {
        let mut claim = old;
        claim.epoch += 1;
        claim.owner = Some(self.me());
        if claim.quorum.witnesses.is_empty() {
            // Without witnesses nobody knows how much of the ramp was used.
            let base = reach(&claim, self.clocks.elapsed(self.now, &claim));
            let lost = base - claim.spent.min(base);
            claim.lost += lost;
            self.note_lost(budget, lost);
            return self.write_open(budget, revision, claim, base, out);
        }
        self.write(budget, revision, Call::Claim(claim), out);
    }

    fn note_lost(&mut self, budget: BudgetId, lost: u64) {
        if let Some(takeover) = self.takeovers.get_mut(&budget) {
            takeover.lost = lost;
        }
    }

    /// Writes the record with which spending begins, at `base` tokens spent.
    fn write_open(
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
        account.spent = base;
        account.ahead = (left / FIRST_AHEAD_DIVISOR).max(2 * need).min(left);
        account.drawn = top(limit, base, account.ahead);
        account.pace = left / FIRST_PACE_DIVISOR;
        account.at = self.clocks.earliest(self.now);
        account.quorum = self.choose_quorum(budget);
        self.write(budget, revision, Call::Open(account), out);
    }

    // Fencing

    fn start_fencing(
        &mut self,
        budget: BudgetId,
        claim: Account,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let mut fenced = BTreeMap::new();
        let term = Term {
            epoch: claim.epoch,
            turn: 0,
        };
        if claim.quorum.witnesses.contains(&self.me()) {
            let (_, mark) = self.keeper.fence(budget, term);
            fenced.insert(self.me(), mark);
        }
        self.set_step(
            budget,
            Step::Fencing {
                claim,
                revision,
                fenced,
                since: now,
                asked_at: Millis(0),
            },
        );
        self.ask_fences(budget, out);
        self.open_if_fenced(budget, out);
    }

    fn ask_fences(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(Takeover {
            step:
                Step::Fencing {
                    claim,
                    fenced,
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
        let term = Term {
            epoch: claim.epoch,
            turn: 0,
        };
        for &to in claim
            .quorum
            .witnesses
            .iter()
            .filter(|w| !fenced.contains_key(w))
        {
            let message = PrepaidMessage::Fence(FenceAccount { budget, term });
            out.push(Action::Send { to, message });
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
            step: Step::Fencing { claim, fenced, .. },
            ..
        }) = self.takeovers.get_mut(&budget)
        else {
            return;
        };
        if body.term.epoch > claim.epoch {
            return self.read_record(budget, out);
        }
        if body.term.epoch == claim.epoch && claim.quorum.witnesses.contains(&from) {
            fenced.insert(from, body.mark);
            self.open_if_fenced(budget, out);
        }
    }

    /// Begins to spend once enough witnesses are fenced, or once the others have to count as gone.
    fn open_if_fenced(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, clocks) = (self.now, self.clocks);
        let peers = &self.peers;
        let reachable = |id: &Incarnation| peers.get(id).is_some_and(Peer::is_reachable);
        let Some(takeover) = self.takeovers.get_mut(&budget) else {
            return;
        };
        let Step::Fencing {
            claim,
            revision,
            fenced,
            since,
            ..
        } = &takeover.step
        else {
            return;
        };
        let highest = fenced.values().copied().max().unwrap_or(0);
        let highest = highest.max(claim.spent).min(claim.drawn);
        let skip = self.cfg.fault == Some(Fault::SkipFence);
        let needed = record::fences_needed(&claim.quorum);
        let enough = skip || fenced.len() >= needed;
        let missing = claim.quorum.witnesses.iter();
        let missing = missing.filter(|w| !fenced.contains_key(w) && reachable(w));
        let hopeful = fenced.len() + missing.count() >= needed;
        if !enough && hopeful && now.since(*since) < FENCE_WAIT {
            return;
        }
        let (mut account, revision) = (claim.clone(), *revision);
        let base = match enough {
            true => highest,
            false => reach(claim, clocks.elapsed(now, claim)).max(highest),
        };
        takeover.lost = base - highest;
        account.lost += takeover.lost;
        self.write_open(budget, revision, account, base, out);
    }

    // Ends

    fn open(&mut self, budget: BudgetId, account: Account, revision: u64, out: &mut Vec<Action>) {
        let Some(takeover) = self.takeovers.remove(&budget) else {
            return;
        };
        let term = Term {
            epoch: account.epoch,
            turn: 0,
        };
        let note = Note::Opened {
            budget,
            epoch: account.epoch,
            spent: account.spent,
            lost: takeover.lost,
        };
        out.push(Action::Note(note));
        let owned = Owned::new(self.now, term, account, revision);
        self.own(budget, owned, takeover.waiting, out);
    }

    /// Spends from an account from now on.
    pub(super) fn own(
        &mut self,
        budget: BudgetId,
        mut owned: Owned,
        waiting: VecDeque<Waiting>,
        out: &mut Vec<Action>,
    ) {
        let owner = self.me();
        let term = owned.term;
        self.keeper.fence(budget, term);
        self.known.insert(budget, Known { term, owner });
        owned.waiting = waiting;
        owned.set_fault(self.cfg.fault);
        self.accounts.insert(budget, owned);
        self.announce_all(budget, out);
        self.serve(budget, out);
    }

    fn abandon_takeover(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let Some(takeover) = self.takeovers.remove(&budget) else {
            return;
        };
        for waiting in takeover.waiting {
            self.send_elsewhere(budget, Term { epoch: 0, turn: 0 }, waiting.id, out);
        }
    }
}
