use std::collections::BTreeMap;

use toucanchute_proto::{
    EntryId, GrantId, Incarnation, Millis,
    ledger::Entry,
    money::{Fence, Fenced, Forget, Held, Hold, MoneyMessage},
};

use super::{Action, Money, outbox::EntryPurpose};
use crate::ledger::Fault;

/// Age at which a witness proposes a held debit itself, in milliseconds.
const WITNESS_COMMIT_AFTER_MS: u64 = 15_000;

/// Debits that this router holds as a witness until the ledger has committed them. The buffer is in
/// memory only; durable data is stored in the platform's service.
#[derive(Debug, Default)]
pub(super) struct WitnessBuffer {
    grants: BTreeMap<GrantId, BufferedDebits>,
}

/// Debits that are held for one grant.
#[derive(Debug, Default)]
struct BufferedDebits {
    /// For each debit the entries to commit, and the time of arrival. The debit is the last entry;
    /// before it comes the transfer that opened the grant, if that may not be committed yet.
    debits: BTreeMap<EntryId, (Vec<Entry>, Millis)>,
    /// Whether further debits are refused. A fence is never removed.
    fenced: bool,
}

impl WitnessBuffer {
    /// Adds a debit and returns whether it is held. A new debit of a fenced grant is not.
    fn hold(&mut self, now: Millis, body: &Hold) -> bool {
        let buffered = self.grants.entry(body.grant).or_default();
        let Some(last) = body.debits.last() else {
            return false;
        };
        if buffered.fenced {
            return buffered.debits.contains_key(&last.id);
        }
        buffered
            .debits
            .entry(last.id)
            .or_insert_with(|| (body.debits.clone(), now));
        true
    }

    /// Fences a grant and returns the debits held for it.
    pub(super) fn fence(&mut self, grant: GrantId) -> Vec<Entry> {
        let buffered = self.grants.entry(grant).or_default();
        buffered.fenced = true;
        buffered
            .debits
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
        let Some(buffered) = self.grants.get_mut(&grant) else {
            return;
        };
        buffered.debits.remove(&entry);
        if buffered.debits.is_empty() && !buffered.fenced {
            self.grants.remove(&grant);
        }
    }

    /// Returns the number of debits held.
    pub(super) fn len(&self) -> usize {
        self.grants.values().map(|k| k.debits.len()).sum()
    }
}

/// Witnessing of other routers' debits.
impl Money {
    pub(super) fn on_hold(&mut self, from: Incarnation, body: &Hold, out: &mut Vec<Action>) {
        let misdirected = body.witness != self.me();
        if (misdirected && !self.has_fault(Fault::ForgetWitnessIncarnation))
            || body.debits.is_empty()
        {
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
        let accepted = !self.drained && self.witness_buffer.hold(self.now, body);
        let message = match accepted {
            true => MoneyMessage::Held(held),
            false => MoneyMessage::RefuseHold(held),
        };
        out.push(Action::Send { to: from, message });
    }

    pub(super) fn on_fence(&mut self, from: Incarnation, body: &Fence, out: &mut Vec<Action>) {
        let misdirected = body.witness != self.me();
        if misdirected && !self.has_fault(Fault::ForgetWitnessIncarnation) {
            return;
        }
        let message = MoneyMessage::Fenced(Fenced {
            witness: body.witness,
            grant: body.grant,
            shard: body.shard,
            debits: self.witness_buffer.fence(body.grant),
        });
        out.push(Action::Send { to: from, message });
    }

    /// Proposes debits that were held for [`WITNESS_COMMIT_AFTER_MS`] or longer. When draining,
    /// proposes all debits held.
    pub(super) fn tick_witness_buffer(&mut self) {
        let mut due = Vec::new();
        for (&grant, buffered) in &self.witness_buffer.grants {
            for (entries, since) in buffered.debits.values() {
                let overdue = self.now.since(*since) >= Millis(WITNESS_COMMIT_AFTER_MS);
                if overdue || self.draining {
                    due.push((grant, entries.clone()));
                }
            }
        }
        for (grant, entries) in due {
            let mut after = None;
            for entry in entries {
                let id = entry.id;
                self.propose(entry, EntryPurpose::WitnessedDebit { grant }, after);
                after = Some(id);
            }
        }
    }
}
