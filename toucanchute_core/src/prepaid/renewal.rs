use toucanchute_proto::{
    BudgetId, DecodeError, Incarnation, Millis, Revision, from_cbor,
    prepaid::{Account, Mark, PrepaidMessage},
};

use super::{AccountEvent, Action, CloseCause, PrepaidAccounts, account::Renewal};

/// Time for enough witnesses to acknowledge a mark before the record is written again in a new era of
/// the store. An owner that cannot prove that it still is one gives the account up.
const RENEWAL_TIMEOUT: Millis = Millis(5_000);

/// Writes records again in a store that came back from an older copy.
impl PrepaidAccounts {
    /// Before the record is written again in a new era of the store, requests the current mark from its
    /// witnesses once more. They refuse it if another router has taken the account over.
    pub(super) fn prove_ownership(&mut self, budget: BudgetId, out: &mut Vec<Action>) {
        let (now, me) = (self.now, self.me());
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        let Some(Renewal { since, acked }) = owned.renewal.as_mut() else {
            return;
        };
        if now.since(*since) >= RENEWAL_TIMEOUT {
            return self.close(budget, CloseCause::Superseded, out);
        }
        let body = Mark {
            budget,
            term: owned.term,
            mark: owned.marks.highest().max(owned.used),
        };
        if owned.record.quorum.witnesses.contains(&me) && self.witness_marks.raise(&body).is_ok() {
            acked.insert(me);
        }
        let silent = owned.record.quorum.witnesses.iter();
        let silent: Vec<Incarnation> = silent.filter(|w| !acked.contains(w)).copied().collect();
        for to in silent.into_iter().filter(|&to| to != me) {
            if owned.marks.request_again_if_due(now, to, body.mark) {
                let message = PrepaidMessage::Mark(body);
                out.push(Action::send(to, message));
            }
        }
    }

    /// Handles a record in a store that came back from an older copy. Unless a router with a later
    /// claim has written it, this owner knows more than it says, and writes its own again.
    pub(super) fn on_restored_record(
        &mut self,
        budget: BudgetId,
        revision: u64,
        value: &[u8],
        out: &mut Vec<Action>,
    ) {
        let me = self.me();
        let Some(owned) = self.accounts.get(&budget) else {
            return;
        };
        let era = Revision(revision).era();
        let mut contested = false;
        let superseded = match from_cbor::<Account>(value) {
            Ok(record) => {
                contested = record.era == Some(era) && record.owner != Some(me);
                record.epoch > owned.record.epoch || contested && record.epoch == owned.record.epoch
            }
            Err(e) => {
                log_unreadable(budget, revision, &e, out);
                true
            }
        };
        if superseded {
            return self.close(budget, CloseCause::Superseded, out);
        }
        if contested {
            self.write_off_rest(budget);
        }
        self.rewrite_record(budget, revision, out);
    }

    /// Writes off what is left of an account from which another router, which this one superseded in an
    /// era that the store has forgotten, has spent since.
    fn write_off_rest(&mut self, budget: BudgetId) {
        let limit = self.limit(budget);
        if let Some(owned) = self.accounts.get_mut(&budget) {
            let rest = limit.saturating_sub(owned.used);
            owned.used += rest;
            owned.record.lost += rest;
            owned.record.settles_from = Some(owned.term.epoch);
        }
    }

    /// Writes an account's record over the one that the store has at `revision`.
    pub(super) fn rewrite_record(
        &mut self,
        budget: BudgetId,
        revision: u64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(owned) = self.accounts.get_mut(&budget) else {
            return;
        };
        owned.revision = revision;
        owned.write = None;
        owned.begin_renewal(now);
        self.maintain(budget, out);
    }
}

/// Logs a record that cannot be decoded.
pub(super) fn log_unreadable(
    budget: BudgetId,
    revision: u64,
    error: &DecodeError,
    out: &mut Vec<Action>,
) {
    let error = error.to_string();
    out.push(Action::Log(AccountEvent::Unreadable {
        budget,
        revision,
        error,
    }));
}
