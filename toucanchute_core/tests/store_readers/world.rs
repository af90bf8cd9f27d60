//! Simulated routers, links and store, with simulated time. All times are in milliseconds.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_core::fleet::{Action, Event, Fleet, RouterIdentity, StoreReadMode};
use toucanchute_core::placement::FULL_SHARE;
use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{EvacuationList, Found, FoundBody, Member, MemberState, Registration},
};

/// Age of a view above which a router reads the store for itself.
const MAX_AGE: u64 = 3_400;

/// Time in which routers have to learn of a removed backend server.
const MAX_REMOVAL_TIME: u64 = 4_000;

/// Time in which routers have to learn that a failure domain is evacuated, or no longer.
const MAX_EVACUATION_TIME: u64 = 4_000;

/// Failure domains that orders evacuate.
const EVACUATED_DOMAINS: [&str; 3] = ["d0", "d1", "d2"];

/// How long before a removal a router has to have been connected for that bound to apply to it.
const MIN_CONNECTED_TIME: u64 = 5_000;

/// Time for which a watch waits for a change.
pub(crate) const WATCH_WAIT: u64 = 1_700;

/// Pause between reads that a router does for itself, and between failed calls.
const READ_PAUSE: u64 = 700;

const TICK: u64 = 100;

/// Time to deliver a message or to open a link.
const LATENCY: u64 = 5;

/// Counts and measurements of one random walk.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) calls: u64,
    pub(crate) messages: u64,
    pub(crate) changes: u64,
    /// Longest time for which a removed backend server was still used by any router.
    pub(crate) longest_ms: u64,
}

struct Router {
    fleet: Fleet,
    member: Member,
    /// Since when the router has run without pause and reached the store and the other routers.
    connected_since: u64,
    frozen_until: u64,
    store_cut_until: u64,
    /// Until when its calls to the store hang.
    stalled_until: u64,
    peers_cut_until: u64,
    /// Events that arrived while it was frozen.
    held: Vec<Event>,
    /// Revision up to which the changes that it read were passed to its machine; 0 if it has to
    /// read the whole list.
    read_revision: u64,
    next_call: u64,
    /// Backend servers that it uses.
    uses: BTreeSet<String>,
    /// Backend servers that it has ceased to use.
    dropped: BTreeSet<String>,
    /// Failure domains that it has evacuated.
    evacuated: BTreeSet<String>,
}

pub(crate) struct World {
    now: u64,
    rng: SmallRng,
    routers: Vec<Router>,
    by_id: BTreeMap<Incarnation, usize>,
    /// Events in transit, by time of arrival and number.
    inbox: BTreeMap<(u64, u64), (Incarnation, Event)>,
    sent: u64,
    runs: u64,
    revision: u64,
    /// All changes, by revision.
    changes: Vec<Registration>,
    /// Removed backend servers: name and time of removal.
    removed: Vec<(String, u64)>,
    /// Random choices of orders, apart from those of other changes.
    orders_rng: SmallRng,
    /// When each failure domain was last evacuated or taken back, and whether it is evacuated.
    orders: BTreeMap<&'static str, (u64, bool)>,
    store_down_until: u64,
    pub(crate) violations: Vec<String>,
    pub(crate) tally: Tally,
}

impl World {
    pub(crate) fn new(seed: u64, routers: usize) -> World {
        let mut world = World {
            now: 100_000,
            rng: SmallRng::seed_from_u64(seed),
            routers: Vec::new(),
            by_id: BTreeMap::new(),
            inbox: BTreeMap::new(),
            sent: 0,
            runs: 0,
            revision: 0,
            changes: Vec::new(),
            removed: Vec::new(),
            orders_rng: SmallRng::seed_from_u64(seed ^ 0x0e7a_c0a7),
            orders: BTreeMap::new(),
            store_down_until: 0,
            violations: Vec::new(),
            tally: Tally::default(),
        };
        for i in 0..20 {
            world.register(&format!("first-{i}"));
        }
        for i in 0..routers {
            let router = world.start(i);
            world.by_id.insert(router.member.incarnation, i);
            world.routers.push(router);
        }
        let addresses = world.routers.iter().map(|r| r.member.peer_address.parse());
        let addresses: BTreeSet<_> = addresses.map(|a| a.unwrap()).collect();
        for i in 0..routers {
            world.handle(i, Event::RouterAddresses(addresses.clone()));
        }
        world
    }

    fn start(&mut self, i: usize) -> Router {
        self.runs += 1;
        let ip = format!("10.0.{}.{}", i / 250, i % 250 + 1);
        let member = Member {
            incarnation: Incarnation(self.rng.random()),
            host: format!("h{i}"),
            failure_domain: format!("d{}", i % 6),
            region: "r".to_owned(),
            caller_address: format!("{ip}:80"),
            peer_address: format!("{ip}:81"),
            state: MemberState::Alive,
            update: 0,
            outage: false,
            capacity: if i.is_multiple_of(16) { 500 } else { 120 },
            bandwidth: 10_000,
            list_share: FULL_SHARE,
        };
        let id = RouterIdentity {
            incarnation: member.incarnation,
            host: member.host.clone(),
            failure_domain: member.failure_domain.clone(),
            region: member.region.clone(),
            caller_address: member.caller_address.parse().unwrap(),
            peer_address: member.peer_address.parse().unwrap(),
            capacity: member.capacity,
            bandwidth: member.bandwidth,
            seeds: Vec::new(),
        };
        Router {
            fleet: Fleet::new(id, self.runs).following_registrations(Millis(MAX_AGE)),
            member,
            connected_since: self.now,
            frozen_until: 0,
            store_cut_until: 0,
            stalled_until: 0,
            peers_cut_until: 0,
            held: Vec::new(),
            read_revision: 0,
            next_call: 0,
            uses: BTreeSet::new(),
            dropped: BTreeSet::new(),
            evacuated: BTreeSet::new(),
        }
    }

    pub(crate) fn run(&mut self, span: u64, faults: bool) {
        let end = self.now + span;
        let calm_from = self.now + 8_000;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            if self.now >= calm_from {
                if faults {
                    self.inject_fault();
                }
                self.change();
                self.order_evacuation();
            }
            for i in 0..self.routers.len() {
                self.run_router(i);
            }
            self.check();
        }
    }

    // The store

    fn register(&mut self, name: &str) {
        self.revision += 1;
        self.changes.push(Registration {
            key: name.to_owned(),
            revision: self.revision,
            backend: Some(Found {
                name: name.to_owned(),
                service: "llm".to_owned(),
                address: "192.0.2.9:80".parse().unwrap(),
                failure_domain: "d0".to_owned(),
                leaving: false,
                slots: 8,
                software: None,
                cold_ms: None,
            }),
        });
    }

    /// Occasionally registers or removes a backend server, while the store is up.
    fn change(&mut self) {
        if self.now < self.store_down_until || !self.rng.random_bool(0.2) {
            return;
        }
        self.tally.changes += 1;
        let gone: BTreeSet<_> = self.removed.iter().map(|(name, _)| name.clone()).collect();
        let keys = self.changes.iter().map(|c| c.key.clone());
        let live: BTreeSet<_> = keys.filter(|k| !gone.contains(k)).collect();
        if live.len() < 10 || self.rng.random_bool(0.5) {
            let name = format!("later-{}", self.revision);
            return self.register(&name);
        }
        let name = live.iter().nth(self.rng.random_range(0..live.len()));
        let name = name.unwrap().clone();
        self.revision += 1;
        self.changes.push(Registration {
            key: name.clone(),
            revision: self.revision,
            backend: None,
        });
        self.removed.push((name, self.now));
    }

    /// Occasionally evacuates a failure domain or takes it back, while the store is up.
    fn order_evacuation(&mut self) {
        if self.now < self.store_down_until || !self.orders_rng.random_bool(0.03) {
            return;
        }
        let domain = EVACUATED_DOMAINS[self.orders_rng.random_range(0..EVACUATED_DOMAINS.len())];
        let evacuated = self.orders.get(domain).is_some_and(|(_, e)| *e);
        self.orders.insert(domain, (self.now, !evacuated));
        self.tally.changes += 1;
        self.revision += 1;
        self.changes.push(Registration {
            key: format!("order-{}", self.revision),
            revision: self.revision,
            backend: None,
        });
    }

    fn evacuations(&self) -> EvacuationList {
        let evacuated = self.orders.iter().filter(|(_, (_, evacuated))| *evacuated);
        EvacuationList {
            revision: self.revision,
            failure_domains: evacuated.map(|(&domain, _)| domain.to_owned()).collect(),
        }
    }

    fn whole(&self) -> FoundBody {
        let mut entries = BTreeMap::new();
        for change in &self.changes {
            entries.insert(change.key.clone(), change.clone());
        }
        let present = entries.into_values().filter(|e| e.backend.is_some());
        FoundBody {
            revision: self.revision,
            since: None,
            entries: present.collect(),
        }
    }

    /// Makes a router call the store if its read mode requires that.
    fn call_store(&mut self, i: usize) {
        let (now, mode) = (
            self.now,
            self.routers[i].fleet.store_read_mode(Millis(self.now)),
        );
        let router = &mut self.routers[i];
        if mode == StoreReadMode::None {
            router.read_revision = 0;
            return;
        }
        let has_update = mode == StoreReadMode::Chosen
            && router.read_revision > 0
            && router.read_revision < self.revision;
        let stalled = now < router.stalled_until;
        if now < router.next_call && !has_update || stalled {
            return;
        }
        self.tally.calls += 2;
        if now < router.store_cut_until || now < self.store_down_until {
            router.next_call = now + READ_PAUSE;
            router.read_revision = 0;
            return self.handle(i, Event::PlatformDown);
        }
        let read_revision = router.read_revision;
        let chosen = mode == StoreReadMode::Chosen;
        router.next_call = now + if chosen { WATCH_WAIT } else { READ_PAUSE };
        router.read_revision = if chosen { self.revision } else { 0 };
        let body = match read_revision {
            0 => self.whole(),
            since => FoundBody {
                revision: self.revision,
                since: Some(since),
                entries: self.changes[since as usize..].to_vec(),
            },
        };
        let requested_at = Millis(now);
        let (version, digest) = (1, Digest(1));
        let config = Arc::new(Config {
            version,
            ..Config::default()
        });
        self.handle(i, Event::Evacuations(self.evacuations()));
        self.handle(i, Event::Config { config, digest });
        self.handle(
            i,
            Event::ConfigHead {
                version,
                digest,
                requested_at,
            },
        );
        self.handle(i, Event::Registrations { body, requested_at });
    }

    // Routers

    fn run_router(&mut self, i: usize) {
        if self.routers[i].frozen_until > self.now {
            return;
        }
        for event in std::mem::take(&mut self.routers[i].held) {
            self.handle(i, event);
        }
        self.handle(i, Event::Tick);
        self.call_store(i);
    }

    fn handle(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        let router = &mut self.routers[i];
        router.fleet.handle(Millis(self.now), event, &mut out);
        let from = router.member.incarnation;
        for action in out {
            match action {
                Action::Send { to, message } => {
                    self.tally.messages += 1;
                    self.post(to, Event::Message { from, message });
                }
                Action::Connect(address) => self.connect(i, &address.to_string()),
                Action::Backends(update) => {
                    let uses: BTreeSet<_> = update.live.into_iter().map(|f| f.name).collect();
                    self.record_used_backends(i, uses);
                }
                Action::Evacuate(domains) => self.routers[i].evacuated = domains,
                _ => {}
            }
        }
    }

    fn record_used_backends(&mut self, i: usize, uses: BTreeSet<String>) {
        let router = &mut self.routers[i];
        router
            .dropped
            .extend(router.uses.difference(&uses).cloned());
        let back: Vec<_> = uses.intersection(&router.dropped).collect();
        if !back.is_empty() {
            let host = &router.member.host;
            self.violations
                .push(format!("{} ms: {host} uses {back:?} again", self.now));
        }
        router.uses = uses;
    }

    fn post(&mut self, to: Incarnation, event: Event) {
        self.sent += 1;
        let at = (self.now + LATENCY, self.sent);
        self.inbox.insert(at, (to, event));
    }

    fn connect(&mut self, i: usize, address: &str) {
        let at = |r: &Router| r.member.peer_address == address;
        let Some(j) = self.routers.iter().position(at) else {
            return;
        };
        let reachable = |r: &Router| r.peers_cut_until <= self.now && r.frozen_until <= self.now;
        if i == j || !reachable(&self.routers[i]) || !reachable(&self.routers[j]) {
            return;
        }
        let (a, b) = (
            self.routers[i].member.clone(),
            self.routers[j].member.clone(),
        );
        self.post(a.incarnation, Event::PeerUp(b.clone()));
        self.post(b.incarnation, Event::PeerUp(a));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.inbox.first_entry()
            && entry.key().0 <= self.now
        {
            let (to, event) = entry.remove();
            let Some(&i) = self.by_id.get(&to) else {
                continue;
            };
            let router = &mut self.routers[i];
            if router.peers_cut_until > self.now {
                continue;
            }
            if router.frozen_until > self.now {
                router.held.push(event);
                continue;
            }
            self.handle(i, event);
        }
    }

    // Faults

    fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.02) {
            return;
        }
        let (now, span) = (self.now, self.rng.random_range(500..9_000));
        let until = now + span;
        let kind = self.rng.random_range(0..7);
        if kind == 0 {
            self.store_down_until = until;
            for router in &mut self.routers {
                router.connected_since = router.connected_since.max(until);
            }
            return;
        }
        if kind == 1 {
            return self.stall_readers(until);
        }
        let share = if self.rng.random_bool(0.2) { 0.5 } else { 0.05 };
        for i in 0..self.routers.len() {
            if !self.rng.random_bool(share) {
                continue;
            }
            let router = &mut self.routers[i];
            router.connected_since = router.connected_since.max(until);
            match kind {
                2 => router.frozen_until = until,
                3 => router.store_cut_until = until,
                4 => router.peers_cut_until = until,
                5 => (router.peers_cut_until, router.store_cut_until) = (until, until),
                _ => self.restart(i),
            }
        }
    }

    /// Makes the store calls of the fleet's readers hang. The other routers cannot notice that.
    fn stall_readers(&mut self, until: u64) {
        let now = Millis(self.now);
        for router in &mut self.routers {
            if router.fleet.store_read_mode(now) == StoreReadMode::Chosen {
                router.stalled_until = until;
                router.connected_since = router.connected_since.max(until);
            }
        }
    }

    fn restart(&mut self, i: usize) {
        let id = self.routers[i].member.incarnation;
        self.by_id.remove(&id);
        let router = self.start(i);
        let peers = self.routers.iter().map(|r| r.member.incarnation);
        for peer in peers.collect::<Vec<_>>() {
            self.post(peer, Event::PeerDown(id));
        }
        self.by_id.insert(router.member.incarnation, i);
        self.routers[i] = router;
        let addresses = self.routers.iter().map(|r| r.member.peer_address.parse());
        let addresses: BTreeSet<_> = addresses.map(|a| a.unwrap()).collect();
        self.handle(i, Event::RouterAddresses(addresses));
    }

    // Guarantees

    /// Checks that every router that was connected all the time has ceased to use the removed
    /// backend servers.
    fn check(&mut self) {
        self.check_evacuations();
        let now = self.now;
        for (name, at) in &self.removed {
            if now < at + MAX_REMOVAL_TIME || now >= at + MAX_REMOVAL_TIME + TICK {
                continue;
            }
            for router in &self.routers {
                let connected = router.connected_since + MIN_CONNECTED_TIME <= *at;
                if connected && router.uses.contains(name) {
                    let host = &router.member.host;
                    self.violations.push(format!(
                        "{now} ms: {host} still uses {name}, left at {at} ms"
                    ));
                }
            }
        }
        let used = |name: &String| self.routers.iter().any(|r| r.uses.contains(name));
        let open = self.removed.iter().filter(|(name, _)| used(name));
        let longest = open.map(|(_, at)| now - at).max().unwrap_or(0);
        self.tally.longest_ms = self.tally.longest_ms.max(longest);
    }

    /// Checks that every router that was connected all the time has applied the last order for each
    /// failure domain.
    fn check_evacuations(&mut self) {
        let now = self.now;
        for (&domain, &(at, evacuated)) in &self.orders {
            if now < at + MAX_EVACUATION_TIME {
                continue;
            }
            for router in &self.routers {
                let connected = router.connected_since + MIN_CONNECTED_TIME <= at.min(now);
                if connected && router.evacuated.contains(domain) != evacuated {
                    let host = &router.member.host;
                    self.violations.push(format!(
                        "{now} ms: {host} has not applied {evacuated} for {domain} of {at} ms"
                    ));
                }
            }
        }
    }
}
