use std::collections::BTreeMap;

use toucanchute_proto::{
    BudgetId, Incarnation, Millis,
    prepaid::{OwnerView, PrepaidMessage, ReservationSettled, SettleReservation, Term},
};

use super::{
    AccountEvent, Action, CallId, Fault, PrepaidAccounts, local_requests::LocalReservation,
};

/// Pause before a refund that is not acknowledged is sent again, or one that cannot be sent is tried
/// again.
const RESEND_INTERVAL: Millis = Millis(300);

/// Most times that a refund is sent.
const MAX_SENDS: u32 = 10;

/// Time after which a refund is given up that no owner could be sent to.
const MAX_UNSENT_TIME: Millis = Millis(120_000);

/// Refunds of this router's requests that no owner has acknowledged, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Refunds(BTreeMap<u64, Refund>);

/// Unused tokens of a request that has ended.
#[derive(Clone, Copy, Debug)]
struct Refund {
    reservation: LocalReservation,
    /// Tokens that the request used.
    used: u64,
    /// Router and term that it was sent to first, of which the router may change within the epoch.
    /// Owners of other epochs cannot know whether it was settled there. Absent until it is sent.
    sent_to: Option<(Incarnation, Term)>,
    /// When it was last sent or tried.
    tried_at: Millis,
    ended_at: Millis,
    sends: u32,
}

impl Refund {
    /// Returns the message for an owner in `term`, or `None` if that owner cannot settle it.
    fn message(&self, seq: u64, term: Term) -> Option<SettleReservation> {
        let LocalReservation {
            budget,
            term: reserved_in,
            tokens,
            ..
        } = self.reservation;
        if tokens.is_none() && reserved_in.epoch != term.epoch {
            return None;
        }
        Some(SettleReservation {
            budget,
            term,
            seq,
            reserved_in: Some(reserved_in.epoch),
            tokens,
            // The owner knows the number of tokens of a request that was abandoned.
            refund: tokens.map_or(u64::MAX, |t| t.saturating_sub(self.used)),
        })
    }

    fn budget(&self) -> BudgetId {
        self.reservation.budget
    }
}

/// Refunding unused tokens to the owners of accounts.
impl PrepaidAccounts {
    /// Ends a reservation of which `used` tokens were used, and sends the refund as soon as an owner can
    /// be reached.
    pub(super) fn refund(
        &mut self,
        call: CallId,
        reservation: LocalReservation,
        used: u64,
        out: &mut Vec<Action>,
    ) {
        let refund = Refund {
            reservation,
            used,
            sent_to: None,
            tried_at: self.now,
            ended_at: self.now,
            sends: 0,
        };
        self.refunds.0.insert(call.seq(), refund);
        self.send_refund(call.seq(), out);
    }

    /// Sends a refund to the owner that it was sent to before, or for the first time to the present one
    /// if that can be reached.
    ///
    /// A reservation for which no refund was ever sent is contained in what every later owner counts
    /// as spent, so the first one that receives the refund may settle it.
    fn send_refund(&mut self, seq: u64, out: &mut Vec<Action>) {
        let Some(refund) = self.refunds.0.get(&seq).copied() else {
            return;
        };
        let Some((owner, term)) = self.refund_target(&refund) else {
            return;
        };
        let Some(body) = refund.message(seq, term) else {
            return self.give_refund_up(seq, out);
        };
        let me = self.me();
        if owner == me {
            if self.accounts.contains_key(&refund.budget()) {
                self.refunds.0.remove(&seq);
                self.settle_reservation(me, &body, out);
            }
            return;
        }
        if let Some(refund) = self.refunds.0.get_mut(&seq) {
            refund.sent_to = Some((owner, term));
            refund.sends += 1;
        }
        let message = PrepaidMessage::Settle(body);
        out.push(Action::send(owner, message));
    }

    /// Returns the router to send a refund to, and its term; `None` if there is none at present.
    fn refund_target(&self, refund: &Refund) -> Option<(Incarnation, Term)> {
        let known = self.known_owners.get(refund.budget());
        let sent_to = refund.sent_to;
        if let Some((owner, term)) = sent_to.filter(|_| !self.has_fault(Fault::ReaddressRefunds)) {
            let moved = known.filter(|k| k.term.epoch == term.epoch);
            return Some((moved.and_then(|k| k.owner).unwrap_or(owner), term));
        }
        let LocalReservation { owner, term, .. } = refund.reservation;
        let known = known.filter(|k| k.term.epoch >= term.epoch);
        let (owner, term) = match known {
            Some(view) => (view.owner?, view.term),
            None => (owner, term),
        };
        (owner == self.me() || self.is_reachable(owner)).then_some((owner, term))
    }

    /// Handles the answer to a refund.
    pub(super) fn on_settled(&mut self, body: &ReservationSettled, out: &mut Vec<Action>) {
        let Some(term) = body.term else {
            self.refunds.0.remove(&body.seq);
            return;
        };
        let owner = body.owner;
        if owner.is_some() {
            self.learn_owner(body.budget, OwnerView { term, owner });
        }
        let refund = self.refunds.0.get(&body.seq);
        let sent_in = refund.and_then(|r| r.sent_to).map(|(_, term)| term.epoch);
        if sent_in.is_some_and(|epoch| epoch < term.epoch) {
            self.give_refund_up(body.seq, out);
        }
    }

    /// Sends refunds again that are not acknowledged, and those that could not be sent before.
    pub(super) fn tick_refunds(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let due = self.refunds.0.iter_mut();
        let due = due.filter(|(_, r)| now.since(r.tried_at) >= RESEND_INTERVAL);
        let due: Vec<(u64, bool)> = due
            .map(|(&seq, r)| {
                r.tried_at = now;
                let unsent = r.sends == 0 && now.since(r.ended_at) >= MAX_UNSENT_TIME;
                (seq, unsent || r.sends >= MAX_SENDS)
            })
            .collect();
        for (seq, give_up) in due {
            match give_up {
                true => self.give_refund_up(seq, out),
                false => self.send_refund(seq, out),
            }
        }
    }

    fn give_refund_up(&mut self, seq: u64, out: &mut Vec<Action>) {
        if let Some(refund) = self.refunds.0.remove(&seq) {
            out.push(Action::Log(AccountEvent::RefundLost {
                budget: refund.budget(),
                seq,
                sent: refund.sends > 0,
            }));
        }
    }

    // As the owner

    pub(super) fn on_settle(
        &mut self,
        from: Incarnation,
        body: SettleReservation,
        out: &mut Vec<Action>,
    ) {
        let SettleReservation { budget, seq, .. } = body;
        let mut settled = ReservationSettled {
            budget,
            seq,
            owner: None,
            term: None,
        };
        if !self.settle_reservation(from, &body, out) {
            // Without an owner, the sender tries again when it is known who owns the account.
            let known = self.known_owners.get(budget);
            let Some(known) = known.filter(|k| k.owner.is_some()) else {
                return;
            };
            settled.owner = known.owner;
            settled.term = Some(known.term);
        }
        let message = PrepaidMessage::Settled(settled);
        out.push(Action::send(from, message));
    }

    /// Settles a reservation of an account that this router owns in the epoch of the refund. Returns
    /// false if it does not.
    pub(super) fn settle_reservation(
        &mut self,
        router: Incarnation,
        body: &SettleReservation,
        out: &mut Vec<Action>,
    ) -> bool {
        let now = self.now;
        let owned = self.accounts.get_mut(&body.budget);
        let Some(owned) = owned.filter(|a| a.term.epoch == body.term.epoch) else {
            return false;
        };
        if owned.settle(now, router, body) {
            self.serve(body.budget, out);
        }
        true
    }
}
