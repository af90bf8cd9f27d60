use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{
    BudgetId, EntryId, GrantId, Incarnation, Millis, RequestKey,
    ledger::{
        Batch, BudgetRecord, Entry, EntryBody, EntryRefusal, EntryResult, GrantRecord,
        HolderRecord, KeyRecord, Snapshot, Statement, TopUp, TopUpRecord,
    },
};

use super::{ApplyError, Fault};

/// Maximum number of runs of one key after its first; these are not billed.
pub const MAX_RERUNS: usize = 8;

/// Maximum number of recorded attempts of one key that ended without running. Once it is reached,
/// the ledger refuses further attempts.
pub const MAX_ENDED_ATTEMPTS: usize = 16;

/// Maximum difference between routers' clocks that the expiry of keys allows for.
pub const MAX_CLOCK_SKEW: Millis = Millis(60_000);

/// State of one ledger shard: a pure function of the batches applied.
///
/// ```
/// use toucanchute_core::ledger::ShardState;
/// use toucanchute_proto::{BudgetId, EntryId, Incarnation, Millis};
/// use toucanchute_proto::ledger::{Batch, Entry, EntryBody, EntryResult, TopUp};
///
/// let budget = BudgetId::from_name("north");
/// let body = EntryBody::TopUp(TopUp { top_up: "t-1".to_owned(), tokens: 500 });
/// let entry = Entry { id: EntryId(Incarnation(1), 1), budget, body };
/// let batch = Batch { position: 0, batch_id: entry.id, at: Millis(1), entries: vec![entry] };
/// let mut state = ShardState::default();
/// assert_eq!(state.apply(&batch).unwrap(), [EntryResult::Done]);
/// assert_eq!(state.statement(budget).free, 500);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardState {
    /// Position of the next batch.
    pub(super) position: u64,
    /// Ledger time: the latest time of any batch applied so far.
    pub(super) time: Millis,
    /// Totals of each budget, with `topped_up == free + spent + remainders of its grants`.
    pub(super) budgets: BTreeMap<BudgetId, BudgetRecord>,
    /// Grants that are open or forfeited. A closed grant is removed and is never opened again.
    pub(super) grants: BTreeMap<GrantId, GrantRecord>,
    pub(super) keys: BTreeMap<RequestKey, KeyRecord>,
    /// The keys of `keys`, in the order in which they expire.
    pub(super) expiry: BTreeSet<(Millis, RequestKey)>,
    /// Newest grant requested by each holder; older ones are never opened again.
    pub(super) holders: BTreeMap<Incarnation, HolderRecord>,
    pub(super) top_ups: BTreeMap<String, TopUpRecord>,
    pub(super) fault: Option<Fault>,
}

impl ShardState {
    /// Returns the state that `snapshot` describes.
    #[must_use]
    pub fn from_snapshot(snapshot: Snapshot) -> ShardState {
        let expiry = snapshot.keys.iter().map(|k| (k.expires, k.key)).collect();
        ShardState {
            position: snapshot.position,
            time: snapshot.time,
            budgets: index_by(snapshot.budgets, |b| b.budget),
            grants: index_by(snapshot.grants, |g| g.grant),
            keys: index_by(snapshot.keys, |k| k.key),
            expiry,
            holders: index_by(snapshot.holders, |h| h.holder),
            top_ups: index_by(snapshot.top_ups, |t| t.top_up.clone()),
            fault: None,
        }
    }

    /// Injects a fault, for tests.
    #[doc(hidden)]
    pub fn set_fault(&mut self, fault: Option<Fault>) {
        self.fault = fault;
    }
}

/// Queries.
impl ShardState {
    /// Returns the position of the next batch.
    #[must_use]
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the ledger time: the latest time of any batch applied so far.
    #[must_use]
    pub fn time(&self) -> Millis {
        self.time
    }

    /// Returns the ledger time of the last entry written by `router`, or `None` if it has never
    /// requested a grant.
    #[must_use]
    pub fn last_entry_time(&self, router: Incarnation) -> Option<Millis> {
        self.holders.get(&router).map(|holder| holder.heard)
    }

    /// Iterates over the grants that are open or forfeited.
    pub fn grants(&self) -> impl Iterator<Item = &GrantRecord> {
        self.grants.values()
    }

    /// Returns a grant that is open or forfeited.
    #[must_use]
    pub fn grant(&self, id: GrantId) -> Option<&GrantRecord> {
        self.grants.get(&id)
    }

    /// Iterates over the budgets' totals.
    pub fn budgets(&self) -> impl Iterator<Item = &BudgetRecord> {
        self.budgets.values()
    }

    /// Returns the record of a key, unless it is unknown or was removed after its expiry.
    #[must_use]
    pub fn key(&self, key: RequestKey) -> Option<&KeyRecord> {
        self.keys.get(&key)
    }

    /// Iterates over the records of keys.
    pub fn keys(&self) -> impl Iterator<Item = &KeyRecord> {
        self.keys.values()
    }

    /// Returns the totals and grants of one budget; all totals of an unknown budget are 0.
    #[must_use]
    pub fn statement(&self, budget: BudgetId) -> Statement {
        let totals = self
            .budgets
            .get(&budget)
            .cloned()
            .unwrap_or_else(|| empty_record(budget));
        let grants: Vec<_> = self
            .grants
            .values()
            .filter(|g| g.budget == budget)
            .cloned()
            .collect();
        let sum = |forfeited| {
            let matching = grants.iter().filter(|g| g.forfeited == forfeited);
            matching.map(|g| g.remainder).sum()
        };
        Statement {
            budget,
            topped_up: totals.topped_up,
            free: totals.free,
            spent: totals.spent,
            written_off: totals.written_off,
            granted: sum(false),
            forfeited: sum(true),
            grants,
        }
    }

    /// Returns a snapshot from which [`ShardState::from_snapshot`] restores an equal state.
    #[must_use]
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            position: self.position,
            time: self.time,
            budgets: self.budgets.values().cloned().collect(),
            grants: self.grants.values().cloned().collect(),
            keys: self.keys.values().cloned().collect(),
            holders: self.holders.values().cloned().collect(),
            top_ups: self.top_ups.values().cloned().collect(),
        }
    }
}

/// Application of batches.
impl ShardState {
    /// Applies the next batch and returns each entry's result.
    ///
    /// # Errors
    ///
    /// Fails if the batch is not the next one, or if the free, spent and granted tokens of a budget
    /// no longer add up to the tokens topped up.
    pub fn apply(&mut self, batch: &Batch) -> Result<Vec<EntryResult>, ApplyError> {
        if batch.position != self.position {
            return Err(ApplyError::UnexpectedPosition {
                expected: self.position,
                found: batch.position,
            });
        }
        self.time = self.time.max(batch.at);
        for entry in &batch.entries {
            let EntryId(origin, _) = entry.id;
            if let Some(holder) = self.holders.get_mut(&origin) {
                holder.heard = self.time;
            }
        }
        let results = batch.entries.iter().map(|e| self.apply_entry(e)).collect();
        self.position += 1;
        self.remove_expired_keys();
        for budget in batch
            .entries
            .iter()
            .map(|e| e.budget)
            .collect::<BTreeSet<_>>()
        {
            self.check_balance(budget)?;
        }
        Ok(results)
    }

    pub(super) fn apply_entry(&mut self, entry: &Entry) -> EntryResult {
        let (id, budget) = (entry.id, entry.budget);
        let result = match &entry.body {
            EntryBody::TopUp(body) => self.top_up(budget, body),
            EntryBody::Grant(body) => self.open_grant(budget, body),
            EntryBody::Return(body) => self.return_tokens(budget, body),
            EntryBody::Transfer(body) => self.transfer(budget, body),
            EntryBody::Settle(body) => self.settle(id, budget, body),
            EntryBody::Reclaim(body) => self.reclaim(budget, body),
            EntryBody::WriteOff(grant) => self.write_off(budget, *grant),
            EntryBody::Intent(body) => self.announce(budget, body),
            EntryBody::Outcome(body) => self.record_outcome(body),
        };
        result.unwrap_or_else(EntryResult::Refused)
    }

    fn top_up(&mut self, budget: BudgetId, body: &TopUp) -> Result<EntryResult, EntryRefusal> {
        let deduplicate = self.fault != Some(Fault::RecreditTopUp);
        if let Some(record) = self.top_ups.get(&body.top_up).filter(|_| deduplicate) {
            return match record.budget == budget && record.tokens == body.tokens {
                true => Ok(EntryResult::Done),
                false => Err(EntryRefusal::TopUpReused),
            };
        }
        let totals = self
            .budgets
            .entry(budget)
            .or_insert_with(|| empty_record(budget));
        let topped_up = totals.topped_up.checked_add(body.tokens);
        totals.topped_up = topped_up.ok_or(EntryRefusal::Malformed)?;
        totals.free += body.tokens;
        let record = TopUpRecord {
            top_up: body.top_up.clone(),
            budget,
            tokens: body.tokens,
        };
        self.top_ups.insert(body.top_up.clone(), record);
        Ok(EntryResult::Done)
    }

    /// Checks that the parts of a budget add up to the tokens topped up.
    fn check_balance(&self, budget: BudgetId) -> Result<(), ApplyError> {
        let Some(totals) = self.budgets.get(&budget) else {
            return Ok(());
        };
        let grants = self.grants.values().filter(|g| g.budget == budget);
        let in_grants: u64 = grants.map(|g| g.remainder).sum();
        let parts = totals.free + totals.spent + in_grants;
        if parts == totals.topped_up {
            return Ok(());
        }
        Err(ApplyError::Unbalanced {
            budget,
            topped_up: totals.topped_up,
            parts,
        })
    }
}

fn empty_record(budget: BudgetId) -> BudgetRecord {
    BudgetRecord {
        budget,
        topped_up: 0,
        free: 0,
        spent: 0,
        written_off: 0,
    }
}

fn index_by<K: Ord, T>(records: Vec<T>, key: impl Fn(&T) -> K) -> BTreeMap<K, T> {
    records.into_iter().map(|r| (key(&r), r)).collect()
}
