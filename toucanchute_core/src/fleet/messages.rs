use std::sync::Arc;

use rand::seq::SliceRandom;
use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{
        Ack, Buckets, ConfigBody, FetchConfig, FleetBody, FleetMessage, Gossip, Head, Member, Ping,
        Probe as ProbeBody, Push,
    },
    pack, unpack,
};

use super::{
    Action, Fleet,
    fault::Fault,
    links::{FULL_MESH, PeerVersions, Probe, ProbeKind},
    members::{BUCKETS, bucket, record_hash},
};

/// Shortest time between two comparisons of this router's member table with a peer's, and between
/// two transfers of the quarantines to one peer.
const SYNC_PERIOD: Millis = Millis(1_000);

/// Number of peers to which a change is sent at once in a large fleet. It is small because a host
/// may have to send each of them a whole configuration over a slow link.
const PUSH_TARGETS: usize = 4;

/// Time for a peer to send its configuration before the next request for one is sent.
const FETCH_TIMEOUT: Millis = Millis(300);

impl Fleet {
    // Receiving

    pub(super) fn handle_message(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: FleetMessage,
        out: &mut Vec<Action>,
    ) {
        let FleetMessage { body, gossip } = message;
        let hosts = gossip.hosts;
        self.apply_gossip(now, from, gossip, out);
        match body {
            FleetBody::Ping(ping) => self.handle_ping(now, from, ping, out),
            FleetBody::Ack(ack) => self.handle_ack(now, from, ack, out),
            FleetBody::Probe(ProbeBody { target, seq }) => {
                self.ping(
                    now,
                    target,
                    ProbeKind::Relayed {
                        requester: from,
                        seq,
                    },
                    out,
                );
            }
            FleetBody::Push(_) => {}
            FleetBody::Buckets(Buckets { hashes }) => self.send_member_diff(from, &hashes, out),
            FleetBody::FetchConfig(FetchConfig { version }) => self.send_config(from, version, out),
            FleetBody::FetchFound(request) => self.send_registrations(from, request, out),
            FleetBody::Found(body) => self.apply_registrations(now, body, Some(from), out),
            FleetBody::Config(body) => self.handle_packed_config(body, out),
        }
        self.fetch_registrations(now, from, hosts, out);
    }

    fn apply_gossip(
        &mut self,
        now: Millis,
        from: Incarnation,
        gossip: Gossip,
        out: &mut Vec<Action>,
    ) {
        let versions = PeerVersions {
            head: gossip.head.version,
            hosts: gossip.hosts,
            evacuations: gossip.evacuation_revision.unwrap_or(0),
        };
        self.links.peer_versions.insert(from, versions);
        self.view
            .record_known_versions(versions.head, versions.hosts);
        for member in &gossip.members {
            self.merge_member(now, member);
        }
        if let Some(list) = gossip.backends {
            self.apply_backend_list(list, out);
        }
        if let Some(list) = gossip.evacuations {
            self.apply_evacuations(now, list, Some(from), out);
        }
        let fleet = self.known_members();
        let mut urgent = false;
        for v in gossip.verdicts {
            if v.until > now && self.rumors.add_verdict(&v, fleet) {
                urgent = true;
                self.store_quarantine(&v, out);
                out.push(Action::Verdict(v));
            }
        }
        for hint in gossip.hints {
            if self.rumors.add_hint(now, &hint, fleet) {
                urgent = true;
                out.push(Action::Hint(hint));
            }
        }
        let shared = gossip.shared_loads.into_iter();
        let loads = shared.filter_map(|load| self.rumors.loads.add_shared(now, load));
        out.extend(loads.map(Action::Load));
        if urgent {
            self.push(Some(from), out);
        }
        self.fetch_newer_config(now, from, gossip.head, out);
    }

    pub(super) fn merge_member(&mut self, now: Millis, member: &Member) {
        if member.incarnation == self.me.incarnation {
            self.refute(member);
            return;
        }
        if self.members.merge(now, member) {
            let fleet = self.known_members();
            self.rumors.add_member(member.incarnation, fleet);
        }
    }

    /// Refutes a report that this router is unreachable.
    fn refute(&mut self, claimed: &Member) {
        if self.has_fault(Fault::NeverRefute) {
            return;
        }
        let wrong = claimed.update > self.me.update
            || claimed.update == self.me.update && claimed.state > self.me.state;
        if wrong {
            self.me.update = claimed.update;
            self.announce_self();
        }
    }

    fn fetch_newer_config(
        &mut self,
        now: Millis,
        from: Incarnation,
        head: Head,
        out: &mut Vec<Action>,
    ) {
        let newer = self.head().is_none_or(|h| h.version < head.version);
        if !newer || head.version == 0 || now < self.next_config_fetch {
            return;
        }
        self.next_config_fetch = now + FETCH_TIMEOUT;
        let version = head.version;
        self.send(from, FleetBody::FetchConfig(FetchConfig { version }), out);
    }

    fn handle_ping(&mut self, now: Millis, from: Incarnation, ping: Ping, out: &mut Vec<Action>) {
        let ack = Ack {
            seq: ping.seq,
            confirmed_age: self.view.age(now),
            outage: self.outage_agreed(now),
            lost: self.view.is_platform_down(),
        };
        if now >= self.links.next_sync && ping.members != self.table_hash() {
            self.links.next_sync = now + SYNC_PERIOD;
            let hashes = self.bucket_hashes().to_vec();
            self.send(from, FleetBody::Buckets(Buckets { hashes }), out);
        }
        self.send(from, FleetBody::Ack(ack), out);
        if ping.quarantined != self.rumors.quarantine_hash() {
            self.send_quarantines(now, from, out);
        }
    }

    /// Sends the known quarantines to a peer whose set of quarantines differs from this router's.
    fn send_quarantines(&mut self, now: Millis, to: Incarnation, out: &mut Vec<Action>) {
        let last_sent = self.links.quarantines_sent.get(&to);
        if last_sent.is_some_and(|&at| now.since(at) < SYNC_PERIOD) {
            return;
        }
        self.links.quarantines_sent.insert(to, now);
        let seq = self.next_seq();
        let mut gossip = self.gossip(to);
        gossip.verdicts.extend(self.rumors.newest_quarantines());
        let body = FleetBody::Push(Push { seq });
        let message = Box::new(FleetMessage { body, gossip });
        out.push(Action::Send { to, message });
    }

    fn handle_ack(&mut self, now: Millis, from: Incarnation, ack: Ack, out: &mut Vec<Action>) {
        let Some(Probe { target, sent, kind }) = self.probes.remove(&ack.seq) else {
            return;
        };
        if let ProbeKind::Relayed { requester, seq } = kind {
            let relayed = Ack {
                seq,
                confirmed_age: None,
                outage: false,
                lost: false,
            };
            self.send(requester, FleetBody::Ack(relayed), out);
            return;
        }
        if target != from || kind != ProbeKind::Direct {
            return;
        }
        self.view.acknowledged_at = self.view.acknowledged_at.max(Some(sent));
        self.links.platform_reports.insert(from, (sent, ack.lost));
        if ack.outage {
            self.view.peer_outage_at = Some(sent);
        }
        if let Some(age) = ack.confirmed_age
            && (self.has_versions_of(from) || self.has_fault(Fault::TrustAnyPeer))
        {
            let since = if self.has_fault(Fault::CountFromReceipt) {
                now
            } else {
                sent
            };
            self.view.confirm(since - age);
        }
    }

    /// Whether the versions in force here are at least those that the peer sent in its last
    /// message.
    fn has_versions_of(&self, peer: Incarnation) -> bool {
        let head = self.head().map_or(0, |h| h.version);
        let known = self.links.peer_versions.get(&peer);
        known.is_some_and(|k| k.hosts <= self.hosts_version() && k.head <= head)
    }

    // Sending

    pub(super) fn send(&mut self, to: Incarnation, body: FleetBody, out: &mut Vec<Action>) {
        if !self.links.up.contains(&to) {
            return;
        }
        let gossip = self.gossip(to);
        let message = Box::new(FleetMessage { body, gossip });
        out.push(Action::Send { to, message });
    }

    /// Sends the current gossip to some linked peers at once, except to the peer that it came from.
    pub(super) fn push(&mut self, except: Option<Incarnation>, out: &mut Vec<Action>) {
        for to in self.push_targets(except) {
            let seq = self.next_seq();
            self.send(to, FleetBody::Push(Push { seq }), out);
        }
    }

    /// Chooses the peers to which a change is sent at once. In a large fleet these forward it, and
    /// the other peers receive it with pings.
    pub(super) fn push_targets(&mut self, except: Option<Incarnation>) -> Vec<Incarnation> {
        let mut peers: Vec<_> = self.links.up.iter().copied().collect();
        peers.retain(|&p| Some(p) != except);
        if peers.len() >= FULL_MESH {
            peers.shuffle(&mut self.rng);
            peers.truncate(PUSH_TARGETS);
        }
        peers
    }

    /// Sends a new peer the state that is no longer gossiped. The members follow after a comparison
    /// of the two member tables.
    pub(super) fn sync_new_peer(&mut self, to: Incarnation, out: &mut Vec<Action>) {
        let seq = self.next_seq();
        let mut gossip = self.gossip(to);
        gossip.members.push(self.me.clone());
        gossip.verdicts = self.rumors.all_verdicts();
        gossip.hints = self.rumors.all_hints();
        gossip.backends.clone_from(&self.hosts.backends);
        let body = FleetBody::Push(Push { seq });
        let message = Box::new(FleetMessage { body, gossip });
        out.push(Action::Send { to, message });
    }

    /// Sends a peer the members in those buckets in which its table differs from this router's.
    fn send_member_diff(&mut self, to: Incarnation, hashes: &[u64], out: &mut Vec<Action>) {
        let own = self.bucket_hashes();
        let differs = |id| hashes.get(bucket(id)) != Some(&own[bucket(id)]);
        let members = self.members.iter().map(|e| &e.member).chain([&self.me]);
        let members = members.filter(|m| differs(m.incarnation));
        let members: Vec<_> = members.cloned().collect();
        let seq = self.next_seq();
        let mut gossip = self.gossip(to);
        gossip.members = members;
        let body = FleetBody::Push(Push { seq });
        let message = Box::new(FleetMessage { body, gossip });
        out.push(Action::Send { to, message });
    }

    fn send_config(&mut self, to: Incarnation, version: u64, out: &mut Vec<Action>) {
        let Some((config, digest)) = self.config.clone() else {
            return;
        };
        if config.version >= version {
            let packed = self
                .packed_config
                .get_or_insert_with(|| pack(&*config))
                .clone();
            self.send(to, FleetBody::Config(ConfigBody { packed, digest }), out);
        }
    }

    /// Applies a configuration that a peer sent. Its bytes are forwarded to other peers unchanged.
    fn handle_packed_config(&mut self, body: ConfigBody, out: &mut Vec<Action>) {
        let ConfigBody { packed, digest } = body;
        if self.head().is_some_and(|h| h.digest == digest) {
            return;
        }
        match unpack::<Config>(&packed) {
            Ok(config) => {
                let version = config.version;
                self.apply_config(Arc::new(config), digest, out);
                if self.head().is_some_and(|h| h.version == version) {
                    self.packed_config = Some(packed);
                }
            }
            Err(e) => out.push(Action::BadPeerConfig {
                error: e.to_string(),
            }),
        }
    }

    fn gossip(&mut self, to: Incarnation) -> Gossip {
        let head = self.head().unwrap_or(Head {
            version: 0,
            digest: Digest::default(),
        });
        let known = self.links.peer_versions.get(&to);
        let known_hosts = known.map_or(0, |k| k.hosts);
        let newer = self.hosts.backends.as_ref();
        let newer = newer.filter(|w| w.version > known_hosts);
        let known_evacuations = known.map_or(0, |k| k.evacuations);
        Gossip {
            head,
            hosts: self.hosts_version(),
            backends: newer.cloned(),
            evacuation_revision: self.evacuations.revision(),
            evacuations: self.evacuations.newer_than(known_evacuations),
            members: self.rumors.take_members(&self.me, &self.members),
            verdicts: self.rumors.take_verdicts(),
            shared_loads: self.rumors.loads.take(self.now),
            hints: self.rumors.take_hints(),
        }
    }

    /// Returns the hash of the whole member table. Equal tables have equal hashes.
    pub(super) fn table_hash(&self) -> u64 {
        self.bucket_hashes().iter().fold(0, |sum, h| sum ^ h)
    }

    fn bucket_hashes(&self) -> [u64; BUCKETS] {
        let mut hashes = self.members.hashes();
        hashes[bucket(self.me.incarnation)] ^= record_hash(&self.me);
        hashes
    }
}
