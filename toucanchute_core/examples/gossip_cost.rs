//! Measures the cost of gossip for one router in fleets of several sizes. All routers of a fleet
//! run in one process.
//!
//! `cargo run --release -p toucanchute_core --example gossip_cost -- [SEED]`

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap, HashMap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_core::fleet::{
    Action, Event, Fleet, HostEntry, HostRole, HostState, RouterIdentity,
};
use toucanchute_proto::{Digest, Incarnation, Millis, config::Config, fleet::Load};

/// Number of backend servers, the same for all fleet sizes.
const BACKENDS: usize = 16;

/// Time before the measurement in which the routers find each other.
const WARM_UP: Millis = Millis(20_000);

/// Duration of the measurement.
const MEASURED_TIME: Millis = Millis(20_000);

/// Time between two reads of the platform and of a backend server's load.
const POLL: Millis = Millis(500);

#[derive(Default)]
struct Cost {
    messages: u64,
    bytes: u64,
    events: u64,
    spent: Duration,
    /// Number of reads of the platform; a read of head and host list counts once.
    polls: u64,
}

struct World {
    now: Millis,
    rng: SmallRng,
    routers: Vec<Fleet>,
    indices: HashMap<Incarnation, usize>,
    addresses: HashMap<SocketAddr, usize>,
    links: BTreeSet<(usize, usize)>,
    inbox: BinaryHeap<Reverse<(Millis, u64)>>,
    events: HashMap<u64, (usize, Event)>,
    last_event: u64,
    cost: Cost,
    listed: u64,
    withdrawn: Vec<Option<Millis>>,
    in_force: Vec<Option<Millis>>,
}

fn config(version: u64) -> Config {
    let backend = |i| {
        format!(
            r#"{{"name":"b{i}","pool":"p","address":"192.0.2.1:{}","failure_domain":"d0"}}"#,
            i + 1
        )
    };
    let backends: Vec<String> = (0..BACKENDS).map(backend).collect();
    let text = format!(
        r#"{{"version":{version},"site":"s","routing":{{}},"ledger":{{}},"backends":[{}]}}"#,
        backends.join(",")
    );
    serde_json::from_str(&text).expect("a valid configuration")
}

impl World {
    fn new(seed: u64, routers: usize) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let address = |i: usize, port| {
            let [_, _, high, low] = (i as u32).to_be_bytes();
            SocketAddr::from(([10, 0, high, low], port))
        };
        let identity = |i| RouterIdentity {
            incarnation: Incarnation(rng.random()),
            host: format!("host-{i}"),
            failure_domain: format!("d{}", i % 7),
            region: "r".to_owned(),
            caller_address: address(i, 80),
            peer_address: address(i, 81),
            capacity: 0,
            bandwidth: 0,
            seeds: (0..3).map(|i| address(i, 81)).collect(),
        };
        let identities: Vec<RouterIdentity> = (0..routers).map(identity).collect();
        let indices = identities.iter().enumerate();
        World {
            now: Millis(0),
            indices: indices.clone().map(|(i, id)| (id.incarnation, i)).collect(),
            addresses: indices.map(|(i, id)| (id.peer_address, i)).collect(),
            routers: identities
                .into_iter()
                .map(|id| Fleet::new(id, seed))
                .collect(),
            rng,
            links: BTreeSet::new(),
            inbox: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            cost: Cost::default(),
            listed: 1,
            withdrawn: vec![None; routers],
            in_force: vec![None; routers],
        }
    }

    fn post(&mut self, to: usize, delay: u64, event: Event) {
        self.last_event += 1;
        self.inbox
            .push(Reverse((self.now + Millis(delay), self.last_event)));
        self.events.insert(self.last_event, (to, event));
    }

    fn advance(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + Millis(10);
            for i in 0..self.routers.len() {
                self.poll(i);
            }
            while let Some(&Reverse((at, last_event))) =
                self.inbox.peek().filter(|r| r.0.0 <= self.now)
            {
                self.inbox.pop();
                debug_assert!(at <= self.now);
                if let Some((to, event)) = self.events.remove(&last_event) {
                    self.handle(to, event);
                }
            }
        }
    }

    /// Ticks router `i`, and lets it read the platform and poll load where it has to. The routers
    /// do so at different times.
    fn poll(&mut self, i: usize) {
        let at = self.now.0 + 10 * (i as u64 * 7 % 50);
        if at.is_multiple_of(Fleet::TICK.0) {
            self.handle(i, Event::Tick);
        }
        if !at.is_multiple_of(POLL.0) {
            return;
        }
        let requested_at = self.now;
        if self.routers[i].reads_platform(self.now) {
            self.cost.polls += 1;
            let version = self.listed;
            let digest = Digest(version.into());
            self.post(
                i,
                5,
                Event::ConfigHead {
                    version,
                    digest,
                    requested_at,
                },
            );
            let hosts = self.hosts();
            self.post(
                i,
                5,
                Event::HostList {
                    version,
                    hosts,
                    requested_at,
                },
            );
        }
        for b in 0..BACKENDS {
            let backend = format!("b{b}");
            if self.routers[i].polls_load(&backend) {
                let as_of = requested_at;
                let (running, waiting, capacity, kv_used) = (7, 0, 16, 400);
                let load = Load {
                    backend,
                    running,
                    waiting,
                    capacity,
                    kv_used,
                    polled: true,
                    pace_percent: None,
                    token_time_us: None,
                    as_of,
                };
                self.post(i, 2, Event::LoadReport(load));
            }
        }
    }

    /// Returns the host list. From version 2 on, its first backend server is leaving.
    fn hosts(&self) -> Vec<HostEntry> {
        let leaves = |i| i == 0 && self.listed > 1;
        let entry = |i| HostEntry {
            name: format!("b{i}"),
            address: ([192, 0, 2, 1], 80).into(),
            role: HostRole::Backend,
            state: if leaves(i) {
                HostState::Leaving
            } else {
                HostState::Live
            },
        };
        (0..BACKENDS).map(entry).collect()
    }

    fn handle(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        let start = Instant::now();
        self.routers[i].handle(self.now, event, &mut out);
        self.cost.spent += start.elapsed();
        self.cost.events += 1;
        for action in out {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let mut bytes = Vec::new();
                ciborium::into_writer(&*message, &mut bytes).expect("a message is encodable");
                self.cost.messages += 1;
                self.cost.bytes += bytes.len() as u64;
                let from = self.routers[i].member().incarnation;
                let message = ciborium::from_reader(&bytes[..]).expect("a message is decodable");
                let delay = self.rng.random_range(1..4);
                let to = self.indices[&to];
                let message = Box::new(message);
                self.post(to, delay, Event::Message { from, message });
            }
            Action::Connect(address) => {
                let j = self.addresses[&address];
                if i != j && self.links.insert((i.min(j), i.max(j))) {
                    let (left, right) = (self.routers[i].member(), self.routers[j].member());
                    let (left, right) = (left.clone(), right.clone());
                    self.post(j, 2, Event::PeerUp(left));
                    self.post(i, 2, Event::PeerUp(right));
                }
            }
            Action::FetchConfig => {
                let (config, digest) = (config(self.listed).into(), Digest(self.listed.into()));
                self.post(i, 5, Event::Config { config, digest });
            }
            Action::ApplyConfig(config) if config.version > 1 => self.in_force[i] = Some(self.now),
            Action::Withdraw(names) if !names.is_empty() => self.withdrawn[i] = Some(self.now),
            _ => {}
        }
    }
}

/// Returns the time from `start` to the latest of `times`, or a dash if one is missing.
fn latest(times: &[Option<Millis>], start: Millis) -> String {
    let all: Option<Vec<Millis>> = times.iter().copied().collect();
    let last = all.and_then(|all| all.into_iter().max());
    last.map_or("-".to_owned(), |at| at.since(start).to_string())
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    println!("seed={seed}\n");
    println!(
        "| routers | links a router | messages/s a router | bytes/s a router | events/s a router | \
         CPU µs/s a router | platform polls/s of the fleet | withdrawal on all, ms | configuration on all, ms | members known |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for routers in [7, 25, 50, 100, 420] {
        let mut world = World::new(seed, routers);
        world.advance(WARM_UP);
        world.cost = Cost::default();
        world.advance(MEASURED_TIME);
        let cost = std::mem::take(&mut world.cost);
        let known = world
            .routers
            .iter()
            .map(Fleet::known_members)
            .min()
            .unwrap_or(0);
        let start = world.now;
        world.listed = 2;
        world.advance(Millis(10_000));
        let per = |n: u64| n as f64 * 1_000.0 / MEASURED_TIME.0 as f64 / routers as f64;
        println!(
            "| {routers} | {:.1} | {:.1} | {:.0} | {:.1} | {:.0} | {:.1} | {} | {} | {known} |",
            world.links.len() as f64 * 2.0 / routers as f64,
            per(cost.messages),
            per(cost.bytes),
            per(cost.events),
            per(cost.spent.as_micros() as u64),
            per(cost.polls) * routers as f64,
            latest(&world.withdrawn, start),
            latest(&world.in_force, start),
        );
    }
}
