use std::collections::BTreeMap;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{BackendHint, HintedState, Member, Standing, Verdict},
};

use super::{load_rumors::LoadRumors, members::Members};
use crate::hash;

/// Number of messages that carry one rumor, plus one for each doubling of the fleet's size.
const BASE_COPIES: u32 = 4;

/// Most member updates in one message.
const MAX_MEMBERS: usize = 24;

/// Most quarantines in one message.
const MAX_QUARANTINES: usize = 128;

/// Most hints about backend servers in one message.
const MAX_HINTS: usize = 16;

/// Time for which hints about backend servers are sent to new peers.
const HINT_RETENTION: Millis = Millis(60_000);

/// A hint about a backend server, the number of messages that still have to carry it, and when it
/// was added.
type HintRumor = (BackendHint, u32, Millis);

/// Updates to gossip, each with the number of messages that still have to carry it.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    members: BTreeMap<Incarnation, u32>,
    verdicts: BTreeMap<Digest, (Verdict, u32)>,
    /// Hints about backend servers, by name and whether the hint is that the server is leaving.
    hints: BTreeMap<(String, bool), HintRumor>,
    pub(super) loads: LoadRumors,
}

impl Rumors {
    pub(super) fn add_member(&mut self, id: Incarnation, fleet: usize) {
        self.members.insert(id, copies(fleet));
    }

    /// Adds a verdict unless one with the same or a greater rank is known; returns whether it was
    /// added.
    pub(super) fn add_verdict(&mut self, v: &Verdict, fleet: usize) -> bool {
        let rank = |v: &Verdict| (v.until, v.standing);
        if self
            .verdicts
            .get(&v.digest)
            .is_some_and(|(old, _)| rank(old) >= rank(v))
        {
            return false;
        }
        self.verdicts.insert(v.digest, (v.clone(), copies(fleet)));
        true
    }

    /// Adds a hint about a backend server unless one with the same or a greater version is known;
    /// returns whether it was added. That a server is leaving is final, so one such hint is enough.
    pub(super) fn add_hint(&mut self, now: Millis, hint: &BackendHint, fleet: usize) -> bool {
        let rank = |h: &BackendHint| (h.version, h.router);
        let key = (hint.backend.clone(), hint.state == HintedState::Leaving);
        let old = self.hints.get(&key);
        let is_known = |old: &BackendHint| key.1 || rank(old) >= rank(hint);
        if old.is_some_and(|(old, ..)| is_known(old)) {
            return false;
        }
        self.hints.insert(key, (hint.clone(), copies(fleet), now));
        true
    }

    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.hints
            .retain(|_, (_, _, added)| now.since(*added) < HINT_RETENTION);
        self.verdicts.retain(|_, (v, _)| v.until > now);
        self.loads.remove_expired(now);
    }

    pub(super) fn take_members(&mut self, me: &Member, members: &Members) -> Vec<Member> {
        let mut out = Vec::new();
        // Updates that were sent least often go first, so that many simultaneous changes spread
        // evenly.
        let mut newest: Vec<_> = self.members.iter_mut().collect();
        newest.sort_by_key(|(_, remaining)| std::cmp::Reverse(**remaining));
        for (id, remaining) in newest.into_iter().take(MAX_MEMBERS) {
            *remaining -= 1;
            if *id == me.incarnation {
                out.push(me.clone());
            } else {
                out.extend(members.get(*id).map(|e| e.member.clone()));
            }
        }
        self.members.retain(|_, remaining| *remaining > 0);
        out
    }

    pub(super) fn take_verdicts(&mut self) -> Vec<Verdict> {
        let mut out = Vec::new();
        for (v, remaining) in self
            .verdicts
            .values_mut()
            .filter(|(_, remaining)| *remaining > 0)
        {
            *remaining -= 1;
            out.push(v.clone());
        }
        out
    }

    pub(super) fn take_hints(&mut self) -> Vec<BackendHint> {
        let pending = self.hints.values_mut().filter(|(_, left, _)| *left > 0);
        let taken = pending.take(MAX_HINTS).map(|(hint, left, _)| {
            *left -= 1;
            hint.clone()
        });
        taken.collect()
    }

    /// Returns all hints about backend servers, to send to a new peer.
    pub(super) fn all_hints(&self) -> Vec<BackendHint> {
        self.hints.values().map(|(hint, ..)| hint.clone()).collect()
    }

    /// Returns a hash of the quarantined requests, which is equal on all routers that know the same
    /// ones; 0 if there are none.
    pub(super) fn quarantine_hash(&self) -> u64 {
        let digest = |v: &Verdict| hash::mix(&[v.digest.0 as u64, (v.digest.0 >> 64) as u64]);
        self.quarantines().fold(0, |sum, v| sum ^ digest(v))
    }

    /// Returns the quarantines to send to a peer with a different set, those that expire last
    /// first.
    pub(super) fn newest_quarantines(&self) -> Vec<Verdict> {
        let mut quarantines: Vec<&Verdict> = self.quarantines().collect();
        quarantines.sort_by_key(|v| std::cmp::Reverse(v.until));
        quarantines.truncate(MAX_QUARANTINES);
        quarantines.into_iter().cloned().collect()
    }

    fn quarantines(&self) -> impl Iterator<Item = &Verdict> {
        let verdicts = self.verdicts.values().map(|(v, _)| v);
        verdicts.filter(|v| v.standing == Standing::Quarantined)
    }

    /// Returns all verdicts in force, to send to a new peer.
    pub(super) fn all_verdicts(&self) -> Vec<Verdict> {
        self.verdicts.values().map(|(v, _)| v.clone()).collect()
    }
}

fn copies(fleet: usize) -> u32 {
    BASE_COPIES + fleet.max(1).ilog2()
}
