//! Backend servers that register themselves in the store.

use std::collections::{BTreeMap, BTreeSet};

use toucanchute_proto::{Millis, fleet::Found};

/// Time without a list after which registrations may have lapsed although their servers live.
const OUTAGE: Millis = Millis(1_500);

/// How long after the routers agreed that all of them have lost the store that explains a gap.
const AGREED_LATELY: Millis = Millis(3_000);

/// Time that lapsed registrations have to come back after an outage, with the pause between two
/// readings.
const RETURN_TIME: Millis = Millis(2_600);

/// What a list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryUpdate {
    /// All backend servers that may get new work.
    pub live: Vec<Found>,
    /// Whether they are others than before.
    pub changed: bool,
    /// Names of those that newly leave or left.
    pub withdrawn: Vec<String>,
    /// Names of those among `withdrawn` whose registrations went without a word that they leave.
    pub lapsed: Vec<String>,
}

/// Keeps the backend servers of the newest list, and over an outage of the store those whose
/// registrations lapsed meanwhile. A router that alone could not reach the store keeps none: what it
/// misses may have left as planned.
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
    /// Those that may get new work, by name; absent before the first list.
    live: Option<BTreeMap<String, Found>>,
    listed_at: Millis,
    /// When all routers last agreed that they have lost the store.
    outage_at: Option<Millis>,
    /// Time up to which those that are missing may still come back.
    return_until: Millis,
    /// Names that were told to leave and did not come back.
    withdrawn: BTreeSet<String>,
}

impl Discovery {
    /// Takes in that all routers agreed at `at` that they have lost the store.
    pub fn record_agreed_outage(&mut self, at: Millis) {
        self.outage_at = self.outage_at.max(Some(at));
    }

    /// Takes in the list that the store gave at `now`.
    pub fn apply_list(&mut self, now: Millis, found: Vec<Found>) -> DiscoveryUpdate {
        let for_all = self
            .outage_at
            .is_some_and(|at| now.since(at) <= AGREED_LATELY);
        if self.live.is_some() && for_all && now.since(self.listed_at) >= OUTAGE {
            self.return_until = now + RETURN_TIME;
        }
        self.listed_at = now;
        let mut live = BTreeMap::new();
        let mut change = DiscoveryUpdate::default();
        for found in found {
            match found.leaving {
                true => self.withdraw(found.name, &mut change),
                false => {
                    self.withdrawn.remove(&found.name);
                    live.insert(found.name.clone(), found);
                }
            }
        }
        let before = self.live.take();
        for (name, old) in before.clone().unwrap_or_default() {
            let moved = live.values().any(|f| f.address == old.address);
            if live.contains_key(&name) || self.withdrawn.contains(&name) {
                continue;
            }
            match now < self.return_until && !moved {
                true => drop(live.insert(name, old)),
                false => {
                    self.withdraw(name.clone(), &mut change);
                    change.lapsed.push(name);
                }
            }
        }
        change.changed = before.as_ref() != Some(&live);
        change.live = live.values().cloned().collect();
        self.live = Some(live);
        change
    }

    fn withdraw(&mut self, name: String, change: &mut DiscoveryUpdate) {
        if self.withdrawn.insert(name.clone()) {
            change.withdrawn.push(name);
        }
    }
}
