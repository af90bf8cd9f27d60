use toucanchute_proto::{
    BudgetId, Incarnation, Millis, Revision, from_cbor,
    prepaid::{Account, Mark, Marked, PrepaidMessage, Quorum},
};

use super::{
    Action, ClockSpread, CloseCause, Fault, PrepaidAccounts,
    account::{OwnedAccount, RecordWrite, Renewal},
    ramp::{Ramp, ramp_max},
    record,
    renewal::log_unreadable,
};
use crate::ledger::{StoreRequest, StoreResult};

/// Time for which a new mark covers the draw. The tokens up to the mark count as spent when the
/// owner is lost.
const MARK_AHEAD: Millis = Millis(500);

/// Age after which a checkpoint that no longer matches what is spent is renewed.
const CHECKPOINT_INTERVAL: Millis = Millis(800);

/// Shortest time between two checkpoints while no request waits for the next one.
const MIN_CHECKPOINT_INTERVAL: Millis = Millis(200);

/// Pause before the next call to the store after a failed one.
pub(super) const STORE_RETRY: Millis = Millis(300);

/// Time for the witnesses of the next quorum to acknowledge the current mark.
const QUORUM_CHANGE_TIMEOUT: Millis = Millis(500);

/// Raises an account's bounds before they are reached.
impl PrepaidAccounts {
    /// Adjusts an account's witnesses and marks and writes its record, as far as its draw requires.
    pub(super) fn maintain(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        self.prove_ownership(budget, out);
        self.renew_quorum(budget);
        self.raise_marks(budget, out);
        self.write_if_due(budget, out);
    }

    /// Chooses the next quorum if witnesses are gone or too few.
    fn renew_quorum(&mut self, budget: BudgetId) {
        let now = self.now;
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        let timed_out = |(_, at): &mut (Quorum, Millis)| now.since(*at) >= QUORUM_CHANGE_TIMEOUT;
        owned.next_quorum.take_if(timed_out);
        let free = owned.write.is_none() && owned.next_quorum.is_none() && now >= owned.retry_at;
        if !free || !self.store_up() || !self.needs_new_quorum(budget) {
            return;
        }
        let next = self.choose_quorum(budget);
        if let Some(owned) = self.accounts.get_mut(&budget)
            && next != owned.record.quorum
        {
            owned.next_quorum = Some((next, now));
        }
    }

    /// Whether a witness of an account is gone, or more routers could be witnesses.
    fn needs_new_quorum(&self, budget: BudgetId) -> bool {
        let Some(owned) = self.accounts.get(&budget) else {
            return false;
        };
        let witnesses = &owned.record.quorum.witnesses;
        let alive = self.peers.keys().filter(|&&id| self.is_alive(id)).count();
        let most = alive.min(usize::from(self.policy.witnesses));
        witnesses.len() < most || witnesses.iter().any(|&w| !self.is_alive(w))
    }

    /// Requests a higher mark from the witnesses if the current one will soon be reached.
    fn raise_marks(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, limit) = (self.now, self.limit(budget));
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        if owned.releasing {
            return;
        }
        // With marks above the ramp, a lost owner could have spent more than a takeover derives
        // from the ramp.
        let max = match owned.has_fault(Fault::MarkAboveRamp) {
            true => limit.min(owned.record.drawn),
            false => limit.min(owned.ramp_bound(now)),
        };
        let ahead = owned.rate.draw(now, MARK_AHEAD).max(owned.largest);
        let need = owned.used + owned.waiting_tokens();
        let low = (need + ahead / 2).min(max);
        let mark = (need + ahead).min(max).max(owned.used);
        let next_quorum = owned.next_quorum.iter().map(|(q, _)| (q, 0));
        let possible_records = owned.possible_records().map(|(r, _)| (&r.quorum, r.spent));
        let short = possible_records.chain(next_quorum);
        let short = short.filter(|(q, spent)| owned.marks.effective(q).max(*spent) < low);
        let mut witnesses: Vec<Incarnation> =
            short.flat_map(|(q, _)| q.witnesses.clone()).collect();
        witnesses.sort_unstable();
        witnesses.dedup();
        let body = Mark {
            budget,
            term: owned.term,
            mark,
        };
        for to in witnesses {
            if !owned.marks.request_if_due(now, to, mark) {
                continue;
            }
            if to != self.cfg.incarnation {
                let message = PrepaidMessage::Mark(body);
                out.push(Action::send(to, message));
            } else if self.witness_marks.raise(&body).is_ok() {
                owned.marks.ack(to, mark);
            }
        }
    }

    pub(super) fn on_marked(&mut self, from: Incarnation, body: &Marked, out: &mut Vec<Action>) {
        let budget = body.budget;
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        if owned.term != body.term {
            return;
        }
        if body.fenced.is_some() {
            return self.close(budget, CloseCause::Superseded, out);
        }
        owned.marks.ack(from, body.mark);
        if let Some(renewal) = owned.renewal.as_mut()
            && owned.record.quorum.witnesses.contains(&from)
        {
            renewal.acked.insert(from);
        }
        self.write_if_due(budget, out);
        self.serve(budget, out);
    }

    /// Writes the record if the ramp has to rise or the next quorum is ready, or reads it if the
    /// result of the last write is unknown.
    fn write_if_due(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, limit) = (self.now, self.limit(budget));
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        if now < owned.retry_at {
            return;
        }
        if let Some(write) = &owned.write {
            if write.unresolved && write.op.is_none() {
                self.read_back(budget, out);
            }
            return;
        }
        if owned.releasing {
            return;
        }
        let era = self.store_era;
        let Some(next) = owned.next_record(now, limit, self.clocks, self.cfg.incarnation, era)
        else {
            return;
        };
        self.write_record(budget, next, out);
    }

    /// Writes the record on the condition that its revision in the store is the last known one.
    pub(super) fn write_record(&mut self, budget: BudgetId, next: Account, out: &mut Vec<Action>) {
        let Some(expected_revision) = self.accounts.get(&budget).map(|a| a.revision) else {
            return;
        };
        let request = StoreRequest::Cas {
            key: record::key(budget),
            expected_revision,
            value: record::encode(&next),
        };
        let op = self.call_store(budget, request, out);
        let sent = self.now;
        if let Some(owned) = self.accounts.get_mut(&budget) {
            owned.pending.push((next.clone(), sent));
            owned.write = Some(RecordWrite {
                record: next,
                sent,
                op: Some(op),
                unresolved: false,
            });
        }
    }

    fn read_back(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let key = record::key(budget);
        let op = self.call_store(budget, StoreRequest::Get { key }, out);
        let owned = self.accounts.get_mut(&budget);
        if let Some(write) = owned.and_then(|a| a.write.as_mut()) {
            write.op = Some(op);
        }
    }

    pub(super) fn on_write_result(
        &mut self,
        budget: BudgetId,
        op: u64,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        let Some(write) = owned.write.as_mut().filter(|w| w.op == Some(op)) else {
            return;
        };
        write.op = None;
        match result {
            StoreResult::Applied { revision } => {
                let (record, sent) = (write.record.clone(), write.sent);
                self.adopt_record(budget, record, *revision, sent, out);
            }
            StoreResult::Conflict => {
                write.unresolved = true;
                self.read_back(budget, out);
            }
            StoreResult::Unavailable if write.unresolved => owned.retry_at = now + STORE_RETRY,
            StoreResult::Unavailable => {
                // Nothing was written, so the record sets no bound.
                owned.write = None;
                owned.pending.pop();
                owned.releasing = owned.release_uncertain;
                owned.retry_at = now + STORE_RETRY;
            }
            StoreResult::Unknown => {
                write.unresolved = true;
                owned.release_uncertain |= owned.releasing;
                owned.retry_at = now + STORE_RETRY;
            }
            StoreResult::Missing if Revision(owned.revision).era() < self.store_era => {
                self.rewrite_record(budget, 0, out);
            }
            StoreResult::Missing => self.close(budget, CloseCause::Superseded, out),
            StoreResult::Value { revision, value } => {
                self.on_read_back(budget, *revision, value, out);
            }
        }
    }

    /// Finds out from the record in the store whether the last write took effect.
    fn on_read_back(
        &mut self,
        budget: BudgetId,
        revision: u64,
        value: &[u8],
        out: &mut Vec<Action>,
    ) {
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        if Revision(revision).era() > Revision(owned.revision).era() {
            return self.on_restored_record(budget, revision, value, out);
        }
        if revision == owned.revision {
            // The write has not taken effect but still may, so the record stays among the pending
            // ones.
            owned.write = None;
            return;
        }
        match from_cbor::<Account>(value) {
            Ok(record) if owned.accepts_record(&record) => {
                let sent = owned.record_sent_at(&record);
                self.adopt_record(budget, record, revision, sent, out);
            }
            Ok(_) => self.close(budget, CloseCause::Superseded, out),
            Err(e) => {
                log_unreadable(budget, revision, &e, out);
                self.close(budget, CloseCause::Superseded, out);
            }
        }
    }

    /// Makes a record that is in the store the current one.
    fn adopt_record(
        &mut self,
        budget: BudgetId,
        record: Account,
        revision: u64,
        sent: Millis,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        let released = record.owner.is_none();
        let is_old = record.era.is_some_and(|era| era < Revision(revision).era());
        owned.renewal = is_old.then(|| Renewal::new(now));
        owned.record = record;
        owned.revision = revision;
        owned.sent_at = sent;
        owned.pending.clear();
        owned.write = None;
        if released {
            return self.close(budget, CloseCause::Released, out);
        }
        self.announce_owner(budget, out);
        self.maintain(budget, out);
        self.serve(budget, out);
    }
}

impl OwnedAccount {
    /// Returns the record to write now, if one is due.
    fn next_record(
        &mut self,
        now: Millis,
        limit: u64,
        clocks: ClockSpread,
        owner: Incarnation,
        era: u64,
    ) -> Option<Account> {
        let rate = self.rate.draw(now, Millis(1_000));
        let left = limit.saturating_sub(self.used);
        let mut ramp = Ramp::new(rate, self.mean, left);
        let used = self.used;
        let ready = |q: &Quorum| self.marks.effective(q) >= used;
        let joined = self.next_quorum.take_if(|(q, _)| ready(q));
        let age = now.since(self.sent_at);
        let room = self.ramp_bound(now).saturating_sub(self.used);
        let need = self.waiting_tokens();
        let short = limit > self.used && room < need.max(ramp.ahead / 2).min(left);
        let urgent = need > room && left > 0 || joined.is_some();
        // If all routers are lost, a takeover writes off the ramp, so a ramp far above the draw is
        // replaced.
        let steep = room > 2 * (ramp.ahead + ramp.pace);
        let stale = age >= CHECKPOINT_INTERVAL && (self.record.spent < self.used || steep);
        if self.renewal.is_some() && !self.is_renewal_due() {
            return None;
        }
        let due =
            self.is_renewal_due() || short && age >= MIN_CHECKPOINT_INTERVAL || stale || urgent;
        if !due {
            return None;
        }
        // A takeover by the ramp assumes that no witness kept a mark above it.
        let marked = match self.has_fault(Fault::RampBelowMarks) {
            true => 0,
            false => self.marks.highest().saturating_sub(self.used),
        };
        ramp.ahead = ramp.ahead.max(need).min(left).max(marked);
        let max = ramp_max(limit, self.used, ramp.ahead, ramp.pace);
        let next = Account {
            owner: Some(owner),
            spent: self.used,
            drawn: max.drawn,
            late: Some(max.late),
            ahead: ramp.ahead,
            pace: ramp.pace,
            at: clocks.earliest(now),
            era: Some(era),
            settled: Some(self.settled),
            quorum: joined.map_or_else(|| self.record.quorum.clone(), |(q, _)| q),
            ..self.record.clone()
        };
        Some(next)
    }

    /// Returns when a record found in the store was sent. A record that is not pending here was
    /// sent by the previous owner and keeps the time known for it.
    fn record_sent_at(&self, record: &Account) -> Millis {
        let sent = self.pending.iter().find(|(pending, _)| pending == record);
        sent.map_or(self.sent_at, |(_, sent)| *sent)
    }

    /// Whether a record found in the store was written by this owner, or by the one before it in
    /// the same epoch.
    fn accepts_record(&self, record: &Account) -> bool {
        record.epoch == self.record.epoch
            && (record.owner == self.record.owner
                || self
                    .write
                    .as_ref()
                    .is_some_and(|w| w.record.owner == record.owner))
    }
}
