//! Backend servers that say that they leave or want rest, told one by one and in random walks.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use toucanchute_proto::{AttemptId, Incarnation, Millis};
use yare::parameterized;

use super::world::{assign, config};
use crate::routing::{
    Action, AttemptReport, BackendNotice, BackendState, CrashKind, Dispatcher, Event,
    RefusalReason, RoutingRequest,
};

/// A deadline that no test reaches.
const NEVER: Millis = Millis(1_000_000);

const CONCURRENCY: u32 = 4;

/// One router.
struct Router {
    dispatcher: Dispatcher,
    next_call: u64,
}

impl Router {
    fn new(seed: u64, replicas: usize) -> Router {
        let dispatcher = Dispatcher::new(Incarnation(seed), "d0", seed);
        let mut router = Router {
            dispatcher,
            next_call: 0,
        };
        router.configure(0, replicas, &[]);
        router
    }

    fn tell(&mut self, now: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.dispatcher.handle(Millis(now), event, &mut out);
        out
    }

    fn configure(&mut self, now: u64, replicas: usize, withdrawn: &[&str]) {
        let config = config(replicas, CONCURRENCY).into();
        let withdrawn: BTreeSet<String> = withdrawn.iter().map(|&n| n.to_owned()).collect();
        self.tell(now, Event::Configure { config, withdrawn });
    }

    fn word(&mut self, now: u64, backend: &str, word: BackendNotice) -> Vec<Action> {
        let backend = backend.to_owned();
        self.tell(
            now,
            Event::Notice {
                backend,
                notice: word,
            },
        )
    }

    fn rest(&mut self, now: u64, backend: &str, span: u64) -> Vec<Action> {
        let span = Millis(span);
        self.word(now, backend, BackendNotice::Backoff { duration: span })
    }

    /// Sends a request; returns what becomes of it at once.
    fn call(&mut self, now: u64) -> Vec<Action> {
        self.next_call += 1;
        let req = RoutingRequest {
            prefix: Vec::new(),
            ..assign(self.next_call, 0, 10, NEVER)
        };
        self.tell(now, Event::Assign(req))
    }

    fn report(&mut self, now: u64, attempt: AttemptId, report: AttemptReport) -> Vec<Action> {
        self.tell(now, Event::Report { attempt, report })
    }
}

fn started(out: &[Action]) -> Vec<(AttemptId, String)> {
    let started = out.iter().filter_map(|a| match a {
        Action::Assigned {
            attempt, backend, ..
        } => Some((*attempt, backend.clone())),
        _ => None,
    });
    started.collect()
}

fn refused(out: &[Action]) -> Option<(RefusalReason, u64)> {
    out.iter().find_map(|a| match a {
        Action::Refused {
            reason,
            retry_after,
            ..
        } => Some((*reason, retry_after.map_or(0, |after| after.0))),
        _ => None,
    })
}

// Guards against a leaving server that gets work again because a registration still lists it.
#[test]
fn a_server_that_said_it_leaves_gets_no_work_whatever_is_registered() {
    let mut router = Router::new(1, 2);
    router.word(1, "b0", BackendNotice::Leaving);
    router.configure(2, 1, &[]);
    router.configure(3, 2, &[]);
    router.configure(4, 2, &["b0"]);
    router.configure(5, 2, &[]);
    for now in 6..20 {
        for (attempt, backend) in started(&router.call(now)) {
            assert_eq!(backend, "b1");
            let done = AttemptReport::Done { tokens: 1 };
            router.report(now, attempt, done);
        }
    }
}

#[test]
fn requests_are_refused_at_once_when_the_last_server_leaves() {
    let mut router = Router::new(1, 1);
    for _ in 0..=CONCURRENCY {
        router.call(1);
    }
    let out = router.word(2, "b0", BackendNotice::Leaving);
    let reason = refused(&out).map(|(reason, _)| reason);
    assert_eq!(reason, Some(RefusalReason::NoBackend));
    let again = router.word(3, "b0", BackendNotice::Leaving);
    assert!(
        !again
            .iter()
            .any(|a| matches!(a, Action::BackendChanged { .. }))
    );
}

// Guards against a server that asked for rest and is sent work before its time is over.
#[test]
fn a_resting_server_gets_nothing_until_its_time_is_over_and_then_one_request() {
    let mut router = Router::new(1, 1);
    router.rest(1_000, "b0", 2_000);
    for now in (1_000..3_000).step_by(50) {
        assert_eq!(started(&router.call(now)), []);
    }
    let back = 3_000 + 400;
    let first = started(&router.call(back));
    assert_eq!(first.len(), 1);
    assert_eq!(started(&router.call(back + 1)), []);
    let done = AttemptReport::Done { tokens: 1 };
    let out = router.report(back + 10, first[0].0, done);
    assert_eq!(started(&out).len(), 1);
    assert!(!started(&router.call(back + 11)).is_empty());
}

#[test]
fn a_longer_rest_is_not_cut_short_by_a_later_answer() {
    let mut router = Router::new(1, 1);
    router.rest(1_000, "b0", 5_000);
    router.rest(1_100, "b0", 100);
    assert_eq!(started(&router.call(5_900)), []);
}

#[test]
fn while_all_rest_requests_are_told_when_the_first_is_back() {
    let mut router = Router::new(1, 2);
    router.rest(1_000, "b0", 4_000);
    router.rest(1_000, "b1", 2_000);
    let (reason, after) = refused(&router.call(1_500)).unwrap();
    assert_eq!(reason, RefusalReason::BackingOff);
    assert!((1_500..=2_300).contains(&after), "{after}");
}

#[test]
fn what_waits_is_refused_when_the_last_server_begins_to_rest() {
    let mut router = Router::new(1, 1);
    for _ in 0..=CONCURRENCY {
        router.call(1);
    }
    let out = router.rest(2, "b0", 3_000);
    assert_eq!(refused(&out).map(|r| r.0), Some(RefusalReason::BackingOff));
}

#[test]
fn a_short_rest_is_waited_for() {
    let mut router = Router::new(1, 1);
    router.rest(1_000, "b0", 150);
    assert_eq!(refused(&router.call(1_000)), None);
    assert_eq!(started(&router.tell(1_190, Event::Tick)).len(), 1);
}

#[test]
fn a_rest_without_end_is_bounded() {
    let mut router = Router::new(1, 1);
    router.rest(0, "b0", u64::MAX / 4);
    assert_eq!(started(&router.call(61_500)).len(), 1);
}

// Guards against routers that all come back to a server in the moment in which its rest ends.
#[test]
fn routers_come_back_one_after_the_other() {
    let back = |seed: u64| {
        let mut router = Router::new(seed, 1);
        router.rest(0, "b0", 3_000);
        (3_000..4_000).find(|&now| !started(&router.call(now)).is_empty())
    };
    let times: BTreeSet<Option<u64>> = (1..=30).map(back).collect();
    assert!(times.len() > 15, "{times:?}");
    assert!(!times.contains(&None));
}

// Guards against a rest that is forgotten while a registration is away for a moment.
#[test]
fn a_rest_outlasts_a_registration_that_lapses_and_returns() {
    let mut router = Router::new(1, 2);
    router.rest(1_000, "b1", 5_000);
    router.configure(1_100, 1, &[]);
    router.configure(1_200, 2, &[]);
    for now in 1_200..1_240 {
        for (_, backend) in started(&router.call(now)) {
            assert_eq!(backend, "b0");
        }
    }
}

// --- random walks

/// Servers of a walk. Each name is one run; a name that was used is never used for another run.
const SERVERS: usize = 6;

/// What each server said to one router.
#[derive(Default)]
struct Said {
    leaving: BTreeSet<String>,
    /// Time until which each wants nothing.
    resting: BTreeMap<String, u64>,
}

/// A router of a walk, what servers said to it, and what it has under way.
type Walker = (Router, Said, Vec<(AttemptId, String)>);

/// Lets routers meet servers that speak, registrations that are stale, lapse and come back, and
/// pauses, in which nothing is handled.
fn walk(seed: u64, routers: usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet: Vec<Walker> = (0..routers as u64)
        .map(|i| {
            let router = Router::new(i + 1, SERVERS);
            (router, Said::default(), Vec::new())
        })
        .collect();
    let mut now = 0;
    for _ in 0..40 * routers {
        now += rng.random_range(0..400);
        let (router, said, running) = &mut fleet[rng.random_range(0..routers)];
        let name = format!("b{}", rng.random_range(0..SERVERS));
        let out = match rng.random_range(0..12) {
            0 if rng.random_ratio(1, 4) => {
                said.leaving.insert(name.clone());
                router.word(now, &name, BackendNotice::Leaving)
            }
            1 => {
                let span = rng.random_range(1..6_000);
                let until = said.resting.entry(name.clone()).or_default();
                *until = (*until).max(now + span);
                router.rest(now, &name, span)
            }
            2 => {
                let withdrawn: &[&str] = if rng.random() { &[&name] } else { &[] };
                router.configure(now, rng.random_range(1..=SERVERS), withdrawn);
                Vec::new()
            }
            3 => router.tell(now, Event::RegistrationLapsed { backend: name }),
            4 => {
                now += rng.random_range(0..8_000);
                router.tell(now, Event::Tick)
            }
            5..8 if !running.is_empty() => {
                let (attempt, _) = running.swap_remove(rng.random_range(0..running.len()));
                let kind = CrashKind::TimedOut;
                let ends = [
                    AttemptReport::Done { tokens: 1 },
                    AttemptReport::Refused,
                    AttemptReport::Failed,
                    AttemptReport::Gone,
                    AttemptReport::Crashed { kind },
                ];
                router.report(now, attempt, ends[rng.random_range(0..ends.len())])
            }
            _ => router.call(now),
        };
        for (attempt, backend) in started(&out) {
            let rested = said.resting.get(&backend).copied().unwrap_or(0);
            assert!(
                !said.leaving.contains(&backend),
                "seed {seed}: {backend} left"
            );
            assert!(
                now >= rested,
                "seed {seed}: {backend} rests until {rested}, now {now}"
            );
            running.push((attempt, backend));
        }
    }
}

#[parameterized(
    small = { 7, 200 },
    middle = { 30, 60 },
    large = { 300, 8 },
)]
fn no_walk_reaches_a_server_that_leaves_or_rests(routers: usize, walks: u64) {
    for seed in 0..walks {
        walk(seed, routers);
    }
}

#[test]
fn the_log_is_told_once_of_each_change() {
    let mut router = Router::new(1, 1);
    let out = router.rest(1_000, "b0", 500);
    let resting = Action::BackendChanged {
        backend: "b0".to_owned(),
        state: BackendState::BackingOff {
            duration: Millis(500),
        },
    };
    assert!(out.contains(&resting));
    let out = router.call(1_700);
    let rested = |a: &&Action| matches!(a, Action::BackendChanged { state, .. } if *state == BackendState::BackoffEnded);
    assert_eq!(out.iter().filter(rested).count(), 1);
}
