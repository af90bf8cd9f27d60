use toucanchute_proto::{
    EntryId, GrantId, Millis,
    ledger::{Backing, Bill, Entry, EntryBody},
    money::{Forget, Held, Hold, MoneyMessage},
};

use super::{
    Action, Billing, CallId, Money, RefusalReason, outbox::EntryPurpose, reserve::RETRY_AFTER_MS,
};
use crate::ledger::Fault;

/// Delay before a debit is sent again to a witness that has not acknowledged it, in milliseconds.
const HOLD_RESEND_MS: u64 = 250;

/// Bills, and the witnesses that hold them in an outage.
impl Money {
    pub(super) fn settle(&mut self, call: CallId, tokens: u64, out: &mut Vec<Action>) {
        let Some(res) = self.reservations.remove(&call) else {
            let retry_after = Some(Millis(RETRY_AFTER_MS));
            return self.refuse(call, RefusalReason::GrantReclaimed, retry_after, out);
        };
        let Some(grant) = self.grants.get(&res.grant) else {
            let retry_after = Some(Millis(RETRY_AFTER_MS));
            return self.refuse(call, RefusalReason::GrantReclaimed, retry_after, out);
        };
        let after = grant.uncommitted_origin.as_ref().map(|o| o.id);
        let tokens = tokens.clamp(1, res.tokens);
        self.unreserve(res.grant, res.tokens - tokens);
        let bill = Bill {
            key: res.key,
            digest: res.digest,
            grant: res.grant,
            tokens,
            expires: res.expires,
        };
        let entry = self.new_entry(res.budget, EntryBody::Settle(bill));
        let id = entry.id;
        let grant = res.grant;
        self.propose(
            entry,
            EntryPurpose::Settle {
                call,
                grant,
                tokens,
            },
            after,
        );
        if self.has_fault(Fault::ReleaseBeforeCommit) {
            self.release_debit(id, out);
        }
        self.request_holds_in_outage(id, out);
        self.serve_waiting(res.budget, out);
    }

    /// Sends a debit to its witnesses at once if its shard is known not to commit.
    pub(super) fn request_holds_in_outage(&mut self, id: EntryId, out: &mut Vec<Action>) {
        let shard = self.outbox.get(&id).map(|o| self.shard_of(o.entry.budget));
        if shard.is_some_and(|s| self.outage_shards.contains(&s)) {
            self.request_holds(id, out);
        }
    }

    /// Sends debits to their witnesses that the ledger has not committed within the outage bound.
    pub(super) fn tick_holds(&mut self, out: &mut Vec<Action>) {
        let (now, bound) = (self.now, self.outage_after());
        let late = self
            .outbox
            .values()
            .filter(|o| now.since(o.proposed_at) >= bound);
        let late: Vec<_> = late
            .map(|o| (o.entry.id, self.shard_of(o.entry.budget)))
            .collect();
        for (id, shard) in late {
            self.outage_shards.insert(shard);
            self.request_holds(id, out);
        }
    }

    /// Sends a debit to the witnesses that have not acknowledged it.
    fn request_holds(&mut self, id: EntryId, out: &mut Vec<Action>) {
        let Some((grant, backing, uncommitted_origin)) = self.debited_grant(id) else {
            return;
        };
        let now = self.now;
        let Some(pending) = self.outbox.get_mut(&id) else {
            return;
        };
        let sent_recently = pending
            .hold_sent_at
            .is_some_and(|at| now.since(at) < Millis(HOLD_RESEND_MS));
        if pending.released || sent_recently {
            return;
        }
        pending.hold_sent_at = Some(now);
        let debits: Vec<_> = uncommitted_origin
            .into_iter()
            .chain([pending.entry.clone()])
            .collect();
        for witness in backing.witnesses {
            if pending.held_by.contains(&witness) {
                continue;
            }
            let debits = debits.clone();
            let message = MoneyMessage::Hold(Hold {
                witness,
                grant,
                debits,
            });
            out.push(Action::Send {
                to: witness,
                message,
            });
        }
    }

    /// Returns the grant that an entry of the outbox debits, with the grant's backing and the
    /// transfer that opened it if that is not committed yet.
    fn debited_grant(&self, id: EntryId) -> Option<(GrantId, Backing, Option<Entry>)> {
        let grant = match self.outbox.get(&id)?.purpose {
            EntryPurpose::Settle { grant, .. } => grant,
            EntryPurpose::OutgoingTransfer { from, .. } => from,
            _ => return None,
        };
        let held = self.grants.get(&grant)?;
        Some((grant, held.backing.clone(), held.uncommitted_origin.clone()))
    }

    pub(super) fn on_held(&mut self, body: &Held, out: &mut Vec<Action>) {
        let Some((grant, backing, _)) = self.debited_grant(body.entry) else {
            return;
        };
        if grant != body.grant || !backing.witnesses.contains(&body.witness) {
            return;
        }
        let Some(pending) = self.outbox.get_mut(&body.entry) else {
            return;
        };
        pending.held_by.insert(body.witness);
        if pending.held_by.len() >= usize::from(backing.acks.max(1)) {
            self.release_debit(body.entry, out);
        }
    }

    /// Lets a debit take effect before it is committed.
    fn release_debit(&mut self, id: EntryId, out: &mut Vec<Action>) {
        let Some(pending) = self.outbox.get_mut(&id).filter(|o| !o.released) else {
            return;
        };
        pending.released = true;
        match pending.purpose {
            EntryPurpose::Settle { call, .. } => {
                let billing = Billing::Billed;
                out.push(Action::Settled { call, billing });
            }
            EntryPurpose::OutgoingTransfer { grant, .. } => self.send_give(grant, false, out),
            _ => {}
        }
    }

    /// Notifies the witnesses of a debit that its result is known, so that they drop it.
    pub(super) fn send_forget(&self, id: EntryId, purpose: &EntryPurpose, out: &mut Vec<Action>) {
        let grant = match *purpose {
            EntryPurpose::Settle { grant, .. } => grant,
            EntryPurpose::OutgoingTransfer { from, .. } => from,
            _ => return,
        };
        let Some(held) = self.grants.get(&grant) else {
            return;
        };
        for &to in &held.backing.witnesses {
            let entries = vec![id];
            let message = MoneyMessage::Forget(Forget { grant, entries });
            out.push(Action::Send { to, message });
        }
    }
}
