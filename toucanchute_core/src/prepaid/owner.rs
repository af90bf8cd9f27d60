use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{Ask, AskAnswer, PrepaidMessage, Term, Verdict},
};

use super::{
    AccountEvent, Action, CallId, PrepaidAccounts, RefusalReason, account::WaitingRequest,
    local_requests::MAX_WAIT, machine::NO_TERM, reservations::RequestId,
};

/// Time after which a reservation whose end was not reported is dropped. Its tokens count as used.
const RESERVATION_TIMEOUT: Millis = Millis(120_000);

/// Spending from an account on behalf of all routers, as its owner.
impl PrepaidAccounts {
    pub(super) fn on_ask(&mut self, from: Incarnation, body: Ask, out: &mut Vec<Action>) {
        let Ask {
            budget,
            seq,
            tokens,
            term,
            rest,
            extends,
            view,
        } = body;
        let id = RequestId { router: from, seq };
        // The sender takes this router for the owner in a term that it does not know of.
        let named = term > self.known_owners.term(budget).unwrap_or(NO_TERM);
        if let Some(view) = view {
            self.learn_owner(budget, view);
        }
        let here = self.accounts.contains_key(&budget) || self.takeovers.contains_key(&budget);
        if !here {
            let unowned = self.reachable_owner(budget).is_none();
            let is_candidate = self.candidate(budget) == Some(self.me());
            if !(named || unowned && is_candidate) || !self.may_claim() {
                return self.redirect(budget, NO_TERM, id, out);
            }
            match named {
                true => self.start_takeover_as_named(budget, term, out),
                false => self.start_takeover(budget, out),
            }
        }
        let until = self.now + MAX_WAIT;
        let waiting = WaitingRequest {
            id,
            tokens,
            rest: rest.unwrap_or(0),
            extends: extends.map(|seq| RequestId { router: from, seq }),
            until,
        };
        self.enqueue(budget, waiting, out);
    }

    /// Queues a request for tokens of an account that this router owns or takes over.
    pub(super) fn enqueue(
        &mut self,
        budget: BudgetId,
        waiting: WaitingRequest,
        out: &mut Vec<Action>,
    ) {
        if let Some(takeover) = self.takeovers.get_mut(&budget) {
            if takeover.unreadable.is_some() {
                let WaitingRequest { id, .. } = waiting;
                return self.answer(budget, id, NO_TERM, Verdict::Unavailable, out);
            }
            if takeover.waiting.iter().all(|w| w.id != waiting.id) {
                takeover.waiting.push_back(waiting);
            }
            return;
        }
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        let id = waiting.id;
        if owned.reserved.get(id).is_some() {
            let term = owned.term;
            return self.answer(budget, id, term, Verdict::Reserved, out);
        }
        if owned.waiting.iter().all(|w| w.id != id) {
            owned.enqueue(waiting);
        }
        self.serve(budget, out);
    }

    /// Answers waiting requests in order, as far as the account's bound allows. A new request also needs
    /// room for all that the requests in progress may ask for later.
    pub(super) fn serve(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, limit) = (self.now, self.limit(budget));
        let store_up = self.store_up();
        // A router that has asked may have a later configuration than this one.
        let configured = self.limits.contains_key(&budget);
        let mut short = false;
        while let Some(owned) = self.accounts.get_mut(&budget) {
            let Some(&request) = owned.waiting.front() else {
                break;
            };
            let WaitingRequest { id, tokens, .. } = request;
            let term = owned.term;
            let need = owned.used + tokens;
            let need_at_most = owned.used_at_most_with(&request);
            let max = match store_up {
                true => limit,
                // Without the store no further record can be written, so the ramp does not rise
                // beyond its end while the request waits.
                false => limit.min(owned.ramp_end(request.until)),
            };
            let has_room = need_at_most <= limit;
            let verdict = if has_room && need <= owned.bound(now, limit) {
                owned.reserve(now, &request);
                Verdict::Reserved
            } else if has_room && need <= max {
                short = true;
                break;
            } else if has_room || !configured {
                Verdict::Unavailable
            } else if owned.settled + tokens + request.rest > limit {
                Verdict::Exhausted
            } else {
                Verdict::Held
            };
            owned.waiting.pop_front();
            self.answer(budget, id, term, verdict, out);
        }
        if short {
            self.maintain(budget, out);
        }
    }

    /// Keeps no more room for what requests of routers that have ended might have asked for.
    pub(super) fn forget_rests(
        &mut self,
        budget: BudgetId,
        ended: &[Incarnation],
        out: &mut Vec<Action>,
    ) {
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        for &router in ended {
            owned.reserved.take_rests_of(router);
        }
        if !ended.is_empty() {
            self.serve(budget, out);
        }
    }

    /// Refuses requests that waited too long, drops reservations whose end was not reported, and
    /// maintains the account.
    pub(super) fn tick_account(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        let term = owned.term;
        owned.reserved.drop_older(now, RESERVATION_TIMEOUT);
        let late: Vec<RequestId> = owned
            .waiting
            .iter()
            .filter(|w| w.until <= now)
            .map(|w| w.id)
            .collect();
        owned.waiting.retain(|w| w.until > now);
        for id in late {
            self.answer(budget, id, term, Verdict::Unavailable, out);
        }
        self.maintain(budget, out);
        self.serve(budget, out);
        self.move_to_connected_router(budget, out);
    }

    // Answers

    /// Answers a request of this router or of another one.
    pub(super) fn answer(
        &mut self,
        budget: BudgetId,
        id: RequestId,
        term: Term,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let me = self.me();
        let call = CallId(id.seq);
        self.log_refusal(budget, id, verdict, out);
        if id.router != me {
            let message = PrepaidMessage::Answer(AskAnswer {
                budget,
                seq: id.seq,
                term,
                verdict,
                owner: None,
                view: None,
            });
            out.push(Action::send(id.router, message));
            return;
        }
        match verdict {
            Verdict::Reserved => self.on_reserved(call, budget, me, term, out),
            Verdict::Elsewhere => self.resend_request(call, out),
            Verdict::Exhausted => self.refuse_call(call, RefusalReason::Exhausted, out),
            Verdict::Held => self.refuse_call(call, RefusalReason::Held, out),
            Verdict::Unavailable => self.refuse_call(call, RefusalReason::Unavailable, out),
        }
    }

    fn log_refusal(
        &self,
        budget: BudgetId,
        id: RequestId,
        verdict: Verdict,
        out: &mut Vec<Action>,
    ) {
        let reason = match verdict {
            Verdict::Reserved | Verdict::Elsewhere => return,
            Verdict::Exhausted => RefusalReason::Exhausted,
            Verdict::Held => RefusalReason::Held,
            Verdict::Unavailable => RefusalReason::Unavailable,
        };
        let limit = self.limit(budget);
        let owned = self.accounts.get(&budget);
        out.push(Action::Log(AccountEvent::Refused {
            budget,
            request: (id.router, id.seq),
            reason,
            used: owned.map_or(0, |a| a.used),
            limit,
            bound: owned.map_or(0, |a| a.bound(self.now, limit)),
        }));
    }

    /// Answers a request with the router to send it to instead.
    pub(super) fn redirect(
        &mut self,
        budget: BudgetId,
        term: Term,
        id: RequestId,
        out: &mut Vec<Action>,
    ) {
        if id.router == self.me() {
            return self.resend_request(CallId(id.seq), out);
        }
        let view = self.known_owners.get(budget);
        let known = self.reachable_owner(budget);
        let term = match (known, view) {
            (Some(_), Some(view)) => view.term,
            _ => term,
        };
        let owner = known.or_else(|| self.next_without_owner(budget));
        let message = PrepaidMessage::Answer(AskAnswer {
            budget,
            seq: id.seq,
            term,
            verdict: Verdict::Elsewhere,
            owner: owner.filter(|&o| o != self.me()),
            view,
        });
        out.push(Action::send(id.router, message));
    }
}
