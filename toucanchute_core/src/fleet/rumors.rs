use std::collections::BTreeMap;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{Load, Member, Standing, Verdict},
};

use super::members::Members;
use crate::hash;

/// Messages that carry one rumor, besides one more for each doubling of the fleet.
const BASE_COPIES: u32 = 4;

/// Most member updates in one message.
const MAX_MEMBERS: usize = 24;

/// Most load reports in one message.
const MAX_LOADS: usize = 8;

/// Most quarantines in one message.
const MAX_QUARANTINES: usize = 128;

/// News that still has to be told, each a limited number of times.
#[derive(Debug, Default)]
pub(super) struct Rumors {
    members: BTreeMap<Incarnation, u32>,
    verdicts: BTreeMap<Digest, (Verdict, u32)>,
    loads: BTreeMap<String, (Load, u32)>,
    /// Times of the newest load reports, to tell news from copies.
    load_times: BTreeMap<String, Millis>,
}

impl Rumors {
    pub(super) fn add_member(&mut self, id: Incarnation, fleet: usize) {
        self.members.insert(id, copies(fleet));
    }

    /// Takes in a verdict; returns whether it is news.
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

    /// Takes in a load report; returns whether it is news.
    pub(super) fn add_load(&mut self, load: &Load, fleet: usize) -> bool {
        let newest = self.load_times.get(&load.backend);
        if newest.is_some_and(|&t| t >= load.as_of) {
            return false;
        }
        self.load_times.insert(load.backend.clone(), load.as_of);
        self.loads
            .insert(load.backend.clone(), (load.clone(), copies(fleet)));
        true
    }

    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.verdicts.retain(|_, (v, _)| v.until > now);
    }

    pub(super) fn take_members(&mut self, me: &Member, members: &Members) -> Vec<Member> {
        let mut out = Vec::new();
        // Those told least often so far, so that many changes at once spread side by side.
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

    pub(super) fn take_loads(&mut self) -> Vec<Load> {
        let mut out = Vec::new();
        for (load, remaining) in self.loads.values_mut().take(MAX_LOADS) {
            *remaining -= 1;
            out.push(load.clone());
        }
        self.loads.retain(|_, (_, remaining)| *remaining > 0);
        out
    }

    /// Hash of the requests in quarantine, the same wherever the same ones are known; 0 without any.
    pub(super) fn quarantine_hash(&self) -> u64 {
        let digest = |v: &Verdict| hash::mix(&[v.digest.0 as u64, (v.digest.0 >> 64) as u64]);
        self.quarantines().fold(0, |sum, v| sum ^ digest(v))
    }

    /// Requests in quarantine, the newest first, for a peer that knows others.
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

    /// All verdicts in force, for a new peer.
    pub(super) fn all_verdicts(&self) -> Vec<Verdict> {
        self.verdicts.values().map(|(v, _)| v.clone()).collect()
    }
}

fn copies(fleet: usize) -> u32 {
    BASE_COPIES + fleet.max(1).ilog2()
}
