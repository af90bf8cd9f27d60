//! Discovery of the backend servers that register themselves in the store.

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{Millis, fleet::Found};

/// Time without a list after which registrations may have lapsed although their servers are alive.
const MIN_OUTAGE: Millis = Millis(1_500);

/// How long an agreement of the routers that all of them had lost the store explains a gap between
/// two lists.
const MAX_AGREEMENT_AGE: Millis = Millis(3_000);

/// Time for lapsed registrations to be renewed after an outage, including the pause between two
/// reads of the store.
const RENEWAL_TIME: Millis = Millis(2_600);

/// Time after the store came back from an older copy in which a backend server that had announced that
/// it is leaving may be listed as ready, until it has written its registration again or lost it.
const OLD_ENTRIES_TIME: Millis = Millis(10_000);

/// Result of applying a list of registrations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryUpdate {
    /// All backend servers that may get new work.
    pub live: Vec<Found>,
    /// Whether `live` differs from the previous result.
    pub changed: bool,
    /// Names of the backend servers that began to shut down or disappeared since the previous list.
    pub withdrawn: Vec<String>,
    /// Names of those among `withdrawn` that disappeared without an announcement that they were
    /// leaving.
    pub lapsed: Vec<String>,
}

/// Keeps the backend servers of the newest list. After an outage of the store it also keeps, for
/// some time, those whose registrations lapsed during the outage. If only this router could not
/// reach the store, it keeps none of those: the missing ones may have left as planned.
///
/// ```
/// use toucanchute_core::discovery::Discovery;
/// use toucanchute_proto::Millis;
///
/// let mut discovery = Discovery::default();
/// assert!(discovery.apply_list(Millis(0), Vec::new()).changed);
/// assert!(!discovery.apply_list(Millis(500), Vec::new()).changed);
/// ```
#[derive(Debug, Default)]
pub struct Discovery {
    /// Backend servers that may get new work, by name; absent before the first list.
    live: Option<BTreeMap<String, Found>>,
    listed_at: Millis,
    /// When all routers last agreed that they have lost the store.
    outage_at: Option<Millis>,
    /// Until when missing backend servers are kept, since they may register again.
    keep_until: Millis,
    /// Until when the list may have entries of an older copy of the store.
    distrust_until: Millis,
    /// Names of the backend servers that were withdrawn and have not registered again.
    withdrawn: BTreeSet<String>,
    /// Names of those that announced that they were leaving, which is final.
    left: BTreeSet<String>,
}

impl Discovery {
    /// Records that at `at` all routers agreed that none of them reaches the store.
    pub fn record_agreed_outage(&mut self, at: Millis) {
        self.outage_at = self.outage_at.max(Some(at));
    }

    /// Records that at `now` the store came back from an older copy: registrations may be missing until
    /// they are written again, and others may be older than what is known.
    pub fn record_restore(&mut self, now: Millis) {
        self.keep_until = self.keep_until.max(now + RENEWAL_TIME);
        self.distrust_until = now + OLD_ENTRIES_TIME;
    }

    /// Applies the list of registrations that was read at `now`.
    pub fn apply_list(&mut self, now: Millis, found: Vec<Found>) -> DiscoveryUpdate {
        let outage_agreed = self
            .outage_at
            .is_some_and(|at| now.since(at) <= MAX_AGREEMENT_AGE);
        if self.live.is_some() && outage_agreed && now.since(self.listed_at) >= MIN_OUTAGE {
            self.keep_until = now + RENEWAL_TIME;
        }
        self.listed_at = now;
        let mut live = BTreeMap::new();
        let mut update = DiscoveryUpdate::default();
        for found in found {
            let was_leaving = now < self.distrust_until && self.left.contains(&found.name);
            if found.leaving {
                self.left.insert(found.name.clone());
            }
            match found.leaving || was_leaving {
                true => self.withdraw(found.name, &mut update),
                false => {
                    self.withdrawn.remove(&found.name);
                    live.insert(found.name.clone(), found);
                }
            }
        }
        let before = self.live.take();
        for (name, old) in before.clone().unwrap_or_default() {
            let replaced = live.values().any(|f| f.address == old.address);
            if live.contains_key(&name) || self.withdrawn.contains(&name) {
                continue;
            }
            match now < self.keep_until && !replaced {
                true => drop(live.insert(name, old)),
                false => {
                    self.withdraw(name.clone(), &mut update);
                    update.lapsed.push(name);
                }
            }
        }
        update.changed = before.as_ref() != Some(&live);
        update.live = live.values().cloned().collect();
        self.live = Some(live);
        update
    }

    fn withdraw(&mut self, name: String, update: &mut DiscoveryUpdate) {
        if self.withdrawn.insert(name.clone()) {
            update.withdrawn.push(name);
        }
    }
}
