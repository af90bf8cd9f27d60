//! An outage of the store for all of a large fleet, of which a router hears a sample.

use std::sync::Arc;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{Ack, FleetBody, FleetMessage, FoundBody, Gossip, Head, Member, MemberState},
};

use crate::fleet::{Action, Event, Fleet, NotReady, RouterIdentity};

/// Members of the fleet besides the router.
const OTHERS: u64 = 100;

/// Age of a view from which on a router reads itself.
const MAX_AGE: u64 = 3_400;

/// When the store was last seen.
const SEEN: u64 = 10_000;

fn member(i: u64, state: MemberState) -> Member {
    Member {
        incarnation: Incarnation(i),
        host: format!("h{i}"),
        failure_domain: format!("d{}", i % 6),
        region: "r".to_owned(),
        caller_address: format!("192.0.2.{i}:80"),
        peer_address: format!("192.0.2.{i}:81"),
        state,
        update: 1,
        outage: false,
        capacity: 120,
    }
}

/// A router of a fleet that has just seen the store.
fn router() -> Fleet {
    let id = RouterIdentity {
        incarnation: Incarnation(1_000),
        host: "h".to_owned(),
        failure_domain: "d0".to_owned(),
        region: "r".to_owned(),
        caller_address: "192.0.2.200:80".parse().unwrap(),
        peer_address: "192.0.2.200:81".parse().unwrap(),
        capacity: 120,
        seeds: Vec::new(),
    };
    let mut router = Fleet::new(id, 1).following_registrations(Millis(MAX_AGE));
    for i in 1..=OTHERS {
        let member = member(i, MemberState::Alive);
        match i <= 8 {
            true => tell(&mut router, SEEN, Event::PeerUp(member)),
            false => router.merge_member(Millis(SEEN), &member),
        }
    }
    let config = Config {
        version: 1,
        ..Config::default()
    };
    let (digest, requested_at, version) = (Digest(1), Millis(SEEN), 1);
    let config = Arc::new(config);
    tell(&mut router, SEEN, Event::Config { config, digest });
    let head = Event::ConfigHead {
        version,
        digest,
        requested_at,
    };
    tell(&mut router, SEEN, head);
    let body = FoundBody {
        revision: 1,
        since: None,
        entries: Vec::new(),
    };
    tell(
        &mut router,
        SEEN,
        Event::Registrations { body, requested_at },
    );
    router
}

fn tell(router: &mut Fleet, now: u64, event: Event) {
    router.handle(Millis(now), event, &mut Vec::new());
}

/// Lets time pass until `until`, in which peers acknowledge pings; `answer` tells whether one of them
/// reaches the store, or `None` if it does not answer.
/// Returns the last change of the router's readiness.
fn pass(
    router: &mut Fleet,
    from: u64,
    until: u64,
    answer: impl Fn(u64) -> Option<bool>,
) -> Option<Result<(), NotReady>> {
    let mut readiness = None;
    for now in (from..until).step_by(100) {
        let mut out = Vec::new();
        router.handle(Millis(now), Event::Tick, &mut out);
        for action in out {
            let (to, message) = match action {
                Action::Send { to, message } => (to, message),
                Action::Readiness(ready) => {
                    readiness = Some(ready);
                    continue;
                }
                _ => continue,
            };
            let (FleetBody::Ping(ping), Some(reaches)) = (message.body, answer(to.0)) else {
                continue;
            };
            let body = FleetBody::Ack(Ack {
                seq: ping.seq,
                confirmed_age: None,
                outage: false,
                lost: !reaches,
            });
            let head = Head {
                version: 1,
                digest: Digest(1),
            };
            let gossip = Gossip {
                head,
                hosts: 1,
                backends: None,
                members: Vec::new(),
                verdicts: Vec::new(),
                loads: Vec::new(),
            };
            let message = Box::new(FleetMessage { body, gossip });
            tell(router, now, Event::Message { from: to, message });
        }
    }
    readiness
}

/// Whether a router that lost the store at `SEEN` takes the outage for one of all.
fn agreed(until: u64, answer: impl Fn(u64) -> Option<bool>) -> bool {
    let mut router = router();
    tell(&mut router, SEEN, Event::PlatformDown);
    pass(&mut router, SEEN, until, answer);
    router.is_outage_agreed(Millis(until))
}

#[test]
fn an_outage_of_all_shows_in_a_sample() {
    assert!(agreed(SEEN + MAX_AGE + 1_600, |_| Some(false)));
}

/// The first router that reaches the store again ends the agreement; the others take work on while
/// they hear what is new.
#[test]
fn the_end_of_an_outage_stops_nobody() {
    let mut router = router();
    tell(&mut router, SEEN, Event::PlatformDown);
    let end = SEEN + 3 * MAX_AGE;
    let stopped = |ready: Option<Result<(), NotReady>>| ready.is_some_and(|r| r.is_err());
    assert!(!stopped(pass(&mut router, SEEN, end, |_| Some(false))));
    assert!(!stopped(pass(&mut router, end, end + 900, |_| Some(true))));
    assert!(!router.is_outage_agreed(Millis(end + 900)));
    // It has heard nothing new in all that time.
    assert!(stopped(pass(
        &mut router,
        end + 900,
        end + 2_500,
        |_| Some(true)
    )));
}

#[test]
fn it_does_not_show_while_somebody_may_still_read() {
    assert!(!agreed(SEEN + MAX_AGE + 1_300, |_| Some(false)));
}

#[test]
fn one_peer_that_reaches_the_store_is_enough_to_know_better() {
    assert!(!agreed(SEEN + MAX_AGE + 1_600, |peer| Some(peer == 3)));
}

#[test]
fn a_router_that_hears_of_few_does_not_know() {
    let few = |peer| (peer <= 4).then_some(false);
    assert!(!agreed(SEEN + MAX_AGE + 1_600, few));
}

#[test]
fn a_router_that_lost_most_of_the_fleet_does_not_know() {
    let mut router = router();
    tell(&mut router, SEEN, Event::PlatformDown);
    for i in 20..=OTHERS {
        router.merge_member(Millis(SEEN + 1), &member(i, MemberState::Gone));
    }
    let until = SEEN + MAX_AGE + 1_600;
    pass(&mut router, SEEN, until, |_| Some(false));
    assert!(!router.is_outage_agreed(Millis(until)));
}

#[test]
fn a_router_whose_own_calls_are_answered_does_not_care() {
    let mut router = router();
    let until = SEEN + MAX_AGE + 1_600;
    pass(&mut router, SEEN, until, |_| Some(false));
    assert!(!router.is_outage_agreed(Millis(until)));
}
