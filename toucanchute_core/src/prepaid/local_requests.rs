use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{Ask, AskAnswer, OwnerView, PrepaidMessage, Term, Verdict},
};

use super::{
    Action, CallId, PrepaidAccounts, Refusal, RefusalReason, account::WaitingRequest,
    event::TokenDemand, machine::NO_TERM, reservations::RequestId,
};

/// Longest time that a request waits for tokens.
pub(super) const MAX_WAIT: Millis = Millis(600);

/// Pause before a request that is not answered is sent again.
const RESEND_INTERVAL: Millis = Millis(150);

/// Most times that one request is sent. A greater number means that routers redirect it in circles,
/// because their views of the owner differ.
const MAX_SENDS: u32 = 8;

/// How long a settled request is remembered, so that a late answer to it is not taken for a
/// reservation of an abandoned request.
const ENDED_RETENTION: Millis = Millis(600_000);

/// Time after which to retry while no router can spend from a budget.
const UNAVAILABLE_RETRY_AFTER: Millis = Millis(500);

/// Time after which to retry while tokens are reserved for other requests.
const HELD_RETRY_AFTER: Millis = Millis(1_000);

/// Requests for tokens that this router received from its callers.
#[derive(Debug, Default)]
pub(super) struct LocalRequests {
    /// Requests that are not answered yet.
    unanswered: BTreeMap<CallId, UnansweredRequest>,
    /// Reservations of requests in progress.
    reservations: BTreeMap<CallId, LocalReservation>,
    /// Requests whose reservations were settled, each with the time at which it was. A reservation
    /// for a request that is neither here nor in `reservations` was never used.
    ended: BTreeMap<CallId, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct UnansweredRequest {
    demand: TokenDemand,
    until: Millis,
    /// Router to which the request was sent last.
    to: Option<Incarnation>,
    /// Router to ask next, by the redirect of another one. This router if it should take the account over.
    advised: Option<Incarnation>,
    sent_at: Millis,
    sends: u32,
}

/// Tokens reserved for a request of this router.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalReservation {
    pub(super) budget: BudgetId,
    /// Owner that reserved them, and its term then.
    pub(super) owner: Incarnation,
    pub(super) term: Term,
    /// Absent for a request that was abandoned before its answer arrived.
    pub(super) tokens: Option<u64>,
}

impl LocalRequests {
    /// Returns the unanswered requests that `wanted` selects.
    fn calls_where(&self, wanted: impl Fn(&UnansweredRequest) -> bool) -> Vec<CallId> {
        let calls = self.unanswered.iter().filter(|(_, a)| wanted(a));
        calls.map(|(&call, _)| call).collect()
    }
}

/// Requesting and settling tokens for the requests of this router.
impl PrepaidAccounts {
    pub(super) fn request_tokens(
        &mut self,
        call: CallId,
        demand: TokenDemand,
        deadline: Millis,
        out: &mut Vec<Action>,
    ) {
        if !self.limits.contains_key(&demand.budget) {
            return refuse(call, RefusalReason::Unknown, out);
        }
        let request = UnansweredRequest {
            demand,
            until: deadline.min(self.now + MAX_WAIT),
            to: None,
            advised: None,
            sent_at: self.now,
            sends: 0,
        };
        self.requests.unanswered.insert(call, request);
        self.send_request(call, out);
    }

    /// Sends a request to the owner of the account, which may be this router.
    fn send_request(&mut self, call: CallId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.unanswered.get_mut(&call) else {
            return;
        };
        let (budget, advised) = (request.demand.budget, request.advised.take());
        let to = self.locate_owner(budget, advised, out);
        let (now, me) = (self.now, self.me());
        let view = self.known_owners.get(budget);
        let known = view.filter(|v| v.owner.is_some() && v.owner == to);
        let term = known.map_or(NO_TERM, |v| v.term);
        let Some(request) = self.requests.unanswered.get_mut(&call) else {
            return;
        };
        request.to = to;
        request.sent_at = now;
        request.sends += 1;
        let &mut UnansweredRequest { demand, until, .. } = request;
        let TokenDemand {
            tokens,
            rest,
            extends,
            ..
        } = demand;
        let extends = extends.map(CallId::seq);
        match to {
            None => {}
            Some(to) if to == me => {
                let seq = call.seq();
                let id = RequestId { router: me, seq };
                let waiting = WaitingRequest {
                    id,
                    tokens,
                    rest,
                    extends: extends.map(|seq| RequestId { router: me, seq }),
                    until,
                };
                self.enqueue(budget, waiting, out);
            }
            Some(to) => {
                let seq = call.seq();
                let message = PrepaidMessage::Ask(Ask {
                    budget,
                    seq,
                    tokens,
                    term,
                    rest: Some(rest),
                    extends,
                    view,
                });
                out.push(Action::send(to, message));
            }
        }
    }

    /// Returns the router to send requests for a budget to: its owner or, if none is known, the
    /// `advised` one or the router that should know it or become it. Starts a takeover if that is this
    /// router.
    fn locate_owner(
        &mut self,
        budget: BudgetId,
        advised: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) -> Option<Incarnation> {
        let me = self.me();
        if self.accounts.contains_key(&budget) || self.takeovers.contains_key(&budget) {
            return Some(me);
        }
        if let Some(owner) = self.reachable_owner(budget) {
            return Some(owner);
        }
        let advised = advised.filter(|&id| id == me || self.is_reachable(id));
        let next = advised.or_else(|| self.next_without_owner(budget))?;
        if next != me {
            return Some(next);
        }
        if !self.may_claim() {
            return None;
        }
        self.start_takeover(budget, out);
        Some(me)
    }

    pub(super) fn on_answer(&mut self, from: Incarnation, body: AskAnswer, out: &mut Vec<Action>) {
        let call = CallId(body.seq);
        if body.verdict == Verdict::Reserved {
            return self.on_reserved(call, body.budget, from, body.term, out);
        }
        if !self.requests.unanswered.contains_key(&call) {
            return;
        }
        match body.verdict {
            Verdict::Reserved => {}
            Verdict::Elsewhere => self.follow_redirect(call, from, &body, out),
            Verdict::Exhausted => self.refuse_call(call, RefusalReason::Exhausted, out),
            Verdict::Held => self.refuse_call(call, RefusalReason::Held, out),
            Verdict::Unavailable => self.refuse_call(call, RefusalReason::Unavailable, out),
        }
    }

    /// Handles the answer that the owner has set tokens aside.
    pub(super) fn on_reserved(
        &mut self,
        call: CallId,
        budget: BudgetId,
        owner: Incarnation,
        term: Term,
        out: &mut Vec<Action>,
    ) {
        let request = self.requests.unanswered.remove(&call);
        let reservation = LocalReservation {
            budget,
            term,
            owner,
            tokens: request.map(|a| a.demand.tokens),
        };
        if request.is_some() {
            self.requests.reservations.insert(call, reservation);
            out.push(Action::Reserved { call, owner });
            return;
        }
        let known = self.requests.reservations.contains_key(&call)
            || self.requests.ended.contains_key(&call);
        if !known {
            // The answer came too late, so all tokens are refunded.
            self.refund(call, reservation, 0, out);
        }
    }

    /// Handles a redirect: remembers the owner that the answer names, and sends the request again.
    fn follow_redirect(
        &mut self,
        call: CallId,
        from: Incarnation,
        body: &AskAnswer,
        out: &mut Vec<Action>,
    ) {
        match body.view {
            Some(view) => self.learn_owner(body.budget, view),
            None => self.learn_owner_by_redirect(from, body),
        }
        if let Some(request) = self.requests.unanswered.get_mut(&call) {
            request.advised = body.owner;
        }
        self.resend_request(call, out);
    }

    /// Learns of an owner by the redirect of a router that knows none, or of an earlier version.
    fn learn_owner_by_redirect(&mut self, from: Incarnation, body: &AskAnswer) {
        self.known_owners.give_up(body.budget, from);
        if body.term > NO_TERM && body.owner.is_some() {
            let view = OwnerView {
                term: body.term,
                owner: body.owner,
            };
            self.learn_owner(body.budget, view);
        }
    }

    /// Refuses a request of this router, unless it is already answered.
    pub(super) fn refuse_call(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        if self.requests.unanswered.remove(&call).is_some() {
            refuse(call, reason, out);
        }
    }

    /// Sends a request of this router again, for example after its account has moved, unless it was
    /// sent too often.
    pub(super) fn resend_request(&mut self, call: CallId, out: &mut Vec<Action>) {
        let sends = self
            .requests
            .unanswered
            .get(&call)
            .map_or(MAX_SENDS, |a| a.sends);
        if sends < MAX_SENDS {
            self.send_request(call, out);
        }
    }

    // Resending

    /// Resends the requests whose receiver can no longer be reached.
    pub(super) fn reroute(&mut self, out: &mut Vec<Action>) {
        let me = self.me();
        let lost = |a: &UnansweredRequest| a.to.is_none_or(|to| to != me && !self.is_reachable(to));
        for call in self.requests.calls_where(lost) {
            self.resend_request(call, out);
        }
    }

    /// Resends the requests for a budget whose receiver is neither its owner nor this router, now
    /// that the owner is known.
    pub(super) fn reroute_budget(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let me = self.me();
        let owner = self.known_owners.get(budget).and_then(|v| v.owner);
        let misrouted =
            |a: &UnansweredRequest| a.demand.budget == budget && a.to != owner && a.to != Some(me);
        for call in self.requests.calls_where(misrouted) {
            self.resend_request(call, out);
        }
    }

    pub(super) fn tick_requests(&mut self, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.me());
        for call in self.requests.calls_where(|a| a.until <= now) {
            self.refuse_call(call, RefusalReason::Unavailable, out);
        }
        let silent =
            |a: &UnansweredRequest| a.to != Some(me) && now.since(a.sent_at) >= RESEND_INTERVAL;
        for call in self.requests.calls_where(silent) {
            self.resend_request(call, out);
        }
        self.requests
            .ended
            .retain(|_, at| now.since(*at) < ENDED_RETENTION);
        self.tick_refunds(out);
    }

    // Settling

    pub(super) fn settle_call(&mut self, call: CallId, used: u64, out: &mut Vec<Action>) {
        if let Some(reservation) = self.requests.reservations.remove(&call) {
            self.requests.ended.insert(call, self.now);
            self.refund(call, reservation, used, out);
        }
    }
}

fn refuse(call: CallId, reason: RefusalReason, out: &mut Vec<Action>) {
    let retry_after = match reason {
        RefusalReason::Exhausted | RefusalReason::Unknown => None,
        RefusalReason::Held => Some(HELD_RETRY_AFTER),
        RefusalReason::Unavailable => Some(UNAVAILABLE_RETRY_AFTER),
    };
    let refusal = Refusal {
        reason,
        retry_after,
    };
    out.push(Action::Refused { call, refusal });
}
