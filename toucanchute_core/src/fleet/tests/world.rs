//! Simulated routers, links and platform, which the tests drive step by step.

mod network;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use rand::{SeedableRng, rngs::SmallRng};
use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::{self, Config},
};

use super::{
    oracle::{Oracle, Violation},
    steps::{Listed, Step},
};
use crate::fleet::{Action, Event, Fleet, NotReady, RouterIdentity, fault::Fault};

pub(super) const ROUTERS: usize = 5;
pub(super) const BACKENDS: usize = 3;

/// Time between two reads of the platform, in milliseconds.
const POLL: u64 = 500;

/// One simulated router and what it last published.
pub(super) struct Router {
    pub(super) fleet: Fleet,
    pub(super) frozen: Millis,
    /// Events that arrived while it was frozen.
    held: Vec<Event>,
    pub(super) cut: bool,
    pub(super) side: bool,
    pub(super) busy: u64,
    pub(super) ready: Result<(), NotReady>,
    pub(super) version: u64,
    pub(super) withdrawn: BTreeSet<String>,
    pub(super) addresses: Vec<std::net::SocketAddr>,
    pub(super) exited: bool,
    /// When most of the fleet with this router was last cut off from the platform.
    pub(super) cut_off: Millis,
    next_poll: Millis,
}

/// The simulated fleet with its platform and network.
pub(super) struct World {
    pub(super) now: Millis,
    pub(super) routers: Vec<Router>,
    pub(super) up: bool,
    /// Whether the host list can be read while the platform is up.
    hosts_up: bool,
    pub(super) version: u64,
    pub(super) hosts: u64,
    pub(super) listed: [Listed; BACKENDS],
    /// How often a router stopped taking work because its view was stale.
    pub(super) stops: u32,
    pub(super) oracle: Oracle,
    /// Events in transit, by time of arrival and serial number.
    inbox: BTreeMap<(Millis, u64), (Incarnation, Event)>,
    links: BTreeSet<(Incarnation, Incarnation)>,
    serial: u64,
    runs: u64,
    loss: u32,
    fault: Option<Fault>,
    rng: SmallRng,
}

fn config(version: u64) -> Arc<Config> {
    let text = format!(
        r#"{{"version":{version},"site":"s","routing":{{"address_max_age_ms":2000}},"ledger":{{}}}}"#
    );
    let mut config: Config = serde_json::from_str(&text).unwrap();
    config.backends = (0..BACKENDS)
        .map(|i| config::Backend {
            name: backend(i),
            pool: "p".to_owned(),
            address: format!("192.0.2.{i}:90"),
            failure_domain: "d0".to_owned(),
            software: None,
        })
        .collect();
    Arc::new(config)
}

pub(super) fn backend(i: usize) -> String {
    format!("b{i}")
}

impl World {
    pub(super) fn new(seed: u64, fault: Option<Fault>) -> World {
        let mut world = World {
            now: Millis(10_000),
            routers: Vec::new(),
            up: true,
            hosts_up: true,
            version: 1,
            hosts: 1,
            listed: [Listed::Live; BACKENDS],
            stops: 0,
            oracle: Oracle::default(),
            inbox: BTreeMap::new(),
            links: BTreeSet::new(),
            serial: 0,
            runs: 0,
            loss: 0,
            fault,
            rng: SmallRng::seed_from_u64(seed),
        };
        for i in 0..ROUTERS {
            let router = world.start(i);
            world.routers.push(router);
        }
        world
    }

    fn start(&mut self, i: usize) -> Router {
        self.runs += 1;
        let address = |port: u16| format!("192.0.2.{i}:{port}").parse().unwrap();
        let id = RouterIdentity {
            incarnation: Incarnation(self.runs * 100 + i as u64),
            host: format!("h{i}"),
            failure_domain: format!("d{}", i % 3),
            region: "r".to_owned(),
            caller_address: address(80),
            peer_address: address(81),
            capacity: 0,
            bandwidth: 0,
            seeds: (0..ROUTERS)
                .map(|i| format!("192.0.2.{i}:81").parse().unwrap())
                .collect(),
        };
        let mut fleet = Fleet::new(id, self.runs);
        fleet.fault = self.fault;
        Router {
            fleet,
            frozen: Millis(0),
            held: Vec::new(),
            cut: false,
            side: false,
            busy: 0,
            ready: Err(NotReady::Starting),
            version: 0,
            withdrawn: BTreeSet::new(),
            addresses: Vec::new(),
            exited: false,
            cut_off: Millis(0),
            next_poll: self.now,
        }
    }

    pub(super) fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Advance(span) => return self.advance(span),
            Step::Apply if self.up => self.version += 1,
            Step::List { backend, listed } if self.up && self.hosts_up => {
                self.hosts += 1;
                self.listed[backend] = listed;
            }
            Step::Platform { up } => self.up = up,
            Step::HostList { up } => self.hosts_up = up,
            Step::CutPlatform { router, cut } => self.routers[router].cut = cut,
            Step::Partition(mask) => {
                let side = |(i, r): (usize, &mut Router)| r.side = mask & (1 << i) != 0;
                self.routers.iter_mut().enumerate().for_each(side);
            }
            Step::Restart(router) => self.restart(router),
            Step::Freeze { router, span } => {
                let r = &mut self.routers[router];
                r.frozen = r.frozen.max(self.now + Millis(span));
            }
            Step::Loss(percent) => self.loss = percent,
            Step::Drain(router) => {
                self.oracle.draining(self.now, self.id(router));
                self.post(self.id(router), 0, Event::Drain);
            }
            Step::Busy { router, requests } => {
                let r = &mut self.routers[router];
                if r.frozen > self.now {
                    return Ok(());
                }
                if r.ready.is_ok() {
                    r.busy = requests;
                } else {
                    r.busy = r.busy.min(requests);
                }
            }
            Step::StaleConfig(router) => {
                let version = self.version.saturating_sub(1).max(1);
                let digest = Digest(version.into());
                let config = config(version);
                self.post(self.id(router), 0, Event::Config { config, digest });
            }
            Step::Apply | Step::List { .. } => {}
        }
        self.deliver()
    }

    pub(super) fn heal(&mut self) {
        self.up = true;
        self.hosts_up = true;
        self.loss = 0;
        for r in &mut self.routers {
            r.cut = false;
            r.side = false;
        }
        for i in 0..ROUTERS {
            if self.oracle.leaves(self.id(i)) {
                self.restart(i);
            }
        }
    }

    pub(super) fn id(&self, router: usize) -> Incarnation {
        self.routers[router].fleet.member().incarnation
    }

    fn index(&self, id: Incarnation) -> Option<usize> {
        (0..ROUTERS).find(|&i| self.id(i) == id)
    }

    pub(super) fn restart(&mut self, router: usize) {
        let id = self.id(router);
        let linked: Vec<_> = self.links.iter().copied().collect();
        for (a, b) in linked.into_iter().filter(|&(a, b)| a == id || b == id) {
            self.drop_link(a, b);
        }
        let old = &self.routers[router];
        let (cut, side) = (old.cut, old.side);
        self.routers[router] = self.start(router);
        self.routers[router].cut = cut;
        self.routers[router].side = side;
    }

    // Time

    pub(super) fn advance(&mut self, span: u64) -> Result<(), Violation> {
        let until = self.now + Millis(span);
        while self.now < until {
            self.now = self.now + Millis(10);
            self.drop_cut_links();
            for i in 0..ROUTERS {
                if self.majority_cut_off(i) {
                    self.routers[i].cut_off = self.now;
                }
            }
            for i in 0..ROUTERS {
                self.poll(i);
                if self.now.0.is_multiple_of(Fleet::TICK.0) {
                    let r = &self.routers[i];
                    if r.frozen <= self.now {
                        self.post(self.id(i), 0, Event::InFlight(r.busy));
                    }
                    self.post(self.id(i), 0, Event::Tick);
                }
            }
            self.deliver()?;
            self.oracle.check(self)?;
        }
        Ok(())
    }

    fn post(&mut self, to: Incarnation, delay: u64, event: Event) {
        self.serial += 1;
        self.inbox
            .insert((self.now + Millis(delay), self.serial), (to, event));
    }

    fn deliver(&mut self) -> Result<(), Violation> {
        for i in 0..ROUTERS {
            if self.routers[i].frozen <= self.now {
                for event in std::mem::take(&mut self.routers[i].held) {
                    self.handle(i, event)?;
                }
            }
        }
        while let Some(entry) = self.inbox.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, event) = entry.remove();
            let Some(i) = self.index(to) else {
                continue;
            };
            if self.routers[i].frozen > self.now {
                self.routers[i].held.push(event);
            } else {
                self.handle(i, event)?;
            }
        }
        Ok(())
    }

    fn handle(&mut self, i: usize, event: Event) -> Result<(), Violation> {
        if self.routers[i].exited {
            return Ok(());
        }
        if matches!(event, Event::Drain) {
            self.oracle.receives_drain(self.id(i));
        }
        let mut out = Vec::new();
        self.routers[i].fleet.handle(self.now, event, &mut out);
        out.into_iter().try_for_each(|a| self.act(i, a))
    }

    // Actions

    fn act(&mut self, i: usize, action: Action) -> Result<(), Violation> {
        let id = self.id(i);
        match action {
            Action::Send { to, message } => self.send(i, to, &message),
            Action::Connect(address) => self.connect(i, address),
            Action::FetchConfig if self.reaches_platform(i) => {
                let digest = Digest(self.version.into());
                let config = config(self.version);
                self.post(id, 5, Event::Config { config, digest });
            }
            Action::ApplyConfig(config) => {
                self.oracle
                    .in_force(self.routers[i].version, config.version, self.version)?;
                self.routers[i].version = config.version;
            }
            Action::Withdraw(names) => self.routers[i].withdrawn = names,
            Action::Readiness(ready) => {
                self.oracle.ready(self.now, id, ready)?;
                self.stops += u32::from(matches!(ready, Err(NotReady::StaleView { .. })));
                self.routers[i].ready = ready;
            }
            Action::Addresses(addresses) => {
                let me = self.routers[i]
                    .fleet
                    .member()
                    .caller_address
                    .parse()
                    .unwrap();
                let listed = addresses.contains(&me);
                self.oracle.listed(id, listed)?;
                self.routers[i].addresses = addresses;
            }
            Action::ReturnGrants => {
                self.oracle.returning(self.routers[i].busy)?;
                self.post(id, 30, Event::GrantsReturned);
            }
            Action::Exit => self.routers[i].exited = true,
            _ => {}
        }
        Ok(())
    }
}
