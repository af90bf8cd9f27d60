use rand::seq::SliceRandom;
use toucanchute_proto::{
    BudgetId, GrantId, Incarnation, Millis,
    ledger::{Backing, Entry, EntryBody, EntryResult, GrantRecord, Transfer},
    money::{AskTransfer, Decline, Give, MoneyMessage},
};

use super::{
    Action, Money,
    holding::{HeldGrant, Holding, Round},
    outbox::Purpose,
    reserve::refusal_holds,
};
use crate::ledger::Fault;

/// Peers asked for a transfer at once.
const ASKED_AT_ONCE: usize = 2;

/// Pause before a transfer is asked for again, in milliseconds.
const ASK_RESEND_MS: u64 = 300;

/// Time beyond the outage bound after which a round goes on without an answer, in milliseconds.
const ASK_GRACE_MS: u64 = 200;

/// Draw that a transfer should last for, and that a giver keeps, in milliseconds.
const TRANSFER_SPAN_MS: u64 = 1_000;

/// Pause between two looks for grants that their holders may not know of, in milliseconds.
const UNCLAIMED_MS: u64 = 10_000;

/// Time for which a finished or declined transfer is remembered, in milliseconds.
const REMEMBER_MS: u64 = 300_000;

/// A transfer asked of a peer. It stays until it is answered: the answer may come late.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) peer: Incarnation,
    pub(super) sent_at: Millis,
    pub(super) body: AskTransfer,
    /// Whether the peer had nothing to give. A copy of the question may still make it give.
    pub(super) declined: bool,
}

/// A transfer that this router gives.
#[derive(Clone, Debug)]
pub(super) struct Given {
    pub(super) to: Incarnation,
    pub(super) transfer: Entry,
    /// Whether the receiver may spend it, and if so whether it is known to be committed.
    pub(super) released: Option<bool>,
    given_at: Millis,
}

/// Asking for transfers.
impl Money {
    /// Asks peers for the tokens that the first waiting call needs, a few peers at a time.
    pub(super) fn ask_peers(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(holding) = self.holdings.get_mut(&budget) else {
            return;
        };
        if holding.need() == 0 || holding.round.is_some() {
            return;
        }
        if holding.declined.is_some_and(|at| refusal_holds(now, at)) {
            return self.end_round(budget, out);
        }
        holding.best_peer = None;
        let mut peers = self.alive_peers();
        peers.shuffle(&mut self.rng);
        let round = Round {
            peers,
            ..Round::default()
        };
        if let Some(holding) = self.holdings.get_mut(&budget) {
            holding.round = Some(round);
        }
        self.continue_round(budget, out);
    }

    /// Asks the next peers, or ends the round if all have answered.
    fn continue_round(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let span = Millis(TRANSFER_SPAN_MS);
        while let Some(holding) = self.holdings.get_mut(&budget) {
            let (need, draw) = (holding.need(), holding.expected_draw(span));
            let Some(round) = &mut holding.round else {
                return;
            };
            if need == 0 {
                holding.round = None;
                return;
            }
            if round.open.len() >= ASKED_AT_ONCE {
                return;
            }
            let Some(peer) = round.peers.pop() else {
                break;
            };
            self.ask_peer(budget, peer, need, draw.max(need), out);
        }
        let open = |h: &Holding| h.round.as_ref().is_some_and(|r| !r.open.is_empty());
        if !self.holdings.get(&budget).is_some_and(open) {
            self.end_round(budget, out);
        }
    }

    fn ask_peer(
        &mut self,
        budget: BudgetId,
        peer: Incarnation,
        min: u64,
        want: u64,
        out: &mut Vec<Action>,
    ) {
        let body = AskTransfer {
            grant: self.new_grant_id(),
            budget,
            want,
            min,
            backing: self.choose_backing(),
        };
        let (grant, sent_at) = (body.grant, self.now);
        let message = MoneyMessage::AskTransfer(body.clone());
        out.push(Action::Send { to: peer, message });
        self.asks.insert(
            grant,
            Ask {
                peer,
                sent_at,
                body,
                declined: false,
            },
        );
        let round = self
            .holdings
            .get_mut(&budget)
            .and_then(|h| h.round.as_mut());
        if let Some(round) = round {
            round.open.insert(grant, sent_at);
        }
    }

    /// All peers were asked in vain: refuses what waits, if the ledger has refused as well.
    fn end_round(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(holding) = self.holdings.get_mut(&budget) else {
            return;
        };
        if holding.round.take().is_some() {
            holding.declined = Some(now);
        }
        let refused = holding
            .refused
            .is_some_and(|(at, _)| refusal_holds(now, at));
        if refused || self.outages.contains(&self.shard(budget)) {
            self.refuse_all(budget, out);
        }
    }

    pub(super) fn on_give(&mut self, body: &Give, out: &mut Vec<Action>) {
        let budget = body.transfer.budget;
        let EntryBody::Transfer(transfer) = &body.transfer.body else {
            return;
        };
        let id = transfer.grant;
        let GrantId(holder, _) = id;
        if self.asks.remove(&id).is_some() {
            self.credit(budget, transfer, body.committed, &body.transfer);
        } else if self.has_fault(Fault::CreditTransferTwice)
            && holder == self.me()
            && let Some(grant) = self.grants.get_mut(&id)
        {
            grant.remainder += transfer.tokens;
        }
        self.close_ask(budget, id);
        self.serve(budget, out);
        self.continue_round(budget, out);
    }

    fn credit(&mut self, budget: BudgetId, body: &Transfer, committed: bool, entry: &Entry) {
        let grant = HeldGrant {
            budget,
            remainder: body.tokens,
            reserved: 0,
            backing: body.backing.clone(),
            returns: 0,
            returning: false,
            origin: (!committed).then(|| entry.clone()),
        };
        self.grants.insert(body.grant, grant);
        if !committed {
            let grant = body.grant;
            self.propose(entry.clone(), Purpose::Origin { grant }, None);
        }
    }

    pub(super) fn on_decline(&mut self, from: Incarnation, body: &Decline, out: &mut Vec<Action>) {
        let ask = self.asks.get_mut(&body.grant).filter(|a| !a.declined);
        let Some(ask) = ask else {
            return;
        };
        ask.declined = true;
        if let Some(holding) = self.holdings.get_mut(&body.budget) {
            let best = holding.best_peer.map_or(0, |(idle, _)| idle);
            if body.idle > best {
                holding.best_peer = Some((body.idle, from));
            }
        }
        self.close_ask(body.budget, body.grant);
        self.continue_round(body.budget, out);
    }

    fn close_ask(&mut self, budget: BudgetId, grant: GrantId) {
        let round = self
            .holdings
            .get_mut(&budget)
            .and_then(|h| h.round.as_mut());
        if let Some(round) = round {
            round.open.remove(&grant);
        }
    }

    /// Asks again where no answer came, and lets rounds go on without it.
    pub(super) fn tick_asks(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let alive: Vec<_> = self.alive_peers();
        for ask in self.asks.values_mut() {
            let due = now.since(ask.sent_at) >= Millis(ASK_RESEND_MS);
            if due && !ask.declined && alive.contains(&ask.peer) {
                ask.sent_at = now;
                let message = MoneyMessage::AskTransfer(ask.body.clone());
                out.push(Action::Send {
                    to: ask.peer,
                    message,
                });
            }
        }
        let bound = self.outage_after() + Millis(ASK_GRACE_MS);
        let mut late = Vec::new();
        for (&budget, holding) in &mut self.holdings {
            if let Some(round) = &mut holding.round {
                round.open.retain(|_, at| now.since(*at) < bound);
                late.push(budget);
            }
        }
        for budget in late {
            self.continue_round(budget, out);
        }
    }
}

/// Transfers that are committed and whose giver left before it could say so.
impl Money {
    /// Tells holders of grants that they have not touched for long.
    pub(super) fn tick_unclaimed(&mut self, out: &mut Vec<Action>) {
        if self.now.since(self.unclaimed_at) < Millis(UNCLAIMED_MS) {
            return;
        }
        self.unclaimed_at = self.now;
        let limit = self.now - Millis(UNCLAIMED_MS);
        for (&shard, writer) in &self.writers {
            if self.writer_of(shard) != self.me() {
                continue;
            }
            let untouched = |g: &&GrantRecord| g.remainder == g.granted && g.opened_at < limit;
            for record in writer.log.state().grants().filter(untouched) {
                let GrantId(to, _) = record.grant;
                let message = MoneyMessage::Unclaimed(record.clone());
                out.push(Action::Send { to, message });
            }
        }
    }

    pub(super) fn on_unclaimed(&mut self, record: &GrantRecord, out: &mut Vec<Action>) {
        if self.asks.remove(&record.grant).is_none() {
            return;
        }
        let grant = HeldGrant {
            budget: record.budget,
            remainder: record.remainder,
            reserved: 0,
            backing: record.backing.clone(),
            returns: record.returns,
            returning: false,
            origin: None,
        };
        self.grants.insert(record.grant, grant);
        self.close_ask(record.budget, record.grant);
        self.serve(record.budget, out);
        self.continue_round(record.budget, out);
    }
}

/// Giving.
impl Money {
    pub(super) fn on_ask_transfer(
        &mut self,
        from: Incarnation,
        body: AskTransfer,
        out: &mut Vec<Action>,
    ) {
        if let Some(given) = self.given.get(&body.grant) {
            if let Some(committed) = given.released {
                self.send_give(body.grant, committed, out);
            }
            return;
        }
        let span = Millis(TRANSFER_SPAN_MS);
        let holding = self.holdings.get(&body.budget);
        let keep = holding.map_or(0, |h| h.expected_draw(span));
        let waits = holding.is_some_and(|h| h.need() > 0);
        let confirmed = self.grants.iter().filter(|(_, g)| g.budget == body.budget);
        let confirmed = confirmed.filter(|(_, g)| g.origin.is_none());
        let largest = confirmed
            .max_by_key(|(_, g)| g.available())
            .map(|(&id, g)| (id, g.available()));
        let (id, available) = largest.unwrap_or_default();
        let tokens = body.want.min(available.saturating_sub(keep));
        let GrantId(asker, _) = body.grant;
        if waits || tokens < body.min.max(1) || asker != from {
            let (grant, budget) = (body.grant, body.budget);
            return self.decline(from, grant, budget, out);
        }
        self.give(from, id, tokens, body, out);
    }

    fn give(
        &mut self,
        to: Incarnation,
        from: GrantId,
        tokens: u64,
        body: AskTransfer,
        out: &mut Vec<Action>,
    ) {
        if let Some(grant) = self.grants.get_mut(&from) {
            grant.reserved += tokens;
        }
        let grant = body.grant;
        let backing: Backing = body.backing;
        let transfer = Transfer {
            from,
            grant,
            tokens,
            backing,
        };
        let transfer = self.new_entry(body.budget, EntryBody::Transfer(transfer));
        let id = transfer.id;
        let given = Given {
            to,
            transfer: transfer.clone(),
            released: None,
            given_at: self.now,
        };
        self.given.insert(grant, given);
        self.propose(
            transfer,
            Purpose::Give {
                from,
                grant,
                tokens,
            },
            None,
        );
        self.hold_in_outage(id, out);
    }

    pub(super) fn send_give(&mut self, grant: GrantId, committed: bool, out: &mut Vec<Action>) {
        let Some(given) = self.given.get_mut(&grant) else {
            return;
        };
        given.released = Some(committed);
        let transfer = given.transfer.clone();
        let message = MoneyMessage::Give(Give {
            transfer,
            committed,
        });
        let to = given.to;
        out.push(Action::Send { to, message });
    }

    /// Forgets transfers that nobody will ask for again.
    pub(super) fn tick_given(&mut self) {
        let now = self.now;
        let old = |at: Millis| now.since(at) >= Millis(REMEMBER_MS);
        self.asks.retain(|_, a| !a.declined || !old(a.sent_at));
        self.given
            .retain(|_, g| g.released != Some(true) || !old(g.given_at));
    }

    fn decline(&self, to: Incarnation, grant: GrantId, budget: BudgetId, out: &mut Vec<Action>) {
        let idle = self.available(budget);
        let message = MoneyMessage::Decline(Decline {
            grant,
            budget,
            idle,
        });
        out.push(Action::Send { to, message });
    }

    pub(super) fn on_given(
        &mut self,
        from: GrantId,
        grant: GrantId,
        tokens: u64,
        result: &EntryResult,
        released: bool,
        out: &mut Vec<Action>,
    ) {
        match result {
            EntryResult::Granted(_) => {
                self.deduct(from, tokens);
                self.send_give(grant, true, out);
            }
            EntryResult::Refused(refusal) => {
                self.on_refused_debit(from, tokens, *refusal);
                let given = self.given.remove(&grant).filter(|_| !released);
                if let Some(given) = given {
                    self.decline(given.to, grant, given.transfer.budget, out);
                }
            }
            _ => {}
        }
    }
}
