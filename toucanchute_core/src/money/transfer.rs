use rand::seq::SliceRandom;
use toucanchute_proto::{
    BudgetId, GrantId, Incarnation, Millis,
    ledger::{Backing, Entry, EntryBody, EntryResult, GrantRecord, Transfer},
    money::{AskTransfer, Decline, Give, MoneyMessage},
};

use super::{
    Action, Money,
    budget_state::{BudgetState, HeldGrant, TransferRound},
    outbox::EntryPurpose,
    reserve::{TOKEN_TIMEOUT_MS, is_recent_refusal},
};
use crate::ledger::Fault;

/// Most transfer requests of one budget that are unanswered at a time.
const MAX_UNANSWERED_REQUESTS: usize = 2;

/// Delay before an unanswered transfer request is sent again, in milliseconds.
const TRANSFER_RESEND_MS: u64 = 300;

/// Time beyond the outage bound after which a round no longer waits for an answer, in milliseconds.
const TRANSFER_GRACE_MS: u64 = 200;

/// Time for which a transfer should cover the expected draw. The giver keeps enough tokens for its
/// own draw in this time. In milliseconds.
const TRANSFER_SPAN_MS: u64 = 1_000;

/// Interval at which a shard's writer looks for grants that their holders may not know of, in
/// milliseconds. Also the age from which an untouched grant counts as such.
const UNCLAIMED_INTERVAL_MS: u64 = 10_000;

/// Time for which a committed or declined transfer is remembered, in milliseconds.
const TRANSFER_RETENTION_MS: u64 = 300_000;

/// A transfer requested from a peer. It is kept until it is answered, because the answer may arrive
/// late.
#[derive(Clone, Debug)]
pub(super) struct TransferRequest {
    pub(super) peer: Incarnation,
    pub(super) sent_at: Millis,
    pub(super) body: AskTransfer,
    /// Whether the peer declined. The request is kept even so, because a duplicate of it may still
    /// make the peer send a transfer.
    pub(super) declined: bool,
}

/// A transfer from this router to a peer.
#[derive(Clone, Debug)]
pub(super) struct OutgoingTransfer {
    pub(super) to: Incarnation,
    pub(super) transfer: Entry,
    /// `None` until the receiver may spend the transfer; after that, whether the transfer is known
    /// to be committed.
    pub(super) released: Option<bool>,
    created_at: Millis,
}

/// Transfer requests to peers.
impl Money {
    /// Starts a round of transfer requests for the tokens that the oldest waiting call needs.
    pub(super) fn start_transfer_round(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(state) = self.budget_states.get_mut(&budget) else {
            return;
        };
        if state.tokens_needed() == 0 || state.round.is_some() {
            return;
        }
        if state
            .peers_declined_at
            .is_some_and(|at| is_recent_refusal(now, at))
        {
            return self.end_round(budget, out);
        }
        state.best_peer = None;
        let mut peers = self.alive_peers();
        peers.shuffle(&mut self.rng);
        let round = TransferRound {
            remaining_peers: peers,
            ..TransferRound::default()
        };
        if let Some(state) = self.budget_states.get_mut(&budget) {
            state.round = Some(round);
        }
        self.continue_round(budget, out);
    }

    /// Sends requests to the next peers, or ends the round if no peer and no answer is left.
    fn continue_round(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let span = Millis(TRANSFER_SPAN_MS);
        while let Some(state) = self.budget_states.get_mut(&budget) {
            let (need, draw) = (state.tokens_needed(), state.expected_draw(span));
            let Some(round) = &mut state.round else {
                return;
            };
            if need == 0 {
                state.round = None;
                return;
            }
            if round.unanswered.len() >= MAX_UNANSWERED_REQUESTS {
                return;
            }
            let Some(peer) = round.remaining_peers.pop() else {
                break;
            };
            self.request_transfer(budget, peer, need, draw.max(need), out);
        }
        let waiting = |s: &BudgetState| s.round.as_ref().is_some_and(|r| !r.unanswered.is_empty());
        if !self.budget_states.get(&budget).is_some_and(waiting) {
            self.end_round(budget, out);
        }
    }

    fn request_transfer(
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
        self.transfer_requests.insert(
            grant,
            TransferRequest {
                peer,
                sent_at,
                body,
                declined: false,
            },
        );
        let round = self
            .budget_states
            .get_mut(&budget)
            .and_then(|s| s.round.as_mut());
        if let Some(round) = round {
            round.unanswered.insert(grant, sent_at);
        }
    }

    /// Ends a round in which no peer sent enough tokens. Refuses the waiting calls if the ledger
    /// has refused a grant as well, or has not answered the grant request for
    /// [`TOKEN_TIMEOUT_MS`].
    fn end_round(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(state) = self.budget_states.get_mut(&budget) else {
            return;
        };
        if state.round.take().is_some() {
            state.peers_declined_at = Some(now);
        }
        let refused = state
            .last_refusal
            .is_some_and(|(at, _)| is_recent_refusal(now, at));
        // A shorter delay of a commit may only be due to a change of the shard's writer.
        let overdue = state
            .grant_request
            .is_some_and(|(_, at)| now.since(at) >= Millis(TOKEN_TIMEOUT_MS));
        if refused || overdue {
            self.refuse_waiting(budget, out);
        }
    }

    pub(super) fn on_give(&mut self, body: &Give, out: &mut Vec<Action>) {
        let budget = body.transfer.budget;
        let EntryBody::Transfer(transfer) = &body.transfer.body else {
            return;
        };
        let id = transfer.grant;
        let GrantId(holder, _) = id;
        if self.transfer_requests.remove(&id).is_some() {
            self.open_received_grant(budget, transfer, body.committed, &body.transfer);
        } else if self.has_fault(Fault::CreditTransferTwice)
            && holder == self.me()
            && let Some(grant) = self.grants.get_mut(&id)
        {
            grant.remainder += transfer.tokens;
        }
        self.close_transfer_request(budget, id);
        self.serve_waiting(budget, out);
        self.continue_round(budget, out);
    }

    fn open_received_grant(
        &mut self,
        budget: BudgetId,
        body: &Transfer,
        committed: bool,
        entry: &Entry,
    ) {
        let grant = HeldGrant {
            budget,
            remainder: body.tokens,
            reserved: 0,
            backing: body.backing.clone(),
            committed_returns: 0,
            return_in_flight: false,
            uncommitted_origin: (!committed).then(|| entry.clone()),
        };
        self.grants.insert(body.grant, grant);
        if !committed {
            let grant = body.grant;
            self.propose(
                entry.clone(),
                EntryPurpose::IncomingTransfer { grant },
                None,
            );
        }
    }

    pub(super) fn on_decline(&mut self, from: Incarnation, body: &Decline, out: &mut Vec<Action>) {
        let request = self
            .transfer_requests
            .get_mut(&body.grant)
            .filter(|a| !a.declined);
        let Some(request) = request else {
            return;
        };
        request.declined = true;
        if let Some(state) = self.budget_states.get_mut(&body.budget) {
            let best = state.best_peer.map_or(0, |(idle, _)| idle);
            if body.idle > best {
                state.best_peer = Some((body.idle, from));
            }
        }
        self.close_transfer_request(body.budget, body.grant);
        self.continue_round(body.budget, out);
    }

    fn close_transfer_request(&mut self, budget: BudgetId, grant: GrantId) {
        let round = self
            .budget_states
            .get_mut(&budget)
            .and_then(|s| s.round.as_mut());
        if let Some(round) = round {
            round.unanswered.remove(&grant);
        }
    }

    /// Sends unanswered requests again, and continues rounds whose requests are overdue.
    pub(super) fn tick_transfer_requests(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let alive: Vec<_> = self.alive_peers();
        for request in self.transfer_requests.values_mut() {
            let due = now.since(request.sent_at) >= Millis(TRANSFER_RESEND_MS);
            if due && !request.declined && alive.contains(&request.peer) {
                request.sent_at = now;
                let message = MoneyMessage::AskTransfer(request.body.clone());
                out.push(Action::Send {
                    to: request.peer,
                    message,
                });
            }
        }
        let bound = self.outage_after() + Millis(TRANSFER_GRACE_MS);
        let mut budgets = Vec::new();
        for (&budget, state) in &mut self.budget_states {
            if let Some(round) = &mut state.round {
                round.unanswered.retain(|_, at| now.since(*at) < bound);
                budgets.push(budget);
            }
        }
        for budget in budgets {
            self.continue_round(budget, out);
        }
    }
}

/// Committed transfers whose giver left before it could notify the receiver.
impl Money {
    /// Notifies holders of their grants that are untouched for [`UNCLAIMED_INTERVAL_MS`] or longer.
    pub(super) fn tick_unclaimed(&mut self, out: &mut Vec<Action>) {
        if self.now.since(self.unclaimed_sent_at) < Millis(UNCLAIMED_INTERVAL_MS) {
            return;
        }
        self.unclaimed_sent_at = self.now;
        let limit = self.now - Millis(UNCLAIMED_INTERVAL_MS);
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
        if self.transfer_requests.remove(&record.grant).is_none() {
            return;
        }
        let grant = HeldGrant {
            budget: record.budget,
            remainder: record.remainder,
            reserved: 0,
            backing: record.backing.clone(),
            committed_returns: record.returns,
            return_in_flight: false,
            uncommitted_origin: None,
        };
        self.grants.insert(record.grant, grant);
        self.close_transfer_request(record.budget, record.grant);
        self.serve_waiting(record.budget, out);
        self.continue_round(record.budget, out);
    }
}

/// Transfers to peers.
impl Money {
    pub(super) fn on_ask_transfer(
        &mut self,
        from: Incarnation,
        body: AskTransfer,
        out: &mut Vec<Action>,
    ) {
        if let Some(outgoing) = self.outgoing_transfers.get(&body.grant) {
            if let Some(committed) = outgoing.released {
                self.send_give(body.grant, committed, out);
            }
            return;
        }
        let span = Millis(TRANSFER_SPAN_MS);
        let state = self.budget_states.get(&body.budget);
        let kept_back = state.map_or(0, |s| s.expected_draw(span));
        let calls_waiting = state.is_some_and(|s| s.tokens_needed() > 0);
        let committed_grants = self.grants.iter().filter(|(_, g)| g.budget == body.budget);
        let committed_grants = committed_grants.filter(|(_, g)| g.uncommitted_origin.is_none());
        let largest = committed_grants
            .max_by_key(|(_, g)| g.available())
            .map(|(&id, g)| (id, g.available()));
        let (id, available) = largest.unwrap_or_default();
        let tokens = body.want.min(available.saturating_sub(kept_back));
        let GrantId(requester, _) = body.grant;
        if calls_waiting || tokens < body.min.max(1) || requester != from {
            let (grant, budget) = (body.grant, body.budget);
            return self.send_decline(from, grant, budget, out);
        }
        self.give_transfer(from, id, tokens, body, out);
    }

    fn give_transfer(
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
        let outgoing = OutgoingTransfer {
            to,
            transfer: transfer.clone(),
            released: None,
            created_at: self.now,
        };
        self.outgoing_transfers.insert(grant, outgoing);
        self.propose(
            transfer,
            EntryPurpose::OutgoingTransfer {
                from,
                grant,
                tokens,
            },
            None,
        );
        self.request_holds_in_outage(id, out);
    }

    pub(super) fn send_give(&mut self, grant: GrantId, committed: bool, out: &mut Vec<Action>) {
        let Some(outgoing) = self.outgoing_transfers.get_mut(&grant) else {
            return;
        };
        outgoing.released = Some(committed);
        let transfer = outgoing.transfer.clone();
        let message = MoneyMessage::Give(Give {
            transfer,
            committed,
        });
        let to = outgoing.to;
        out.push(Action::Send { to, message });
    }

    /// Removes committed and declined transfers that are older than [`TRANSFER_RETENTION_MS`].
    pub(super) fn tick_outgoing_transfers(&mut self) {
        let now = self.now;
        let old = |at: Millis| now.since(at) >= Millis(TRANSFER_RETENTION_MS);
        self.transfer_requests
            .retain(|_, a| !a.declined || !old(a.sent_at));
        self.outgoing_transfers
            .retain(|_, g| g.released != Some(true) || !old(g.created_at));
    }

    fn send_decline(
        &self,
        to: Incarnation,
        grant: GrantId,
        budget: BudgetId,
        out: &mut Vec<Action>,
    ) {
        let idle = self.available_tokens(budget);
        let message = MoneyMessage::Decline(Decline {
            grant,
            budget,
            idle,
        });
        out.push(Action::Send { to, message });
    }

    pub(super) fn on_outgoing_result(
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
                self.undo_refused_debit(from, tokens, *refusal);
                let outgoing = self.outgoing_transfers.remove(&grant).filter(|_| !released);
                if let Some(outgoing) = outgoing {
                    self.send_decline(outgoing.to, grant, outgoing.transfer.budget, out);
                }
            }
            _ => {}
        }
    }
}
