use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{Ask, AskAnswer, PrepaidMessage, SettleReservation, Term, Verdict},
};

use super::{
    Action, CallId, PrepaidAccounts, Refusal, RefusalReason,
    account::{RequestId, WaitingRequest},
    machine::{KnownOwner, NO_TERM},
};

/// Longest time that a request waits for tokens.
pub(super) const MAX_WAIT: Millis = Millis(600);

/// Pause before a request that is not answered is sent again.
const RESEND_INTERVAL: Millis = Millis(150);

/// Most times that one request is sent. A greater number means that routers redirect it in circles,
/// because their views of the owner differ.
const MAX_SENDS: u32 = 8;

/// Pause before a refund that is not acknowledged is sent again.
const REFUND_RESEND_INTERVAL: Millis = Millis(300);

/// Most times that a refund is sent.
const MAX_REFUND_SENDS: u32 = 10;

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
    /// Refunds that the owner has not acknowledged, by sequence number.
    refunds: BTreeMap<u64, Refund>,
    /// Requests whose reservations were settled, each with the time at which it was. A reservation
    /// for a request that is neither here nor in `reservations` was never used.
    ended: BTreeMap<CallId, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct UnansweredRequest {
    budget: BudgetId,
    tokens: u64,
    until: Millis,
    /// Router to which the request was sent last.
    to: Option<Incarnation>,
    sent_at: Millis,
    sends: u32,
}

#[derive(Clone, Copy, Debug)]
struct LocalReservation {
    budget: BudgetId,
    term: Term,
    owner: Incarnation,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Refund {
    owner: Incarnation,
    body: SettleReservation,
    sent_at: Millis,
    sends: u32,
}

impl LocalRequests {
    /// Returns the unanswered requests that `wanted` selects.
    fn calls_where(&self, wanted: impl Fn(&UnansweredRequest) -> bool) -> Vec<CallId> {
        let calls = self.unanswered.iter().filter(|(_, a)| wanted(a));
        calls.map(|(&call, _)| call).collect()
    }

    /// Removes a refund that the owner has acknowledged.
    pub(super) fn remove_refund(&mut self, seq: u64) {
        self.refunds.remove(&seq);
    }
}

/// Requesting and settling tokens for the requests of this router.
impl PrepaidAccounts {
    pub(super) fn request_tokens(
        &mut self,
        call: CallId,
        budget: BudgetId,
        tokens: u64,
        deadline: Millis,
        out: &mut Vec<Action>,
    ) {
        if !self.limits.contains_key(&budget) {
            return refuse(call, RefusalReason::Unknown, out);
        }
        let request = UnansweredRequest {
            budget,
            tokens,
            until: deadline.min(self.now + MAX_WAIT),
            to: None,
            sent_at: self.now,
            sends: 0,
        };
        self.requests.unanswered.insert(call, request);
        self.send_request(call, out);
    }

    /// Sends a request to the owner of the account, which may be this router.
    fn send_request(&mut self, call: CallId, out: &mut Vec<Action>) {
        let Some(budget) = self.requests.unanswered.get(&call).map(|a| a.budget) else {
            return;
        };
        let to = self.locate_owner(budget, out);
        let (now, me) = (self.now, self.me());
        let known = self
            .known_owners
            .get(&budget)
            .filter(|k| Some(k.owner) == to);
        let term = known.map_or(NO_TERM, |k| k.term);
        let Some(request) = self.requests.unanswered.get_mut(&call) else {
            return;
        };
        request.to = to;
        request.sent_at = now;
        request.sends += 1;
        let &mut UnansweredRequest { tokens, until, .. } = request;
        match to {
            None => {}
            Some(to) if to == me => {
                let seq = call.seq();
                let id = RequestId { router: me, seq };
                self.enqueue(budget, WaitingRequest { id, tokens, until }, out);
            }
            Some(to) => {
                let seq = call.seq();
                let message = PrepaidMessage::Ask(Ask {
                    budget,
                    seq,
                    tokens,
                    term,
                });
                out.push(Action::Send { to, message });
            }
        }
    }

    /// Returns the router to send requests for a budget to: its owner or, if none is known, the
    /// router that should know it or become it. Starts a takeover if that is this router.
    fn locate_owner(&mut self, budget: BudgetId, out: &mut Vec<Action>) -> Option<Incarnation> {
        let me = self.me();
        if self.accounts.contains_key(&budget) || self.takeovers.contains_key(&budget) {
            return Some(me);
        }
        if let Some(owner) = self.reachable_owner(budget) {
            return Some(owner);
        }
        let registrar = self.registrar(budget)?;
        if registrar != me {
            return Some(registrar);
        }
        let candidate = self.candidate(budget)?;
        if candidate != me {
            return Some(candidate);
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
            tokens: request.map_or(u64::MAX, |a| a.tokens),
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
            self.settle_with_owner(call, reservation, 0, out);
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
        let budget = body.budget;
        if self
            .known_owners
            .get(&budget)
            .is_some_and(|k| k.owner == from)
        {
            self.known_owners.remove(&budget);
        }
        if let Some(owner) = body.owner.filter(|&o| o != self.me()) {
            let known = self.known_owners.get(&budget);
            if known.is_none_or(|k| k.term <= body.term) {
                let term = body.term;
                self.known_owners.insert(budget, KnownOwner { term, owner });
            }
        }
        self.resend_request(call, out);
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
        let owner = self.known_owners.get(&budget).map(|k| k.owner);
        let misrouted =
            |a: &UnansweredRequest| a.budget == budget && a.to != owner && a.to != Some(me);
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
        self.resend_refunds(out);
    }

    // Settling

    pub(super) fn settle_call(&mut self, call: CallId, used: u64, out: &mut Vec<Action>) {
        if let Some(reservation) = self.requests.reservations.remove(&call) {
            self.requests.ended.insert(call, self.now);
            self.settle_with_owner(call, reservation, used, out);
        }
    }

    fn settle_with_owner(
        &mut self,
        call: CallId,
        reservation: LocalReservation,
        used: u64,
        out: &mut Vec<Action>,
    ) {
        let LocalReservation {
            budget,
            term,
            owner,
            tokens,
        } = reservation;
        let body = SettleReservation {
            budget,
            term,
            seq: call.seq(),
            refund: tokens.saturating_sub(used),
        };
        let owner = current_owner(&self.known_owners, &body, owner);
        let me = self.me();
        if owner == me {
            return self.settle_reservation(me, &body, out);
        }
        let refund = Refund {
            owner,
            body,
            sent_at: self.now,
            sends: 1,
        };
        self.requests.refunds.insert(call.seq(), refund);
        let message = PrepaidMessage::Settle(body);
        out.push(Action::Send { to: owner, message });
    }

    fn resend_refunds(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.requests
            .refunds
            .retain(|_, r| r.sends < MAX_REFUND_SENDS);
        for refund in self.requests.refunds.values_mut() {
            if now.since(refund.sent_at) < REFUND_RESEND_INTERVAL {
                continue;
            }
            refund.owner = current_owner(&self.known_owners, &refund.body, refund.owner);
            refund.sent_at = now;
            refund.sends += 1;
            let message = PrepaidMessage::Settle(refund.body);
            let to = refund.owner;
            out.push(Action::Send { to, message });
        }
    }
}

/// Returns the router to which `owner` has handed the account over within the same epoch, or else
/// `owner`.
fn current_owner(
    known_owners: &BTreeMap<BudgetId, KnownOwner>,
    body: &SettleReservation,
    owner: Incarnation,
) -> Incarnation {
    let known = known_owners
        .get(&body.budget)
        .filter(|k| k.term.epoch == body.term.epoch);
    known.map_or(owner, |k| k.owner)
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
