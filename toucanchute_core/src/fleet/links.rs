use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::seq::{IndexedRandom, IteratorRandom};
use toucanchute_proto::{
    Incarnation, Millis,
    fleet::{FleetBody, Member, MemberState, Ping, Probe as ProbeBody},
};

use super::{Action, Fleet};
use crate::hash;

/// Fleet size up to which each router links to all others.
pub(super) const FULL_MESH: usize = 9;

/// Links that a router opens in a larger fleet, in addition to those that others open to it.
const OPENED_LINKS: usize = 4;

/// Number of peers pinged in each [`GOSSIP_PERIOD`].
const FANOUT: usize = 2;

/// Time between two rounds of pings.
const GOSSIP_PERIOD: Millis = Millis(200);

/// Time to wait for an acknowledgement before other peers are requested to ping the member.
const ACK_TIMEOUT: Millis = Millis(300);

/// Number of peers requested to ping a member that does not acknowledge a ping.
const INDIRECT_PROBERS: usize = 2;

/// Time in which a suspected member can refute the suspicion before it counts as gone.
const SUSPECT_TIMEOUT: Millis = Millis(2_000);

/// Time between two attempts to open missing links.
const CONNECT_PERIOD: Millis = Millis(1_000);

/// Most addresses tried in one attempt that belong to no known member.
const CONNECT_UNKNOWN: usize = 4;

/// Time after which a member that is gone is removed from the table.
const FORGET_AFTER: Millis = Millis(600_000);

/// Links to peers, opened by either side, and what the peers reported over them.
#[derive(Debug, Default)]
pub(super) struct Links {
    pub(super) up: BTreeSet<Incarnation>,
    /// Earliest time of the next comparison of this router's member table with a peer's.
    pub(super) next_sync: Millis,
    /// By peer: when the last ping was sent that it acknowledged, and whether the acknowledgement
    /// said that the peer cannot reach the platform.
    pub(super) platform_reports: BTreeMap<Incarnation, (Millis, bool)>,
    /// Versions in force at each peer as of its last message.
    pub(super) peer_versions: BTreeMap<Incarnation, PeerVersions>,
    /// When the quarantines were last sent to each peer because its set of them differed.
    pub(super) quarantines_sent: BTreeMap<Incarnation, Millis>,
}

/// Versions of the configuration, the host list and the evacuations that a peer has in force.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerVersions {
    pub(super) head: u64,
    pub(super) hosts: u64,
    /// Revision of its list of evacuations; 0 if it named none.
    pub(super) evacuations: u64,
}

/// A ping that is not yet acknowledged.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) target: Incarnation,
    /// When the ping was sent.
    pub(super) sent: Millis,
    pub(super) kind: ProbeKind,
}

/// Who pings a member, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeKind {
    /// This router pings the member for itself.
    Direct,
    /// Other peers ping the member for this router.
    Indirect,
    /// This router pings the member for another router.
    Relayed {
        /// The router that requested the ping.
        requester: Incarnation,
        /// Sequence number of that router's request.
        seq: u64,
    },
}

impl Fleet {
    pub(super) fn peer_up(&mut self, now: Millis, member: &Member, out: &mut Vec<Action>) {
        self.links.up.insert(member.incarnation);
        let fleet = self.known_members();
        for id in self.members.supersede(now, member) {
            self.rumors.add_member(id, fleet);
        }
        self.merge_member(now, member);
        self.sync_new_peer(member.incarnation, out);
        self.ping(now, member.incarnation, ProbeKind::Direct, out);
    }

    pub(super) fn peer_down(&mut self, now: Millis, id: Incarnation, out: &mut Vec<Action>) {
        self.links.up.remove(&id);
        self.links.peer_versions.remove(&id);
        self.links.platform_reports.remove(&id);
        self.links.quarantines_sent.remove(&id);
        let known = self.members.get(id).map(|e| e.member.state);
        if matches!(known, Some(MemberState::Alive | MemberState::Leaving)) {
            let seq = self.next_seq();
            self.probe_indirectly(now, id, seq, out);
        }
    }

    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.expire_probes(now, out);
        self.expire_members(now);
        self.rumors.remove_expired(now);
        self.refresh_backends(now, out);
        self.update_evacuations(now, out);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_PERIOD;
            self.ping_random_peers(now, out);
        }
        if now >= self.next_connect {
            self.next_connect = now + CONNECT_PERIOD;
            self.connect_missing(out);
        }
    }

    /// Makes the next tick open missing links.
    pub(super) fn connect_soon(&mut self) {
        self.next_connect = Millis::default();
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    fn ping_random_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        let peers: Vec<_> = self.links.up.iter().copied().collect();
        let mut chosen: Vec<_> = peers
            .choose_multiple(&mut self.rng, FANOUT)
            .copied()
            .collect();
        // The routers that read the store have the newest versions.
        if self.follows_registrations()
            && let Some(reader) = self.linked_reader()
            && !chosen.contains(&reader)
        {
            chosen.pop();
            chosen.push(reader);
        }
        for target in chosen {
            self.ping(now, target, ProbeKind::Direct, out);
        }
    }

    fn linked_reader(&mut self) -> Option<Incarnation> {
        let readers = self.readers(false);
        let linked = readers.into_iter().filter(|r| self.links.up.contains(r));
        linked.choose(&mut self.rng)
    }

    pub(super) fn ping(
        &mut self,
        now: Millis,
        target: Incarnation,
        kind: ProbeKind,
        out: &mut Vec<Action>,
    ) {
        let seq = self.next_seq();
        let probe = Probe {
            target,
            sent: now,
            kind,
        };
        self.probes.insert(seq, probe);
        let ping = Ping {
            seq,
            members: self.table_hash(),
            quarantined: self.rumors.quarantine_hash(),
        };
        self.send(target, FleetBody::Ping(ping), out);
    }

    fn probe_indirectly(
        &mut self,
        now: Millis,
        target: Incarnation,
        seq: u64,
        out: &mut Vec<Action>,
    ) {
        let probe = Probe {
            target,
            sent: now,
            kind: ProbeKind::Indirect,
        };
        self.probes.insert(seq, probe);
        let peers: Vec<_> = self.links.up.iter().filter(|&&p| p != target).collect();
        let probers: Vec<_> = peers
            .choose_multiple(&mut self.rng, INDIRECT_PROBERS)
            .map(|&&p| p)
            .collect();
        for prober in probers {
            self.send(prober, FleetBody::Probe(ProbeBody { target, seq }), out);
        }
    }

    fn expire_probes(&mut self, now: Millis, out: &mut Vec<Action>) {
        let late = |p: &Probe| now.since(p.sent) >= ACK_TIMEOUT;
        let seqs: Vec<_> = self
            .probes
            .iter()
            .filter(|(_, p)| late(p))
            .map(|(&seq, _)| seq)
            .collect();
        for seq in seqs {
            let Some(probe) = self.probes.remove(&seq) else {
                continue;
            };
            match probe.kind {
                ProbeKind::Direct => self.probe_indirectly(now, probe.target, seq, out),
                ProbeKind::Indirect => self.degrade(now, probe.target, MemberState::Suspect),
                ProbeKind::Relayed { .. } => {}
            }
        }
    }

    fn expire_members(&mut self, now: Millis) {
        let suspects = self
            .members
            .overdue(now, MemberState::Suspect, SUSPECT_TIMEOUT);
        for id in suspects {
            self.degrade(now, id, MemberState::Gone);
        }
        for id in self.members.overdue(now, MemberState::Gone, FORGET_AFTER) {
            self.members.remove(id);
        }
    }

    fn degrade(&mut self, now: Millis, id: Incarnation, state: MemberState) {
        if self.members.degrade(now, id, state) {
            let fleet = self.known_members();
            self.rumors.add_member(id, fleet);
        }
    }

    fn connect_missing(&mut self, out: &mut Vec<Action>) {
        let known: BTreeSet<SocketAddr> = self
            .members
            .live()
            .filter_map(|m| m.peer_address.parse().ok())
            .collect();
        let mut wanted = self.missing_links();
        let unknown = self.identity.seeds.iter().chain(&self.hosts.routers);
        let unknown: Vec<_> = unknown
            .filter(|a| !known.contains(a) && **a != self.identity.peer_address)
            .copied()
            .collect();
        wanted.extend(unknown.choose_multiple(&mut self.rng, CONNECT_UNKNOWN));
        out.extend(wanted.into_iter().map(Action::Connect));
    }

    /// Addresses of the members to which this router should have a link but has none.
    fn missing_links(&self) -> Vec<SocketAddr> {
        let me = self.identity.incarnation;
        let mut live: Vec<_> = self.members.live().collect();
        if live.len() >= FULL_MESH {
            let ring = |m: &&Member| m.incarnation.0.wrapping_sub(me.0);
            let next = live.iter().copied().min_by_key(ring);
            live.sort_by_key(|m| hash::mix(&[me.0, m.incarnation.0]));
            live.truncate(OPENED_LINKS - 1);
            live.extend(next);
        }
        live.iter()
            .filter(|m| !self.links.up.contains(&m.incarnation))
            .filter_map(|m| m.peer_address.parse().ok())
            .collect()
    }
}
