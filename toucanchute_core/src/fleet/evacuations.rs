use std::collections::BTreeSet;

use toucanchute_proto::{Incarnation, Millis, Revision, fleet::EvacuationList};

use super::{Action, Fleet, fault::Fault};

/// Time after the store came back from an older copy for which an evacuation that the list lacks stays
/// in force, until the operator has written it again.
const RESTORE_TIME: Millis = Millis(10_000);

/// Failure domains that the operator ordered to evacuate.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    /// Revision of the store as of which `listed` holds; it never decreases.
    revision: u64,
    /// Domains of the newest list.
    listed: Vec<String>,
    /// Whether this router has ever known of an order. Lists without history are not sent to peers.
    is_used: bool,
    /// Domains that were evacuated when the store came back from an older copy.
    kept: BTreeSet<String>,
    /// Until when those stay evacuated.
    keep_until: Millis,
    /// Domains in the last [`Action::Evacuate`].
    in_force: BTreeSet<String>,
}

impl Evacuations {
    /// Returns the revision of the list; `None` if this router has never known of an order.
    pub(super) fn revision(&self) -> Option<u64> {
        self.is_used.then_some(self.revision)
    }

    /// Returns the list for a peer that has the one of `revision`; `None` if that is as new, or if no
    /// order was ever known.
    pub(super) fn newer_than(&self, revision: u64) -> Option<EvacuationList> {
        (self.is_used && self.revision > revision).then(|| EvacuationList {
            revision: self.revision,
            failure_domains: self.listed.clone(),
        })
    }

    /// Replaces the list unless it is of the same or a greater revision; returns whether the new one
    /// has other domains.
    fn apply(&mut self, now: Millis, list: EvacuationList) -> bool {
        if list.revision <= self.revision {
            return false;
        }
        let era = |revision| Revision(revision).era();
        if self.revision > 0 && era(list.revision) > era(self.revision) {
            self.kept.clone_from(&self.in_force);
            self.keep_until = now + RESTORE_TIME;
        }
        let changed = list.failure_domains != self.listed;
        self.is_used |= !list.failure_domains.is_empty();
        self.revision = list.revision;
        self.listed = list.failure_domains;
        changed
    }

    /// Evaluates which domains are evacuated; returns them if that changed.
    fn update(&mut self, now: Millis) -> Option<&BTreeSet<String>> {
        if now >= self.keep_until {
            self.kept.clear();
        }
        let listed = self.listed.iter().cloned();
        let domains: BTreeSet<String> = listed.chain(self.kept.iter().cloned()).collect();
        if domains == self.in_force {
            return None;
        }
        self.in_force = domains;
        Some(&self.in_force)
    }
}

impl Fleet {
    /// Applies a list of evacuations, from the store or from the peer `from`, and sends it on if it
    /// changed.
    pub(super) fn apply_evacuations(
        &mut self,
        now: Millis,
        list: EvacuationList,
        from: Option<Incarnation>,
        out: &mut Vec<Action>,
    ) {
        let changed = self.evacuations.apply(now, list);
        self.update_evacuations(now, out);
        if changed {
            self.push(from, out);
        }
    }

    /// Publishes the evacuated domains if they changed, also with time alone.
    pub(super) fn update_evacuations(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.has_fault(Fault::IgnoreEvacuations) {
            return;
        }
        if let Some(domains) = self.evacuations.update(now) {
            out.push(Action::Evacuate(domains.clone()));
        }
    }
}
