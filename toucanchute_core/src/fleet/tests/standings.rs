//! Distribution of verdicts about requests during which backend servers crashed, when messages are
//! lost.

use toucanchute_proto::{
    Digest, Incarnation, Millis,
    fleet::{FleetMessage, Scope, Standing, Verdict},
};

use super::peers::linked;
use crate::fleet::{Action, Event, Fleet};

/// Age of a view above which a router reads the store for itself.
const VIEW_AGE: Millis = Millis(1_400);

/// Time after which a verdict is no longer gossiped, in milliseconds.
const GOSSIP_TIME: u64 = 10_000;

/// Time in which a router has to receive the quarantines that its peers know, in milliseconds.
const LEARN_TIME: u64 = 2_000;

const CRASHING_REQUEST: Digest = Digest(7);

fn quarantine(until: u64) -> Verdict {
    Verdict {
        digest: CRASHING_REQUEST,
        scope: Scope::Request,
        crashes: 0,
        candidates: Vec::new(),
        named: false,
        trial_at: None,
        standing: Standing::Quarantined,
        router: Incarnation(1),
        crash: None,
        claim: None,
        until: Millis(until),
    }
}

fn sent(out: Vec<Action>, to: u64) -> Vec<FleetMessage> {
    let message = |a| match a {
        Action::Send { to: peer, message } if peer == Incarnation(to) => Some(*message),
        _ => None,
    };
    out.into_iter().filter_map(message).collect()
}

/// Two routers with a link that may lose the messages of the first.
struct Pair {
    routers: [Fleet; 2],
    /// Verdicts that the second router passed to its dispatcher.
    received: Vec<Verdict>,
    /// Number of messages that arrived, and of verdicts in them.
    messages: usize,
    verdicts: usize,
    now: u64,
}

impl Pair {
    fn new() -> Pair {
        Pair {
            routers: [linked(1, [2], VIEW_AGE), linked(2, [1], VIEW_AGE)],
            received: Vec::new(),
            messages: 0,
            verdicts: 0,
            now: 0,
        }
    }

    /// Advances the time by `span` milliseconds. If `lossy`, all messages of the first router are
    /// lost.
    fn run(&mut self, span: u64, lossy: bool) {
        for _ in 0..span / Fleet::TICK.0 {
            self.now += Fleet::TICK.0;
            let mut outs = [Vec::new(), Vec::new()];
            for (router, out) in self.routers.iter_mut().zip(&mut outs) {
                router.handle(Millis(self.now), Event::Tick, out);
            }
            let [first, second] = outs;
            self.deliver(first, second, lossy);
        }
    }

    fn deliver(&mut self, mut first: Vec<Action>, mut second: Vec<Action>, lossy: bool) {
        while !first.is_empty() || !second.is_empty() {
            let to_second = sent(std::mem::take(&mut first), 2);
            let to_first = sent(std::mem::take(&mut second), 1);
            for message in to_second.into_iter().filter(|_| !lossy) {
                self.deliver_message(1, message, &mut second);
            }
            for message in to_first {
                self.deliver_message(0, message, &mut first);
            }
        }
    }

    fn deliver_message(&mut self, to: usize, message: FleetMessage, out: &mut Vec<Action>) {
        let from = Incarnation(2 - to as u64);
        self.messages += 1;
        self.verdicts += message.gossip.verdicts.len();
        let message = Box::new(message);
        let event = Event::Message { from, message };
        self.routers[to].handle(Millis(self.now), event, out);
        let received = out.iter().filter_map(|a| match a {
            Action::Verdict(v) if to == 1 => Some(v.clone()),
            _ => None,
        });
        self.received.extend(received);
    }

    /// Passes a verdict of the first router's dispatcher to that router.
    fn publish(&mut self, v: Verdict, lossy: bool) {
        let mut out = Vec::new();
        self.routers[0].handle(Millis(self.now), Event::Verdicts(vec![v]), &mut out);
        self.deliver(out, Vec::new(), lossy);
    }
}

// Guards against a router that missed the gossip about a quarantine and forwards the request
// forever.
#[test]
fn a_router_that_missed_a_quarantine_learns_it_later() {
    let mut pair = Pair::new();
    pair.run(1_000, false);
    pair.publish(quarantine(600_000), true);
    pair.run(GOSSIP_TIME, true);
    assert!(pair.received.is_empty());
    pair.run(LEARN_TIME, false);
    assert!(
        pair.received
            .iter()
            .any(|v| v.standing == Standing::Quarantined)
    );
}

// Guards against routers that keep sending each other the quarantines although their sets are
// equal.
#[test]
fn a_quarantine_that_both_know_is_not_sent_again() {
    let mut pair = Pair::new();
    pair.run(1_000, false);
    pair.publish(quarantine(600_000), false);
    pair.run(GOSSIP_TIME, false);
    let (verdicts, messages) = (pair.verdicts, pair.messages);
    pair.run(LEARN_TIME, false);
    assert!(pair.messages > messages);
    assert_eq!(pair.verdicts, verdicts);
}

// Guards against a quarantine that is lost when all routers are killed at once. The first routers
// by rendezvous hashing, and no others, request that it be stored.
#[test]
fn few_routers_store_a_quarantine() {
    let routers = 1..=30;
    let stores = |i: u64| {
        let peers = (1..=30).filter(|&p| p != i);
        let mut router = linked(i, peers, VIEW_AGE);
        let mut out = Vec::new();
        router.handle(
            Millis(100),
            Event::Verdicts(vec![quarantine(600_000)]),
            &mut out,
        );
        out.iter().any(|a| matches!(a, Action::StoreQuarantine(_)))
    };
    let storing = routers.filter(|&i| stores(i)).count();
    assert!((1..=2).contains(&storing), "{storing}");
}

// Guards against a restarted fleet that knows no quarantines: stored ones are sent to all routers.
#[test]
fn a_stored_quarantine_is_sent_to_dispatcher_and_peers() {
    let mut router = linked(1, [2], VIEW_AGE);
    let mut out = Vec::new();
    let expired = Verdict {
        digest: Digest(8),
        ..quarantine(50)
    };
    let stored = Event::StoredQuarantines(vec![quarantine(600_000), expired]);
    router.handle(Millis(100), stored, &mut out);
    let applied = out.iter().filter_map(|a| match a {
        Action::Verdict(v) => Some(v.until),
        _ => None,
    });
    assert_eq!(applied.collect::<Vec<_>>(), [Millis(600_000)]);
    let sent = sent(out, 2);
    assert!(sent.iter().any(|m| !m.gossip.verdicts.is_empty()));
}
