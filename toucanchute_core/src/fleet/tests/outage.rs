//! How a router of a large fleet concludes from a sample of its peers that no router reaches the
//! store.

use std::sync::Arc;

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    config::Config,
    fleet::{Ack, FleetBody, FleetMessage, FoundBody, Gossip, Head, Member, MemberState},
};

use crate::fleet::{Action, Event, Fleet, NotReady, RouterIdentity};
use crate::placement::FULL_SHARE;

/// Number of members besides the router under test.
const OTHERS: u64 = 100;

/// Age of a view above which a router reads the store for itself, in milliseconds.
const MAX_AGE: u64 = 3_400;

/// When the router last read the store, in milliseconds.
const READ_AT: u64 = 10_000;

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
        bandwidth: 10_000,
        list_share: FULL_SHARE,
    }
}

/// Returns a router of a large fleet that has just read the store.
fn router() -> Fleet {
    let id = RouterIdentity {
        incarnation: Incarnation(1_000),
        host: "h".to_owned(),
        failure_domain: "d0".to_owned(),
        region: "r".to_owned(),
        caller_address: "192.0.2.200:80".parse().unwrap(),
        peer_address: "192.0.2.200:81".parse().unwrap(),
        capacity: 120,
        bandwidth: 10_000,
        seeds: Vec::new(),
    };
    let mut router = Fleet::new(id, 1).following_registrations(Millis(MAX_AGE));
    for i in 1..=OTHERS {
        let member = member(i, MemberState::Alive);
        match i <= 8 {
            true => handle(&mut router, READ_AT, Event::PeerUp(member)),
            false => router.merge_member(Millis(READ_AT), &member),
        }
    }
    let config = Config {
        version: 1,
        ..Config::default()
    };
    let (digest, requested_at, version) = (Digest(1), Millis(READ_AT), 1);
    let config = Arc::new(config);
    handle(&mut router, READ_AT, Event::Config { config, digest });
    let head = Event::ConfigHead {
        version,
        digest,
        requested_at,
    };
    handle(&mut router, READ_AT, head);
    let body = FoundBody {
        revision: 1,
        since: None,
        entries: Vec::new(),
    };
    handle(
        &mut router,
        READ_AT,
        Event::Registrations { body, requested_at },
    );
    router
}

fn handle(router: &mut Fleet, now: u64, event: Event) {
    router.handle(Millis(now), event, &mut Vec::new());
}

/// Runs the router until `until` while its peers acknowledge pings. `answer` returns whether a peer
/// reaches the store, or `None` if the peer does not acknowledge. Returns the last change of the
/// router's readiness.
fn run(
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
                evacuation_revision: None,
                evacuations: None,
                members: Vec::new(),
                verdicts: Vec::new(),
                shared_loads: Vec::new(),
                hints: Vec::new(),
            };
            let message = Box::new(FleetMessage { body, gossip });
            handle(router, now, Event::Message { from: to, message });
        }
    }
    readiness
}

/// Whether a router that lost the store at `READ_AT` agrees at `until` that no router reaches it.
fn agreed_at(until: u64, answer: impl Fn(u64) -> Option<bool>) -> bool {
    let mut router = router();
    handle(&mut router, READ_AT, Event::PlatformDown);
    run(&mut router, READ_AT, until, answer);
    router.is_outage_agreed(Millis(until))
}

#[test]
fn a_sample_shows_an_outage_of_the_whole_fleet() {
    assert!(agreed_at(READ_AT + MAX_AGE + 1_600, |_| Some(false)));
}

/// The first router that reaches the store again ends the agreement on an outage. The others
/// continue to take work while they wait for its updates.
#[test]
fn the_end_of_an_outage_does_not_stop_routers() {
    let mut router = router();
    handle(&mut router, READ_AT, Event::PlatformDown);
    let end = READ_AT + 3 * MAX_AGE;
    let stopped = |ready: Option<Result<(), NotReady>>| ready.is_some_and(|r| r.is_err());
    assert!(!stopped(run(&mut router, READ_AT, end, |_| Some(false))));
    assert!(!stopped(run(&mut router, end, end + 900, |_| Some(true))));
    assert!(!router.is_outage_agreed(Millis(end + 900)));
    // It has received no update in all that time.
    assert!(stopped(run(&mut router, end + 900, end + 2_500, |_| Some(
        true
    ))));
}

#[test]
fn no_outage_is_agreed_while_another_router_may_still_read() {
    assert!(!agreed_at(READ_AT + MAX_AGE + 1_300, |_| Some(false)));
}

#[test]
fn one_peer_that_reaches_the_store_rules_out_an_outage() {
    assert!(!agreed_at(READ_AT + MAX_AGE + 1_600, |peer| Some(
        peer == 3
    )));
}

#[test]
fn a_sample_of_few_peers_shows_no_outage() {
    let few = |peer| (peer <= 4).then_some(false);
    assert!(!agreed_at(READ_AT + MAX_AGE + 1_600, few));
}

#[test]
fn a_router_that_lost_most_of_the_fleet_agrees_to_no_outage() {
    let mut router = router();
    handle(&mut router, READ_AT, Event::PlatformDown);
    for i in 20..=OTHERS {
        router.merge_member(Millis(READ_AT + 1), &member(i, MemberState::Gone));
    }
    let until = READ_AT + MAX_AGE + 1_600;
    run(&mut router, READ_AT, until, |_| Some(false));
    assert!(!router.is_outage_agreed(Millis(until)));
}

#[test]
fn a_router_that_reaches_the_store_agrees_to_no_outage() {
    let mut router = router();
    let until = READ_AT + MAX_AGE + 1_600;
    run(&mut router, READ_AT, until, |_| Some(false));
    assert!(!router.is_outage_agreed(Millis(until)));
}
