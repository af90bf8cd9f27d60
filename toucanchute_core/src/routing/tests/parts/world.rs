//! Routers, replicas and callers on simulated time, with a part of prompts that may crash replicas.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::{
    AttemptId, Incarnation, Millis,
    fleet::{Scope, Standing, Verdict},
};

use crate::routing::{
    Action, AttemptReport, CrashKind, Dispatcher, Event, RefusalReason, RoutingRequest,
    part_digest,
    suspects::SuspectKey,
    tests::simulation::{assign, config},
};

pub(super) const ROUTERS: usize = 7;
const REPLICAS: usize = 12;
const CONCURRENCY: u32 = 16;

/// Time of one step.
const STEP: Millis = Millis(5);

/// Bound of the time that a verdict takes to reach another router, in milliseconds.
const MAX_GOSSIP_DELAY_MS: u64 = 60;

/// Time for which a crashed replica is down.
const RESTART: Millis = Millis(3_000);

/// Time from the start of a run to its first token.
const FIRST_TOKEN: Millis = Millis(150);

/// Time from the start of a run to the crash under the bad part.
const CRASH_AFTER: Millis = Millis(260);

/// Attempts that a router's edge makes for one call.
const MAX_ATTEMPTS: u32 = 3;

/// Time that a caller waits for its first token.
const TIMEOUT: Millis = Millis(4_000);

/// Time after which the users count a router as informed.
pub(super) const STABLE: Millis = Millis(3_000);

/// Number of crashes after which further runs with the bad part count.
pub(super) const COUNTED_CRASHES: usize = 5;

/// A request and what became of it.
struct Call {
    router: usize,
    req: RoutingRequest,
    parts: Vec<u64>,
    sent: Millis,
}

struct Run {
    router: usize,
    attempt: AttemptId,
    call: u64,
    replica: usize,
    started: Millis,
    first_token_sent: bool,
    ends: Millis,
}

/// A sound request's start: when it was sent and when it first began to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct SoundCall {
    pub(super) sent: Millis,
    pub(super) started: Option<Millis>,
}

pub(super) struct World {
    pub(super) now: Millis,
    rng: SmallRng,
    routers: Vec<Dispatcher>,
    inbox: BTreeMap<(Millis, u64), (usize, Event)>,
    serial: u64,
    calls: BTreeMap<u64, Call>,
    running: Vec<Run>,
    down_until: Vec<Millis>,
    /// The parts that crash replicas at present.
    pub(super) bad: BTreeSet<u64>,
    /// When replicas crashed under the bad part.
    pub(super) crashes: Vec<Millis>,
    /// When runs with the bad part began.
    pub(super) bad_starts: Vec<Millis>,
    /// When runs with a bad part began while another one was in progress.
    pub(super) overlapping_starts: Vec<Millis>,
    pub(super) sound: BTreeMap<u64, SoundCall>,
    /// Parts that were put in quarantine.
    pub(super) quarantined: BTreeSet<u128>,
    /// Calls that were refused as quarantined.
    pub(super) refused: BTreeMap<u64, Millis>,
    pub(super) reasons: BTreeMap<String, usize>,
    /// Verdicts that were sent.
    pub(super) verdicts: usize,
    /// The last verdict that was sent on each request and part.
    last_verdicts: BTreeMap<SuspectKey, Verdict>,
    /// Number of routers that were started.
    starts: u64,
}

impl World {
    pub(super) fn new(seed: u64) -> World {
        World::with_routers(seed, ROUTERS)
    }

    /// Starts `count` routers that have seen no answers.
    pub(super) fn with_routers(seed: u64, count: usize) -> World {
        let router = |i: usize| Dispatcher::new(Incarnation(i as u64 + 1), "d0", seed + i as u64);
        let mut world = World {
            now: Millis(100_000),
            rng: SmallRng::seed_from_u64(seed),
            routers: (0..count).map(router).collect(),
            inbox: BTreeMap::new(),
            serial: 0,
            calls: BTreeMap::new(),
            running: Vec::new(),
            down_until: vec![Millis(0); REPLICAS],
            bad: BTreeSet::new(),
            crashes: Vec::new(),
            bad_starts: Vec::new(),
            overlapping_starts: Vec::new(),
            sound: BTreeMap::new(),
            quarantined: BTreeSet::new(),
            refused: BTreeMap::new(),
            verdicts: 0,
            last_verdicts: BTreeMap::new(),
            starts: count as u64,
            reasons: BTreeMap::new(),
        };
        for r in 0..count {
            let config = config(REPLICAS, CONCURRENCY).into();
            let withdrawn = BTreeSet::new();
            world.post(r, 0, Event::Configure { config, withdrawn });
        }
        world
    }

    /// Runs one step of time.
    pub(super) fn step(&mut self) {
        self.now = self.now + STEP;
        self.send_first_tokens();
        self.end_runs();
        if self.now.0.is_multiple_of(20) {
            (0..self.routers.len()).for_each(|r| self.post(r, 0, Event::Tick));
        }
        self.deliver();
    }

    /// Sends a request with these shared parts to a random router; returns its call.
    pub(super) fn send(&mut self, parts: &[u64]) -> u64 {
        self.serial += 1;
        let call = self.serial;
        let router = self.rng.random_range(0..self.routers.len());
        let customer = self.rng.random_range(0..4);
        let mut req = assign(call, customer, 60, self.now + TIMEOUT);
        let digests = parts.iter().map(|&part| part_digest(&req.target, part));
        req.parts = digests.collect();
        if !parts.iter().any(|part| self.bad.contains(part)) {
            let (sent, started) = (self.now, None);
            self.sound.insert(call, SoundCall { sent, started });
        }
        let call_state = Call {
            router,
            req: req.clone(),
            parts: parts.to_vec(),
            sent: self.now,
        };
        self.calls.insert(call, call_state);
        self.post(router, 0, Event::Assign(req));
        call
    }

    /// Kills a router with its requests and starts another one, which learns the verdicts for which
    /// `is_learnt` holds: those of its peers, or those that the store keeps.
    pub(super) fn restart(&mut self, router: usize, is_learnt: impl Fn(&Verdict) -> bool) {
        self.starts += 1;
        self.running.retain(|r| r.router != router);
        self.calls.retain(|_, c| c.router != router);
        self.inbox.retain(|_, (to, _)| *to != router);
        self.routers[router] = Dispatcher::new(Incarnation(self.starts), "d0", self.starts);
        let config = config(REPLICAS, CONCURRENCY).into();
        let withdrawn = BTreeSet::new();
        self.post(router, 0, Event::Configure { config, withdrawn });
        let verdicts = self.last_verdicts.values().filter(|v| is_learnt(v));
        for v in verdicts.cloned().collect::<Vec<_>>() {
            self.post(router, 50, Event::Verdict(v));
        }
    }

    /// Crashes a replica with all that runs on it.
    pub(super) fn crash(&mut self, replica: usize) {
        self.down_until[replica] = self.now + RESTART;
        while let Some(at) = self.running.iter().position(|r| r.replica == replica) {
            let kind = CrashKind::Disconnected;
            self.end_run(at, AttemptReport::Crashed { kind });
        }
    }

    /// Returns the runs with the bad part that the users count: those that began later than
    /// [`STABLE`] after crash number [`COUNTED_CRASHES`].
    pub(super) fn counted_bad_starts(&self) -> usize {
        let Some(&fifth) = self.crashes.get(COUNTED_CRASHES - 1) else {
            return 0;
        };
        let late = |at: &&Millis| **at > fifth + STABLE;
        self.bad_starts.iter().filter(late).count()
    }

    /// Returns the share of the sound requests that begin within a second, of those sent from twice
    /// [`STABLE`] after crash number [`COUNTED_CRASHES`], or after the last if there are fewer.
    pub(super) fn late_sound_share(&self) -> f64 {
        let last = self.crashes.len().min(COUNTED_CRASHES);
        let crash = last.checked_sub(1).map_or(Millis(0), |at| self.crashes[at]);
        self.sound_share(crash + STABLE + STABLE, self.now - Millis(1_000))
    }

    /// Returns the share of the sound requests sent in a span that began within a second.
    pub(super) fn sound_share(&self, from: Millis, until: Millis) -> f64 {
        let sent = |c: &&SoundCall| c.sent >= from && c.sent < until;
        let calls: Vec<&SoundCall> = self.sound.values().filter(sent).collect();
        let in_time = |c: &&&SoundCall| c.started.is_some_and(|at| at <= c.sent + Millis(1_000));
        calls.iter().filter(in_time).count() as f64 / calls.len().max(1) as f64
    }

    // Events

    fn post(&mut self, router: usize, delay: u64, event: Event) {
        self.serial += 1;
        let at = self.now + Millis(delay);
        self.inbox.insert((at, self.serial), (router, event));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.inbox.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (router, event) = entry.remove();
            let mut out = Vec::new();
            self.routers[router].handle(self.now, event, &mut out);
            for action in out {
                self.perform(router, action);
            }
        }
    }

    fn perform(&mut self, router: usize, action: Action) {
        match action {
            Action::Assigned {
                call,
                attempt,
                backend,
                ..
            } => self.start_run(router, call, attempt, backend[1..].parse().unwrap()),
            Action::Refused { call, reason, .. } => {
                self.calls.remove(&call);
                *self.reasons.entry(format!("{reason:?}")).or_default() += 1;
                if reason == RefusalReason::Quarantined {
                    self.refused.insert(call, self.now);
                }
            }
            Action::Verdict(v) => {
                self.verdicts += 1;
                self.last_verdicts.insert(SuspectKey::of(&v), v.clone());
                if (v.scope, v.standing) == (Scope::Part, Standing::Quarantined) {
                    self.quarantined.insert(v.digest.0);
                }
                for peer in (0..self.routers.len()).filter(|&p| p != router) {
                    let delay = self.rng.random_range(5..MAX_GOSSIP_DELAY_MS);
                    self.post(peer, delay, Event::Verdict(v.clone()));
                }
            }
            _ => {}
        }
    }

    // Runs

    fn start_run(&mut self, router: usize, call: u64, attempt: AttemptId, replica: usize) {
        let is_bad = self.is_bad(call);
        if self.down_until[replica] > self.now {
            let report = AttemptReport::Gone;
            self.post(router, 1, Event::Report { attempt, report });
            return self.retry(call, replica);
        }
        if is_bad {
            self.bad_starts.push(self.now);
            if self.running.iter().any(|r| self.is_bad(r.call)) {
                self.overlapping_starts.push(self.now);
            }
        }
        if let Some(sound) = self.sound.get_mut(&call) {
            sound.started = sound.started.or(Some(self.now));
        }
        let span = match is_bad {
            true => CRASH_AFTER,
            false => Millis(self.rng.random_range(800..2_500)),
        };
        self.running.push(Run {
            router,
            attempt,
            call,
            replica,
            started: self.now,
            first_token_sent: false,
            ends: self.now + span,
        });
    }

    fn is_bad(&self, call: u64) -> bool {
        let parts = self.calls.get(&call).map(|c| &c.parts);
        parts.is_some_and(|p| p.iter().any(|part| self.bad.contains(part)))
    }

    fn send_first_tokens(&mut self) {
        let now = self.now;
        let due = |r: &&mut Run| !r.first_token_sent && r.started + FIRST_TOKEN <= now;
        let due = self.running.iter_mut().filter(due).map(|r| {
            r.first_token_sent = true;
            (r.router, r.attempt)
        });
        for (router, attempt) in due.collect::<Vec<_>>() {
            let report = AttemptReport::FirstToken;
            self.post(router, 0, Event::Report { attempt, report });
        }
    }

    fn end_runs(&mut self) {
        while let Some(at) = self.running.iter().position(|r| r.ends <= self.now) {
            if self.is_bad(self.running[at].call) {
                self.crashes.push(self.now);
                self.crash(self.running[at].replica);
            } else {
                self.end_run(at, AttemptReport::Done { tokens: 20 });
            }
        }
    }

    fn end_run(&mut self, at: usize, report: AttemptReport) {
        let run = self.running.remove(at);
        let attempt = run.attempt;
        self.post(run.router, 1, Event::Report { attempt, report });
        match report {
            AttemptReport::Done { .. } => drop(self.calls.remove(&run.call)),
            _ => self.retry(run.call, run.replica),
        }
    }

    fn retry(&mut self, call: u64, replica: usize) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        let req = &mut state.req;
        req.attempts += 1;
        req.exclude.push(format!("b{replica}"));
        if req.attempts >= MAX_ATTEMPTS || state.sent + TIMEOUT < self.now {
            self.calls.remove(&call);
            return;
        }
        let (router, req) = (state.router, req.clone());
        self.post(router, 2, Event::Assign(req));
    }
}
