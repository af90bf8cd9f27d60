use std::collections::BTreeMap;

use toucanchute_proto::{
    Millis,
    fleet::{Found, FoundBody, Registration},
};

/// Revisions whose removed keys are remembered, so that peers can be sent only what changed.
const MAX_REMOVALS: usize = 512;

/// Registrations of backend servers as of one revision of the store.
///
/// They include all changes up to `revision`, without gaps. Revisions are those of
/// [`Revision`](toucanchute_proto::Revision), so that any list of a later era replaces those of the
/// eras before.
#[derive(Debug, Default)]
pub(super) struct Registrations {
    /// Registered backend servers, by key in the store.
    entries: BTreeMap<String, RegisteredBackend>,
    /// Removed keys, by the revision of their removal.
    removed: BTreeMap<u64, Vec<String>>,
    /// All removals after this revision are remembered.
    removals_since: u64,
    /// Revision of the store; 0 before the first list.
    revision: u64,
    /// Backend servers that warm up by entries applied since the last
    /// [`Registrations::take_cold`], by name, and for how long.
    cold: Vec<(String, Millis)>,
}

#[derive(Debug)]
struct RegisteredBackend {
    revision: u64,
    backend: Found,
}

/// Result of applying a list or changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyOutcome {
    /// The registrations are of a later revision now.
    Updated,
    /// The revision was already known; nothing was applied.
    Unchanged,
    /// Earlier changes are missing; nothing was applied.
    Gap,
}

impl Registrations {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the registered backend servers, including those that are shutting down.
    pub(super) fn backends(&self) -> Vec<Found> {
        let backends = self.entries.values().map(|e| e.backend.clone());
        backends.collect()
    }

    /// Applies a whole list or changes.
    pub(super) fn apply(&mut self, body: FoundBody) -> ApplyOutcome {
        if body.revision <= self.revision {
            return ApplyOutcome::Unchanged;
        }
        let mut before = BTreeMap::new();
        match body.since {
            None => {
                before = std::mem::take(&mut self.entries);
                self.removed.clear();
                self.removals_since = body.revision;
            }
            Some(since) if since > self.revision || self.revision == 0 => return ApplyOutcome::Gap,
            Some(_) => {}
        }
        for entry in body.entries {
            let known = before.get(&entry.key).map(|e| e.revision);
            if known != Some(entry.revision) {
                self.record_cold(&entry);
            }
            self.apply_entry(entry, body.since.is_some());
        }
        self.revision = body.revision;
        self.drop_old_removals();
        ApplyOutcome::Updated
    }

    /// Returns the backend servers that warm up by entries that were new, and for how long from their
    /// arrival on.
    pub(super) fn take_cold(&mut self) -> Vec<(String, Millis)> {
        std::mem::take(&mut self.cold)
    }

    fn record_cold(&mut self, entry: &Registration) {
        let backend = entry.backend.as_ref();
        if let Some((backend, time)) = backend.and_then(|b| Some((b, b.cold_ms?))) {
            self.cold.push((backend.name.clone(), time));
        }
    }

    fn apply_entry(&mut self, entry: Registration, is_change: bool) {
        let Registration {
            key,
            revision,
            backend,
        } = entry;
        if is_change && revision <= self.revision {
            return;
        }
        match backend {
            Some(backend) => {
                self.entries
                    .insert(key, RegisteredBackend { revision, backend });
            }
            None => {
                self.entries.remove(&key);
                self.removed.entry(revision).or_default().push(key);
            }
        }
    }

    fn drop_old_removals(&mut self) {
        while self.removed.len() > MAX_REMOVALS {
            if let Some((revision, _)) = self.removed.pop_first() {
                self.removals_since = revision;
            }
        }
    }

    /// Returns the changes after revision `since`, or the whole list if the removals since then are
    /// no longer known.
    pub(super) fn changes_since(&self, since: u64) -> FoundBody {
        let since = Some(since).filter(|&s| s > 0 && s >= self.removals_since);
        let from = since.unwrap_or(0);
        let present = self.entries.iter().filter(|(_, e)| e.revision > from);
        let present = present.map(|(key, e)| Registration {
            key: key.clone(),
            revision: e.revision,
            backend: Some(e.backend.clone()),
        });
        let mut entries: Vec<_> = present.collect();
        if since.is_some() {
            let removed = self.removed.range(from + 1..);
            entries.extend(removed.flat_map(|(&revision, keys)| {
                keys.iter().map(move |key| Registration {
                    key: key.clone(),
                    revision,
                    backend: None,
                })
            }));
        }
        // A key may have been removed and registered again, so changes are sent in order.
        entries.sort_by_key(|e| e.revision);
        FoundBody {
            revision: self.revision,
            since,
            entries,
        }
    }
}
