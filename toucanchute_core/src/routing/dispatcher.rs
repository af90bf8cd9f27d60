use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use toucanchute_proto::{AttemptId, Incarnation, Millis, config::Config};

use super::{Action, Assign, Event, RefusalReason, Report, Target};

/// Chooses a backend server for each request of one router.
#[derive(Debug)]
pub struct Dispatcher {
    incarnation: Incarnation,
    domain: String,
    last_attempt: u64,
    replicas: BTreeMap<String, Replica>,
    pools: BTreeMap<Target, String>,
    attempts: BTreeMap<AttemptId, String>,
    waiting: Vec<Assign>,
}

#[derive(Debug)]
struct Replica {
    address: SocketAddr,
    domain: String,
    pool: String,
    limit: u32,
    running: u32,
    usable: bool,
}

impl Dispatcher {
    /// Creates a dispatcher of the router `incarnation` in failure domain `domain`.
    #[must_use]
    pub fn new(incarnation: Incarnation, domain: &str, _seed: u64) -> Dispatcher {
        Dispatcher {
            incarnation,
            domain: domain.to_owned(),
            last_attempt: 0,
            replicas: BTreeMap::new(),
            pools: BTreeMap::new(),
            attempts: BTreeMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Takes in one event and pushes what has to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Configure { config, withdrawn } => self.configure(&config, &withdrawn),
            Event::Assign(req) => self.waiting.push(req),
            Event::Abandon { call } => self.waiting.retain(|w| w.call != call),
            Event::Report { attempt, report } => self.report(attempt, report),
            Event::Load(_) | Event::CacheEvents { .. } | Event::Verdict(_) | Event::Tick => {}
        }
        self.dispatch(now, out);
    }

    fn configure(&mut self, config: &Arc<Config>, withdrawn: &BTreeSet<String>) {
        self.pools.clear();
        for m in &config.models {
            self.pools
                .insert(Target::Model(m.name.clone()), m.pool.clone());
        }
        for s in &config.services {
            self.pools
                .insert(Target::Service(s.name.clone()), s.pool.clone());
        }
        self.replicas.values_mut().for_each(|r| r.usable = false);
        for b in &config.backends {
            let Ok(address) = b.address.parse() else {
                continue;
            };
            let pool = config.pools.iter().find(|p| p.name == b.pool);
            let running = self.replicas.get(&b.name).map_or(0, |r| r.running);
            let replica = Replica {
                address,
                domain: b.failure_domain.clone(),
                pool: b.pool.clone(),
                limit: pool.map_or(1, |p| p.max_concurrency),
                running,
                usable: !withdrawn.contains(&b.name),
            };
            self.replicas.insert(b.name.clone(), replica);
        }
    }

    fn report(&mut self, attempt: AttemptId, report: Report) {
        if report == Report::FirstToken {
            return;
        }
        let Some(name) = self.attempts.remove(&attempt) else {
            return;
        };
        if let Some(r) = self.replicas.get_mut(&name) {
            r.running = r.running.saturating_sub(1);
        }
    }

    fn dispatch(&mut self, now: Millis, out: &mut Vec<Action>) {
        for req in std::mem::take(&mut self.waiting) {
            if !self.assign(&req, out) {
                self.wait_or_refuse(now, req, out);
            }
        }
    }

    fn assign(&mut self, req: &Assign, out: &mut Vec<Action>) -> bool {
        let pool = self.pools.get(&req.target);
        let fit = |(name, r): &(&String, &mut Replica)| {
            r.usable && Some(&r.pool) == pool && r.running < r.limit && !req.exclude.contains(*name)
        };
        let best = self
            .replicas
            .iter_mut()
            .filter(fit)
            .min_by_key(|(_, r)| (r.running, r.domain != self.domain));
        let Some((name, replica)) = best else {
            return false;
        };
        replica.running += 1;
        self.last_attempt += 1;
        let attempt = AttemptId(self.incarnation, self.last_attempt);
        self.attempts.insert(attempt, name.clone());
        out.push(Action::Assigned {
            call: req.call,
            attempt,
            backend: name.clone(),
            address: replica.address,
        });
        true
    }

    fn wait_or_refuse(&mut self, now: Millis, req: Assign, out: &mut Vec<Action>) {
        let reason = match self.pools.contains_key(&req.target) {
            false => RefusalReason::NoBackend,
            true if now >= req.deadline => RefusalReason::Overloaded,
            true => {
                self.waiting.push(req);
                return;
            }
        };
        out.push(Action::Refused {
            call: req.call,
            reason,
            retry_after: Some(Millis(1_000)),
        });
    }
}
