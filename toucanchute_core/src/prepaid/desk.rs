use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{Ask, AskAnswer, PrepaidMessage, SettleReservation, Term, Verdict},
};

use super::{
    Action, CallId, PrepaidAccounts, Refusal, RefusalReason,
    account::{RequestId, Waiting},
    machine::{Known, NO_TERM},
};

/// Longest time that a request waits for tokens.
pub(super) const WAIT: Millis = Millis(600);

/// Pause before a question that is not answered is sent again.
const RESEND: Millis = Millis(150);

/// Questions about one request; a greater number means that the routers' views go in circles.
const MAX_SENDS: u32 = 8;

/// Pause before a refund that is not acknowledged is sent again.
const REFUND_RESEND: Millis = Millis(300);

/// Times that a refund is sent.
const MAX_REFUND_SENDS: u32 = 10;

/// How long a request that has ended is told from one that was given up.
const ENDED_FOR: Millis = Millis(600_000);

/// When to come back while a budget has no owner.
const UNAVAILABLE_RETRY: Millis = Millis(500);

/// When to come back while tokens are held by other requests.
const HELD_RETRY: Millis = Millis(1_000);

/// This router's own requests for tokens.
#[derive(Debug, Default)]
pub(super) struct Desk {
    /// Requests without an answer.
    asking: BTreeMap<CallId, Asking>,
    /// Reservations of requests in progress.
    held: BTreeMap<CallId, Held>,
    /// Refunds that the owner has not acknowledged, by sequence number.
    refunds: BTreeMap<u64, Refund>,
    /// Requests whose reservations were settled, and when. A reservation of any other request that
    /// is not known here was never used.
    ended: BTreeMap<CallId, Millis>,
}

#[derive(Clone, Copy, Debug)]
struct Asking {
    budget: BudgetId,
    tokens: u64,
    until: Millis,
    /// Router that was asked last.
    to: Option<Incarnation>,
    sent_at: Millis,
    sends: u32,
}

#[derive(Clone, Copy, Debug)]
struct Held {
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

impl Desk {
    /// Returns the unanswered requests that `wanted` picks.
    fn calls(&self, wanted: impl Fn(&Asking) -> bool) -> Vec<CallId> {
        let calls = self.asking.iter().filter(|(_, a)| wanted(a));
        calls.map(|(&call, _)| call).collect()
    }

    /// Takes in that a refund arrived.
    pub(super) fn settled(&mut self, seq: u64) {
        self.refunds.remove(&seq);
    }
}

/// Asking for tokens.
impl PrepaidAccounts {
    pub(super) fn ask(
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
        let asking = Asking {
            budget,
            tokens,
            until: deadline.min(self.now + WAIT),
            to: None,
            sent_at: self.now,
            sends: 0,
        };
        self.desk.asking.insert(call, asking);
        self.route_call(call, out);
    }

    /// Asks whoever spends from the budget, which may be this router.
    fn route_call(&mut self, call: CallId, out: &mut Vec<Action>) {
        let Some(budget) = self.desk.asking.get(&call).map(|a| a.budget) else {
            return;
        };
        let to = self.spender(budget, out);
        let (now, me) = (self.now, self.me());
        let known = self.known.get(&budget).filter(|k| Some(k.owner) == to);
        let term = known.map_or(NO_TERM, |k| k.term);
        let Some(asking) = self.desk.asking.get_mut(&call) else {
            return;
        };
        asking.to = to;
        asking.sent_at = now;
        asking.sends += 1;
        let &mut Asking { tokens, until, .. } = asking;
        match to {
            None => {}
            Some(to) if to == me => {
                let seq = call.seq();
                let id = RequestId { router: me, seq };
                self.enqueue(budget, Waiting { id, tokens, until }, out);
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

    /// Returns the router that spends from a budget or should; starts a takeover if that is this
    /// one.
    fn spender(&mut self, budget: BudgetId, out: &mut Vec<Action>) -> Option<Incarnation> {
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
            return self.reserved(call, body.budget, from, body.term, out);
        }
        if !self.desk.asking.contains_key(&call) {
            return;
        }
        match body.verdict {
            Verdict::Reserved => {}
            Verdict::Elsewhere => self.go_elsewhere(call, from, &body, out),
            Verdict::Exhausted => self.give_up(call, RefusalReason::Exhausted, out),
            Verdict::Held => self.give_up(call, RefusalReason::Held, out),
            Verdict::Unavailable => self.give_up(call, RefusalReason::Unavailable, out),
        }
    }

    /// Takes in that the owner has set tokens aside.
    pub(super) fn reserved(
        &mut self,
        call: CallId,
        budget: BudgetId,
        owner: Incarnation,
        term: Term,
        out: &mut Vec<Action>,
    ) {
        let asking = self.desk.asking.remove(&call);
        let held = Held {
            budget,
            term,
            owner,
            tokens: asking.map_or(u64::MAX, |a| a.tokens),
        };
        if asking.is_some() {
            self.desk.held.insert(call, held);
            out.push(Action::Reserved { call, owner });
            return;
        }
        let known = self.desk.held.contains_key(&call) || self.desk.ended.contains_key(&call);
        if !known {
            // The answer came too late: all of it goes back.
            self.settle_held(call, held, 0, out);
        }
    }

    /// Follows an answer that names another router, unless it is one that cannot be reached.
    fn go_elsewhere(
        &mut self,
        call: CallId,
        from: Incarnation,
        body: &AskAnswer,
        out: &mut Vec<Action>,
    ) {
        let budget = body.budget;
        if self.known.get(&budget).is_some_and(|k| k.owner == from) {
            self.known.remove(&budget);
        }
        if let Some(owner) = body.owner.filter(|&o| o != self.me()) {
            let known = self.known.get(&budget);
            if known.is_none_or(|k| k.term <= body.term) {
                let term = body.term;
                self.known.insert(budget, Known { term, owner });
            }
        }
        self.ask_again(call, out);
    }

    /// Refuses a request of this router, unless it has its answer.
    pub(super) fn give_up(&mut self, call: CallId, reason: RefusalReason, out: &mut Vec<Action>) {
        if self.desk.asking.remove(&call).is_some() {
            refuse(call, reason, out);
        }
    }

    /// Asks again for a request of this router whose account has moved, unless it was asked for too
    /// often.
    pub(super) fn ask_again(&mut self, call: CallId, out: &mut Vec<Action>) {
        let sends = self.desk.asking.get(&call).map_or(MAX_SENDS, |a| a.sends);
        if sends < MAX_SENDS {
            self.route_call(call, out);
        }
    }

    // Rerouting

    /// Asks again where the router that was asked cannot be reached any more.
    pub(super) fn reroute(&mut self, out: &mut Vec<Action>) {
        let me = self.me();
        let lost = |a: &Asking| a.to.is_none_or(|to| to != me && !self.is_reachable(to));
        for call in self.desk.calls(lost) {
            self.ask_again(call, out);
        }
    }

    /// Asks again for requests that nobody was asked for, now that the owner is known.
    pub(super) fn reroute_budget(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let me = self.me();
        let owner = self.known.get(&budget).map(|k| k.owner);
        let stray = |a: &Asking| a.budget == budget && a.to != owner && a.to != Some(me);
        for call in self.desk.calls(stray) {
            self.ask_again(call, out);
        }
    }

    pub(super) fn tick_desk(&mut self, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.me());
        for call in self.desk.calls(|a| a.until <= now) {
            self.give_up(call, RefusalReason::Unavailable, out);
        }
        let silent = |a: &Asking| a.to != Some(me) && now.since(a.sent_at) >= RESEND;
        for call in self.desk.calls(silent) {
            self.ask_again(call, out);
        }
        self.desk.ended.retain(|_, at| now.since(*at) < ENDED_FOR);
        self.resend_refunds(out);
    }

    // Ending

    pub(super) fn end_call(&mut self, call: CallId, used: u64, out: &mut Vec<Action>) {
        if let Some(held) = self.desk.held.remove(&call) {
            self.desk.ended.insert(call, self.now);
            self.settle_held(call, held, used, out);
        }
    }

    fn settle_held(&mut self, call: CallId, held: Held, used: u64, out: &mut Vec<Action>) {
        let Held {
            budget,
            term,
            owner,
            tokens,
        } = held;
        let body = SettleReservation {
            budget,
            term,
            seq: call.seq(),
            refund: tokens.saturating_sub(used),
        };
        let owner = heir(&self.known, &body, owner);
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
        self.desk.refunds.insert(call.seq(), refund);
        let message = PrepaidMessage::Settle(body);
        out.push(Action::Send { to: owner, message });
    }

    fn resend_refunds(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        self.desk.refunds.retain(|_, r| r.sends < MAX_REFUND_SENDS);
        for refund in self.desk.refunds.values_mut() {
            if now.since(refund.sent_at) < REFUND_RESEND {
                continue;
            }
            refund.owner = heir(&self.known, &refund.body, refund.owner);
            refund.sent_at = now;
            refund.sends += 1;
            let message = PrepaidMessage::Settle(refund.body);
            let to = refund.owner;
            out.push(Action::Send { to, message });
        }
    }
}

/// Returns the router to which a reservation's owner has handed the account, if it has.
fn heir(
    known: &BTreeMap<BudgetId, Known>,
    body: &SettleReservation,
    owner: Incarnation,
) -> Incarnation {
    let heir = known
        .get(&body.budget)
        .filter(|k| k.term.epoch == body.term.epoch);
    heir.map_or(owner, |k| k.owner)
}

fn refuse(call: CallId, reason: RefusalReason, out: &mut Vec<Action>) {
    let retry_after = match reason {
        RefusalReason::Exhausted | RefusalReason::Unknown => None,
        RefusalReason::Held => Some(HELD_RETRY),
        RefusalReason::Unavailable => Some(UNAVAILABLE_RETRY),
    };
    let refusal = Refusal {
        reason,
        retry_after,
    };
    out.push(Action::Refused { call, refusal });
}
