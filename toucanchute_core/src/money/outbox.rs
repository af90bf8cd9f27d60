use std::collections::{BTreeMap, BTreeSet};

use rand::seq::IndexedRandom;
use toucanchute_proto::{
    EntryId, GrantId, Incarnation, Millis, ShardId,
    ledger::Entry,
    money::{MoneyMessage, Propose, Proposed},
};

use super::{Action, CallId, Money, writer::ResultRoute};

/// Delay before an entry without a result is sent for the second time, in milliseconds. The delay
/// doubles with each further send.
const RESEND_MS: u64 = 200;

/// Longest delay between two sends of an entry, in milliseconds.
const MAX_RESEND_MS: u64 = 2_000;

/// Number of sends to a shard's writer after which further sends also go through another peer.
const RELAY_AFTER_SENDS: u32 = 2;

/// Age at which this router also commits an entry itself, in milliseconds.
const SELF_COMMIT_AFTER_MS: u64 = 900;

/// Most entries that are sent again in one tick.
const MAX_RESENT_ENTRIES: usize = 256;

/// An entry whose result is not known yet.
#[derive(Debug)]
pub(super) struct PendingEntry {
    pub(super) entry: Entry,
    pub(super) purpose: EntryPurpose,
    pub(super) proposed_at: Millis,
    /// An entry that must have its result before this one is sent.
    pub(super) after: Option<EntryId>,
    pub(super) last_sent_at: Millis,
    pub(super) send_count: u32,
    /// Witnesses that acknowledged that they hold the entry.
    pub(super) held_by: BTreeSet<Incarnation>,
    pub(super) hold_sent_at: Option<Millis>,
    /// Whether the entry took effect before its commit, on the witnesses' acknowledgements.
    pub(super) released: bool,
}

/// What an entry was proposed for, which decides how its result is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EntryPurpose {
    /// A bill of this router.
    Settle {
        call: CallId,
        grant: GrantId,
        tokens: u64,
    },
    /// A request for a grant.
    Grant,
    /// A return of tokens.
    Return {
        grant: GrantId,
        tokens: u64,
    },
    /// A transfer of tokens to another router.
    OutgoingTransfer {
        from: GrantId,
        grant: GrantId,
        tokens: u64,
    },
    /// The transfer that opened a grant of this router.
    IncomingTransfer {
        grant: GrantId,
    },
    /// The intent of a non-idempotent call that waits to be sent.
    Intent {
        call: CallId,
        grant: GrantId,
        tokens: u64,
        deadline: Millis,
    },
    /// The intent of a non-idempotent call that was refused before the intent's result was known.
    AbandonedIntent {
        grant: GrantId,
        tokens: u64,
    },
    /// The outcome of a non-idempotent call. No caller waits for the result.
    Outcome,
    TopUp {
        call: CallId,
    },
    WriteOff {
        call: CallId,
    },
    Reclaim {
        grant: GrantId,
    },
    /// A debit that this router holds as a witness.
    WitnessedDebit {
        grant: GrantId,
    },
    /// An operator's call that was refused because its result took too long.
    AbandonedCall,
}

/// Proposals of entries to the writers of their shards.
impl Money {
    /// Queues an entry for its shard's log, to be sent after the result of the entry `after`. Does
    /// nothing if the entry is in the outbox already.
    pub(super) fn propose(&mut self, entry: Entry, purpose: EntryPurpose, after: Option<EntryId>) {
        let id = entry.id;
        if self.outbox.contains_key(&id) {
            return;
        }
        let pending = PendingEntry {
            entry,
            purpose,
            proposed_at: self.now,
            after: after.filter(|a| self.outbox.contains_key(a)),
            last_sent_at: self.now,
            send_count: 0,
            held_by: BTreeSet::new(),
            hold_sent_at: None,
            released: false,
        };
        self.outbox.insert(id, pending);
        self.unsent_entries.insert(id);
    }

    /// Sends entries that were not sent yet and do not wait for the result of another entry.
    pub(super) fn send_unsent(&mut self, out: &mut Vec<Action>) {
        if self.unsent_entries.is_empty() {
            return;
        }
        let ready: Vec<_> = self
            .unsent_entries
            .iter()
            .copied()
            .filter(|id| self.is_ready_to_send(*id))
            .collect();
        for id in &ready {
            self.unsent_entries.remove(id);
        }
        self.send_entries(&ready, out);
    }

    pub(super) fn tick_outbox(&mut self, out: &mut Vec<Action>) {
        let due: Vec<_> = self
            .outbox
            .keys()
            .copied()
            .filter(|id| self.is_resend_due(*id))
            .take(MAX_RESENT_ENTRIES)
            .collect();
        self.send_entries(&due, out);
    }

    fn is_ready_to_send(&self, id: EntryId) -> bool {
        let after = self.outbox.get(&id).and_then(|o| o.after);
        after.is_none_or(|a| !self.outbox.contains_key(&a))
    }

    fn is_resend_due(&self, id: EntryId) -> bool {
        let Some(pending) = self.outbox.get(&id).filter(|o| o.send_count > 0) else {
            return false;
        };
        let pause = (RESEND_MS << pending.send_count.min(8).saturating_sub(1)).min(MAX_RESEND_MS);
        self.now >= pending.last_sent_at + Millis(pause)
    }

    fn send_entries(&mut self, ids: &[EntryId], out: &mut Vec<Action>) {
        let mut by_shard: BTreeMap<ShardId, ShardBatch> = BTreeMap::new();
        for id in ids {
            let shard = self.outbox.get(id).map(|o| self.shard_of(o.entry.budget));
            let (Some(pending), Some(shard)) = (self.outbox.get_mut(id), shard) else {
                continue;
            };
            pending.send_count += 1;
            pending.last_sent_at = self.now;
            let batch = by_shard.entry(shard).or_default();
            batch.send_count = batch.send_count.max(pending.send_count);
            batch.age = batch.age.max(self.now.since(pending.proposed_at));
            batch.entries.push(pending.entry.clone());
        }
        for (shard, batch) in by_shard {
            self.send_batch(shard, batch, out);
        }
    }

    fn send_batch(&mut self, shard: ShardId, batch: ShardBatch, out: &mut Vec<Action>) {
        let writer = self.writer_of(shard);
        let me = self.me();
        let propose = |entries| Propose {
            shard,
            origin: me,
            relayed: false,
            entries,
        };
        if writer != me {
            let message = MoneyMessage::Propose(propose(batch.entries.clone()));
            out.push(Action::Send {
                to: writer,
                message,
            });
            if batch.send_count > RELAY_AFTER_SENDS {
                self.relay_through_peer(writer, propose(batch.entries.clone()), out);
            }
        }
        if writer == me || batch.age >= Millis(SELF_COMMIT_AFTER_MS) {
            let route = ResultRoute {
                origin: me,
                via: me,
            };
            self.enqueue(shard, batch.entries, route);
        }
    }

    fn relay_through_peer(&mut self, writer: Incarnation, body: Propose, out: &mut Vec<Action>) {
        let mut peers = self.alive_peers();
        peers.retain(|&id| id != writer);
        if let Some(&to) = peers.choose(&mut self.rng) {
            let message = MoneyMessage::Propose(body);
            out.push(Action::Send { to, message });
        }
    }

    /// Handles the results of this router's entries, or relays those of another router's entries.
    pub(super) fn on_proposed(&mut self, body: Proposed, out: &mut Vec<Action>) {
        if body.origin != self.me() {
            let to = body.origin;
            if !self.is_alive(to) {
                return;
            }
            let message = MoneyMessage::Proposed(body);
            out.push(Action::Send { to, message });
            return;
        }
        for result in body.results {
            self.resolve(result.entry, result.result, out);
        }
    }
}

#[derive(Default)]
struct ShardBatch {
    entries: Vec<Entry>,
    send_count: u32,
    age: Millis,
}
