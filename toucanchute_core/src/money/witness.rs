use std::collections::BTreeMap;

use toucanchute_proto::{
    EntryId, GrantId, Incarnation, Millis,
    ledger::Entry,
    money::{Fence, Fenced, Forget, Held, Hold, MoneyMessage},
};

use super::{Action, Money, outbox::Purpose};
use crate::ledger::Fault;

/// Age at which a witness gets a debit committed itself, in milliseconds.
const PUSH_AFTER_MS: u64 = 15_000;

/// Debits that this router keeps as a witness until the ledger has them. It is a hand-over buffer
/// in memory: what has to last lives in the platform's service.
#[derive(Debug, Default)]
pub(super) struct Buffer {
    grants: BTreeMap<GrantId, Kept>,
}

/// Debits kept of one grant.
#[derive(Debug, Default)]
struct Kept {
    /// Each debit, after the transfer that opened its grant where the ledger may lack it.
    debits: BTreeMap<EntryId, (Vec<Entry>, Millis)>,
    /// Whether further debits are refused. Never undone.
    fenced: bool,
}

impl Buffer {
    /// Keeps a debit. Returns whether it is kept; it is not if the grant is fenced.
    fn keep(&mut self, now: Millis, body: &Hold) -> bool {
        let kept = self.grants.entry(body.grant).or_default();
        let Some(last) = body.debits.last() else {
            return false;
        };
        if kept.fenced {
            return kept.debits.contains_key(&last.id);
        }
        kept.debits
            .entry(last.id)
            .or_insert_with(|| (body.debits.clone(), now));
        true
    }

    /// Fences a grant and returns the debits kept of it.
    pub(super) fn fence(&mut self, grant: GrantId) -> Vec<Entry> {
        let kept = self.grants.entry(grant).or_default();
        kept.fenced = true;
        kept.debits
            .values()
            .flat_map(|(entries, _)| entries.clone())
            .collect()
    }

    pub(super) fn forget(&mut self, body: &Forget) {
        for &entry in &body.entries {
            self.remove(body.grant, entry);
        }
    }

    pub(super) fn remove(&mut self, grant: GrantId, entry: EntryId) {
        let Some(kept) = self.grants.get_mut(&grant) else {
            return;
        };
        kept.debits.remove(&entry);
        if kept.debits.is_empty() && !kept.fenced {
            self.grants.remove(&grant);
        }
    }

    /// Returns how many debits are kept.
    pub(super) fn len(&self) -> usize {
        self.grants.values().map(|k| k.debits.len()).sum()
    }
}

/// Being a witness.
impl Money {
    pub(super) fn on_hold(&mut self, from: Incarnation, body: &Hold, out: &mut Vec<Action>) {
        let other = body.witness != self.me();
        if (other && !self.has_fault(Fault::ForgetWitnessIncarnation)) || body.debits.is_empty() {
            return;
        }
        let Some(entry) = body.debits.last().map(|e| e.id) else {
            return;
        };
        let held = Held {
            witness: body.witness,
            grant: body.grant,
            entry,
        };
        let kept = !self.drained && self.buffer.keep(self.now, body);
        let message = match kept {
            true => MoneyMessage::Held(held),
            false => MoneyMessage::RefuseHold(held),
        };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn on_fence(&mut self, from: Incarnation, body: &Fence, out: &mut Vec<Action>) {
        let other = body.witness != self.me();
        if other && !self.has_fault(Fault::ForgetWitnessIncarnation) {
            return;
        }
        let message = MoneyMessage::Fenced(Fenced {
            witness: body.witness,
            grant: body.grant,
            shard: body.shard,
            debits: self.buffer.fence(body.grant),
        });
        out.push(Action::Send { to: from, message });
    }

    /// Gets debits committed that their holders did not get committed for long.
    pub(super) fn tick_buffer(&mut self) {
        let mut due = Vec::new();
        for (&grant, kept) in &self.buffer.grants {
            for (entries, since) in kept.debits.values() {
                let old = self.now.since(*since) >= Millis(PUSH_AFTER_MS);
                if old || self.draining {
                    due.push((grant, entries.clone()));
                }
            }
        }
        for (grant, entries) in due {
            let mut after = None;
            for entry in entries {
                let id = entry.id;
                self.propose(entry, Purpose::Kept { grant }, after);
                after = Some(id);
            }
        }
    }
}
