use std::sync::Arc;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{
        Ack, ConfigBody, FetchConfig, FleetBody, FleetMessage, Gossip, Head, Member, Ping,
        Probe as ProbeBody, Push,
    },
};

use super::{
    Action, Fleet,
    fault::Fault,
    links::{Known, Probe, Stage},
    members::entry_hash,
};

/// Shortest time between two whole tables sent to one peer.
const SYNC_PERIOD: Millis = Millis(1_000);

/// Time for a peer to send its configuration before another is asked.
const FETCH_TIMEOUT: Millis = Millis(300);

impl Fleet {
    // Receiving

    pub(super) fn message(
        &mut self,
        now: Millis,
        from: Incarnation,
        message: FleetMessage,
        out: &mut Vec<Action>,
    ) {
        let FleetMessage { body, gossip } = message;
        let hosts = gossip.hosts;
        self.take_gossip(now, from, gossip, out);
        match body {
            FleetBody::Ping(ping) => self.take_ping(now, from, ping, out),
            FleetBody::Ack(ack) => self.take_ack(now, from, ack, out),
            FleetBody::Probe(ProbeBody { target, seq }) => {
                self.ping(now, target, Stage::Relayed { by: from, seq }, out);
            }
            FleetBody::Push(_) => {}
            FleetBody::FetchConfig(FetchConfig { version }) => self.send_config(from, version, out),
            FleetBody::FetchFound(ask) => self.send_found(from, ask, out),
            FleetBody::Found(body) => self.take_found(now, body, Some(from), out),
            FleetBody::Config(ConfigBody { config, digest }) => {
                self.take_config(Arc::new(config), digest, out);
            }
        }
        self.fetch_found(now, from, hosts, out);
    }

    fn take_gossip(
        &mut self,
        now: Millis,
        from: Incarnation,
        gossip: Gossip,
        out: &mut Vec<Action>,
    ) {
        let known = Known {
            head: gossip.head.version,
            hosts: gossip.hosts,
        };
        self.links.known.insert(from, known);
        self.view.told(known.head, known.hosts);
        for member in &gossip.members {
            self.merge_member(now, member);
        }
        if let Some(list) = gossip.backends {
            self.take_backends(list, out);
        }
        let fleet = self.known();
        let mut urgent = false;
        for v in gossip.verdicts {
            if v.until > now && self.rumors.verdict(&v, fleet) {
                urgent = true;
                out.push(Action::Verdict(v));
            }
        }
        for load in gossip.loads {
            if self.rumors.load(&load, fleet) {
                out.push(Action::Load(load));
            }
        }
        if urgent {
            self.push_all(Some(from), out);
        }
        self.fetch_newer(now, from, gossip.head, out);
    }

    pub(super) fn merge_member(&mut self, now: Millis, member: &Member) {
        if member.incarnation == self.me.incarnation {
            self.refute(member);
            return;
        }
        if self.members.merge(now, member) {
            let fleet = self.known();
            self.rumors.member(member.incarnation, fleet);
        }
    }

    /// Contradicts word that this router is unreachable.
    fn refute(&mut self, said: &Member) {
        if self.has(Fault::NeverRefute) {
            return;
        }
        let wrong = said.update > self.me.update
            || said.update == self.me.update && said.state > self.me.state;
        if wrong {
            self.me.update = said.update;
            self.speak();
        }
    }

    fn fetch_newer(&mut self, now: Millis, from: Incarnation, head: Head, out: &mut Vec<Action>) {
        let newer = self.head().is_none_or(|h| h.version < head.version);
        if !newer || head.version == 0 || now < self.next_fetch {
            return;
        }
        self.next_fetch = now + FETCH_TIMEOUT;
        let version = head.version;
        self.send(from, FleetBody::FetchConfig(FetchConfig { version }), out);
    }

    fn take_ping(&mut self, now: Millis, from: Incarnation, ping: Ping, out: &mut Vec<Action>) {
        let ack = Ack {
            seq: ping.seq,
            confirmed_age: self.view.age(now),
            outage: self.outage_agreed(now),
        };
        let synced = self.links.synced.get(&from);
        let due = synced.is_none_or(|&at| now.since(at) >= SYNC_PERIOD);
        if due && ping.members != self.table_hash() {
            self.send_table(now, from, out);
        }
        self.send(from, FleetBody::Ack(ack), out);
    }

    fn take_ack(&mut self, now: Millis, from: Incarnation, ack: Ack, out: &mut Vec<Action>) {
        let Some(Probe {
            target,
            sent,
            stage,
        }) = self.probes.remove(&ack.seq)
        else {
            return;
        };
        if let Stage::Relayed { by, seq } = stage {
            let relayed = Ack {
                seq,
                confirmed_age: None,
                outage: false,
            };
            self.send(by, FleetBody::Ack(relayed), out);
            return;
        }
        if target != from || stage != Stage::Direct {
            return;
        }
        self.view.heard_at = self.view.heard_at.max(Some(sent));
        if ack.outage {
            self.view.peer_outage_at = Some(sent);
        }
        if let Some(age) = ack.confirmed_age
            && (self.as_new_as(from) || self.has(Fault::TrustAnyPeer))
        {
            let since = if self.has(Fault::CountFromReceipt) {
                now
            } else {
                sent
            };
            self.view.confirm(since - age);
        }
    }

    /// Whether this router has in force all that the peer had when it last spoke.
    fn as_new_as(&self, peer: Incarnation) -> bool {
        let head = self.head().map_or(0, |h| h.version);
        let known = self.links.known.get(&peer);
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

    /// Tells all linked peers at once, but for the one that it was learned from.
    pub(super) fn push_all(&mut self, but: Option<Incarnation>, out: &mut Vec<Action>) {
        let peers: Vec<_> = self.links.up.iter().copied().collect();
        for to in peers.into_iter().filter(|&p| Some(p) != but) {
            let seq = self.next_seq();
            self.send(to, FleetBody::Push(Push { seq }), out);
        }
    }

    /// Sends a peer all members and verdicts.
    pub(super) fn send_table(&mut self, now: Millis, to: Incarnation, out: &mut Vec<Action>) {
        self.links.synced.insert(to, now);
        let seq = self.next_seq();
        let mut gossip = self.gossip(to);
        gossip.members = self.members.iter().map(|e| e.member.clone()).collect();
        gossip.members.push(self.me.clone());
        gossip.verdicts = self.rumors.all_verdicts();
        gossip.backends.clone_from(&self.hosts.backends);
        let body = FleetBody::Push(Push { seq });
        let message = Box::new(FleetMessage { body, gossip });
        out.push(Action::Send { to, message });
    }

    fn send_config(&mut self, to: Incarnation, version: u64, out: &mut Vec<Action>) {
        let Some((config, digest)) = self.config.clone() else {
            return;
        };
        if config.version >= version {
            let config = Config::clone(&config);
            self.send(to, FleetBody::Config(ConfigBody { config, digest }), out);
        }
    }

    fn gossip(&mut self, to: Incarnation) -> Gossip {
        let head = self.head().unwrap_or(Head {
            version: 0,
            digest: Digest::default(),
        });
        let known = self.links.known.get(&to).map_or(0, |k| k.hosts);
        let news = self.hosts.backends.as_ref().filter(|w| w.version > known);
        Gossip {
            head,
            hosts: self.hosts_version(),
            backends: news.cloned(),
            members: self.rumors.take_members(&self.me, &self.members),
            verdicts: self.rumors.take_verdicts(),
            loads: self.rumors.take_loads(),
        }
    }

    pub(super) fn table_hash(&self) -> u64 {
        self.members.hash() ^ entry_hash(&self.me)
    }
}
