use std::collections::BTreeMap;

use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{Member, MemberState},
};

use crate::hash;

/// Number of parts of a member table that two routers compare one by one.
pub(super) const BUCKETS: usize = 64;

/// This router's table of all other members.
#[derive(Debug)]
pub(super) struct Members {
    records: BTreeMap<Incarnation, MemberRecord>,
    /// Exclusive or of the hashes of the records in each bucket.
    hashes: [u64; BUCKETS],
}

/// One member and since when it has been in its state.
#[derive(Debug)]
pub(super) struct MemberRecord {
    pub(super) member: Member,
    /// When the member entered its state, by this router's clock.
    pub(super) since: Millis,
    /// Whether its run is known to have ended: it announced that it was leaving, or another run has
    /// its address now.
    pub(super) ended: bool,
}

impl Default for Members {
    fn default() -> Members {
        Members {
            records: BTreeMap::new(),
            hashes: [0; BUCKETS],
        }
    }
}

impl Members {
    pub(super) fn get(&self, id: Incarnation) -> Option<&MemberRecord> {
        self.records.get(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records.values()
    }

    /// Iterates over the members that are not known to be gone.
    pub(super) fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .map(|e| &e.member)
            .filter(|m| m.state != MemberState::Gone)
    }

    /// Returns the hashes of the table's buckets. Equal tables have equal hashes.
    pub(super) fn hashes(&self) -> [u64; BUCKETS] {
        self.hashes
    }

    /// Merges a report about a member; returns whether it changed the table.
    pub(super) fn merge(&mut self, now: Millis, member: &Member) -> bool {
        let old = self.records.get(&member.incarnation);
        let rank = |m: &Member| (m.update, m.state);
        if old.is_some_and(|e| rank(&e.member) >= rank(member)) {
            return false;
        }
        let same_state = old.filter(|e| e.member.state == member.state);
        let was_leaving = old.is_some_and(|e| e.member.state == MemberState::Leaving);
        let record = MemberRecord {
            since: same_state.map_or(now, |e| e.since),
            ended: member.state == MemberState::Gone && was_leaving,
            member: member.clone(),
        };
        self.replace(record);
        true
    }

    /// Moves a member to a worse state; returns whether that changed the table.
    pub(super) fn degrade(&mut self, now: Millis, id: Incarnation, state: MemberState) -> bool {
        let Some(record) = self.records.get(&id) else {
            return false;
        };
        let mut member = record.member.clone();
        member.state = state;
        self.merge(now, &member)
    }

    /// Marks all other runs with the peer address of `member` as ended; returns these runs.
    pub(super) fn supersede(&mut self, now: Millis, member: &Member) -> Vec<Incarnation> {
        let other = |m: &Member| {
            m.peer_address == member.peer_address && m.incarnation != member.incarnation
        };
        let ids: Vec<_> = self
            .live()
            .filter(|m| other(m))
            .map(|m| m.incarnation)
            .collect();
        for &id in &ids {
            self.degrade(now, id, MemberState::Gone);
            if let Some(e) = self.records.get_mut(&id) {
                e.ended = true;
            }
        }
        ids
    }

    /// Returns the members that have been in `state` for `span` or longer.
    pub(super) fn overdue(
        &self,
        now: Millis,
        state: MemberState,
        span: Millis,
    ) -> Vec<Incarnation> {
        let overdue = |e: &&MemberRecord| e.member.state == state && now.since(e.since) >= span;
        self.iter()
            .filter(overdue)
            .map(|e| e.member.incarnation)
            .collect()
    }

    pub(super) fn remove(&mut self, id: Incarnation) {
        if let Some(e) = self.records.remove(&id) {
            self.hashes[bucket(id)] ^= record_hash(&e.member);
        }
    }

    fn replace(&mut self, record: MemberRecord) {
        let id = record.member.incarnation;
        self.hashes[bucket(id)] ^= record_hash(&record.member);
        if let Some(old) = self.records.insert(id, record) {
            self.hashes[bucket(id)] ^= record_hash(&old.member);
        }
    }
}

/// Returns the bucket that a member belongs to.
pub(super) fn bucket(id: Incarnation) -> usize {
    (hash::mix(&[id.0]) % BUCKETS as u64) as usize
}

/// Returns the part of a table's hash that stands for one member.
pub(super) fn record_hash(m: &Member) -> u64 {
    let state = [u64::from(m.state as u8), u64::from(m.outage)];
    hash::mix(&[m.incarnation.0, m.update, state[0], state[1]])
}
