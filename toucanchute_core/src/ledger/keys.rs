use toucanchute_proto::{
    AttemptId, BudgetId, Digest, EntryId, Millis, RequestKey,
    ledger::{
        AnnouncedKey, Answer, Bill, BilledKey, EntryRefusal, EntryResult, Intent, IntentOutcome,
        KeyRecord, KeyState,
    },
};

use super::{Fault, MAX_CLOCK_SKEW, MAX_ENDED_ATTEMPTS, MAX_RERUNS, ShardState};

type ApplyResult = Result<EntryResult, EntryRefusal>;

/// Applies entries that concern requests: bills, intents and their outcomes.
impl ShardState {
    pub(super) fn settle(&mut self, id: EntryId, budget: BudgetId, body: &Bill) -> ApplyResult {
        let deduplicate = self.fault != Some(Fault::SkipDeduplication);
        if let Some(record) = self.keys.get_mut(&body.key).filter(|_| deduplicate) {
            return settle_known_key(record, id, body.digest);
        }
        if body.tokens == 0 {
            return Err(EntryRefusal::Malformed);
        }
        let grant = self
            .grants
            .get(&body.grant)
            .ok_or(EntryRefusal::GrantClosed)?;
        if is_expired(body.expires, grant.opened_at) {
            return Err(EntryRefusal::KeyExpired);
        }
        self.debit(budget, body.grant, body.tokens)?;
        let state = KeyState::Billed(BilledKey {
            by: id,
            reruns: Vec::new(),
        });
        self.insert_key(body.key, body.digest, body.expires, state);
        Ok(EntryResult::Billed)
    }

    pub(super) fn announce(&mut self, budget: BudgetId, body: &Intent) -> ApplyResult {
        if let Some(record) = self.keys.get_mut(&body.key)
            && let Some(result) = announce_known_key(record, body)
        {
            return result;
        }
        if is_expired(body.expires, self.time) {
            return Err(EntryRefusal::KeyExpired);
        }
        if body.tokens > 0 {
            self.debit(budget, body.grant, body.tokens)?;
        }
        let state = KeyState::Announced(AnnouncedKey {
            attempt: body.attempt,
            budget,
            grant: body.grant,
            tokens: body.tokens,
            answer: None,
        });
        self.insert_key(body.key, body.digest, body.expires, state);
        Ok(EntryResult::Accepted)
    }

    pub(super) fn record_outcome(&mut self, body: &IntentOutcome) -> ApplyResult {
        let Some(record) = self.keys.get_mut(&body.key) else {
            if body.answer == Answer::NotRun {
                self.insert_key(body.key, Digest::default(), body.expires, KeyState::Free);
                self.record_ended_attempt(body.key, body.attempt);
            }
            return Ok(EntryResult::Done);
        };
        match &mut record.state {
            KeyState::Announced(call) if call.attempt == body.attempt => {
                if call.answer.is_some() {
                    return Ok(EntryResult::Done);
                }
                if body.answer != Answer::NotRun {
                    call.answer = Some(body.answer.clone());
                    return Ok(EntryResult::Done);
                }
                if let Some(totals) = self.budgets.get_mut(&call.budget) {
                    totals.spent -= call.tokens;
                    totals.free += call.tokens;
                }
                record.state = KeyState::Free;
                self.record_ended_attempt(body.key, body.attempt);
            }
            _ if body.answer == Answer::NotRun => self.record_ended_attempt(body.key, body.attempt),
            _ => {}
        }
        Ok(EntryResult::Done)
    }

    /// Removes keys that expired before the oldest open grant was opened. No debit for such a key
    /// can still arrive: it would have to come from a grant that was open before the key expired.
    pub(super) fn remove_expired_keys(&mut self) {
        let earliest_opened = self.grants.values().map(|g| g.opened_at).min();
        let horizon = earliest_opened.unwrap_or(Millis::MAX).min(self.time);
        while let Some(&(expires, key)) = self.expiry.first() {
            if !is_expired(expires, horizon) {
                return;
            }
            self.expiry.pop_first();
            self.keys.remove(&key);
        }
    }

    fn insert_key(&mut self, key: RequestKey, digest: Digest, expires: Millis, state: KeyState) {
        let old = self.keys.remove(&key);
        if let Some(old) = &old {
            self.expiry.remove(&(old.expires, key));
        }
        let expires = old.as_ref().map_or(expires, |old| old.expires.max(expires));
        let record = KeyRecord {
            key,
            digest,
            expires,
            state,
            ended: old.map(|old| old.ended).unwrap_or_default(),
        };
        self.expiry.insert((expires, key));
        self.keys.insert(key, record);
    }

    fn record_ended_attempt(&mut self, key: RequestKey, attempt: AttemptId) {
        if let Some(record) = self.keys.get_mut(&key) {
            push_ended_attempt(record, attempt);
        }
    }
}

fn push_ended_attempt(record: &mut KeyRecord, attempt: AttemptId) {
    if !record.ended.contains(&attempt) {
        record.ended.push(attempt);
    }
}

fn settle_known_key(record: &mut KeyRecord, id: EntryId, digest: Digest) -> ApplyResult {
    if record.digest != digest {
        return Err(EntryRefusal::KeyReused);
    }
    let KeyState::Billed(billed) = &mut record.state else {
        return Err(EntryRefusal::KeyReused);
    };
    if billed.by == id {
        return Ok(EntryResult::Billed);
    }
    if billed.reruns.contains(&id) {
        return Ok(EntryResult::Duplicate);
    }
    if billed.reruns.len() >= MAX_RERUNS {
        return Err(EntryRefusal::TooManyReruns);
    }
    billed.reruns.push(id);
    Ok(EntryResult::Duplicate)
}

/// Returns the result of announcing a call whose key has a record, or `None` if the call may be
/// announced as a new one.
fn announce_known_key(record: &mut KeyRecord, body: &Intent) -> Option<ApplyResult> {
    if record.state == KeyState::Free {
        if record.ended.contains(&body.attempt) {
            return Some(Err(EntryRefusal::AttemptEnded));
        }
        let full = record.ended.len() >= MAX_ENDED_ATTEMPTS;
        return full.then_some(Err(EntryRefusal::TooManyReruns));
    }
    if record.digest != body.digest {
        return Some(Err(EntryRefusal::KeyReused));
    }
    let KeyState::Announced(call) = &record.state else {
        return Some(Err(EntryRefusal::KeyReused));
    };
    let result = match &call.answer {
        // Another router abandoned this attempt and recorded its outcome. The call is billed, so
        // the router that sent it has to be notified.
        Some(answer) if call.attempt == body.attempt => EntryResult::Ended(answer.clone()),
        Some(answer) => EntryResult::Recorded(answer.clone()),
        None if call.attempt == body.attempt => EntryResult::Accepted,
        None => EntryResult::Pending(call.attempt),
    };
    if matches!(result, EntryResult::Pending(_)) && record.ended.len() < MAX_ENDED_ATTEMPTS {
        push_ended_attempt(record, body.attempt);
    }
    Some(Ok(result))
}

/// Returns whether a key that expires at `expires` has expired at `now` on every router's clock.
fn is_expired(expires: Millis, now: Millis) -> bool {
    expires + MAX_CLOCK_SKEW < now
}
